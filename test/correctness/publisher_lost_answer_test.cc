// Guards against a lost answer that publishes a note twice or reports an accepted note as refused.
#include "publish_fixture.h"

namespace guavatrail {
namespace {

class PublisherLostAnswer : public PublishFixture {};

TEST_F(PublisherLostAnswer, BeforeTheEffectPublishesOnce) {
  FailHeadWrites(Fault::kRequestLost);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(std::get<Published>(result).version, 1u);
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, AfterTheEffectPublishesOnce) {
  FailHeadWrites(Fault::kAnswerLost);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, DelayedEffectPublishesOnce) {
  FailHeadWrites(Fault::kWriteDelayed);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  RunFor(2 * m_platform.write_delay);
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, ForeverIsUnknownAndARepeatFindsOut) {
  FailHeadWrites(Fault::kAnswerLost, 1);
  int writes = 0;
  m_platform.SetFaultRule([&](std::string_view method, std::string_view key) {
    if (key != kHeadKey) return Fault::kNone;
    if (method == "PUT") return writes++ == 0 ? Fault::kAnswerLost : Fault::kUnavailable;
    return writes > 0 ? Fault::kUnavailable : Fault::kNone;
  });
  auto first = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<PublishUnknown>(first));
  EXPECT_TRUE(std::get<PublishUnknown>(first).head_update_sent);
  m_platform.SetFaultRule(nullptr);
  auto second = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<AlreadyPublished>(second));
  EXPECT_EQ(std::get<AlreadyPublished>(second).version, 1u);
  EXPECT_EQ(CountInLog("a"), 1u);
}

// The first run ends as unknown while its update is still under way; the second run finds the note
// invalid and may report that only after the update can no longer take effect.
TEST_F(PublisherLostAnswer, RefusalAfterAnUnknownRunIsFinal) {
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("base", "s"))));
  m_platform.write_delay = std::chrono::milliseconds(600);
  int writes = 0;
  m_platform.SetFaultRule([&](std::string_view method, std::string_view key) {
    if (key != kHeadKey || method != "PUT") return Fault::kNone;
    return writes++ == 0 ? Fault::kWriteDelayed : Fault::kUnavailable;
  });
  ReleaseNote note{"a", "test", "", {Route{"r", "/r", "s", "w"}, WorkKind{.name = "w"}}, {}, {}};
  ASSERT_TRUE(std::holds_alternative<PublishUnknown>(Publish(note)));
  // A stale head, in which service s does not exist yet, makes the second run refuse.
  int reads = 0;
  m_platform.SetFaultRule([&](std::string_view method, std::string_view key) {
    return method == "GET" && key == kHeadKey && reads++ < 1 ? Fault::kStale : Fault::kNone;
  });
  auto second = Publish(note);
  RunFor(std::chrono::milliseconds(400));
  bool accepted = CountInLog("a") == 1;
  EXPECT_EQ(accepted, !std::holds_alternative<PublishRefused>(second));
  EXPECT_LE(CountInLog("a"), 1u);
}

}  // namespace
}  // namespace guavatrail
