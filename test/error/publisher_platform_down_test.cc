// Guards against a publisher that reports a definite outcome although the platform did not answer.
#include "publish_fixture.h"

namespace guavatrail {
namespace {

class PublisherPlatformDown : public PublishFixture {};

TEST_F(PublisherPlatformDown, OutageGivesUnknownOutcomeWithInstructions) {
  m_platform.SetFaultRule([](auto, auto) { return Fault::kUnavailable; });
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<PublishUnknown>(result));
  EXPECT_FALSE(std::get<PublishUnknown>(result).head_update_sent);
  EXPECT_NE(std::get<PublishUnknown>(result).how_to_find_out.find("the id a"), std::string::npos);
}

TEST_F(PublisherPlatformDown, ShortOutageDelaysThePublication) {
  int failures = 3;
  m_platform.SetFaultRule(
      [&](auto, auto) { return failures-- > 0 ? Fault::kUnavailable : Fault::kNone; });
  EXPECT_TRUE(std::holds_alternative<Published>(Publish(AddService("a", "s"))));
}

TEST_F(PublisherPlatformDown, InvalidNoteIsRefusedWithTheReason) {
  ReleaseNote note{"a", "test", "", {Route{"r", "/r", "s", "w"}}, {}, {}};
  auto result = Publish(note);
  ASSERT_TRUE(std::holds_alternative<PublishRefused>(result));
  EXPECT_EQ(std::get<PublishRefused>(result).reason,
            "route/r: service/s does not exist (at version 0)");
}

}  // namespace
}  // namespace guavatrail
