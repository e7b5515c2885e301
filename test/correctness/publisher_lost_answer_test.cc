// Guards against a note that is published twice, or reported as refused although it was accepted,
// after an answer of the platform was lost.
#include "publish_fixture.h"

namespace guavatrail {
namespace {

class PublisherLostAnswer : public PublishFixture {};

TEST_F(PublisherLostAnswer, LostRequestPublishesOnce) {
  FailHeadWrites(Fault::kRequestLost);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(std::get<Published>(result).version, 1u);
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, LostAnswerPublishesOnce) {
  FailHeadWrites(Fault::kAnswerLost);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, DelayedWritePublishesOnce) {
  FailHeadWrites(Fault::kWriteDelayed);
  auto result = Publish(AddService("a", "s"));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  RunFor(2 * m_platform.write_delay);
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherLostAnswer, UnknownOutcomeIsResolvedByPublishingAgain) {
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

// The first run ends as unknown while its update of the head is still in flight. The second run
// finds the note invalid, and must not report that before the update can no longer take effect.
TEST_F(PublisherLostAnswer, RefusalAfterUnknownOutcomeIsFinal) {
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("base", "s"))));
  m_platform.write_delay = std::chrono::milliseconds(600);
  int writes = 0;
  m_platform.SetFaultRule([&](std::string_view method, std::string_view key) {
    if (key != kHeadKey || method != "PUT") return Fault::kNone;
    return writes++ == 0 ? Fault::kWriteDelayed : Fault::kUnavailable;
  });
  ReleaseNote note{"a", "test", "", {Route{"r", "/r", "s", "w"}, WorkKind{.name = "w"}}, {}, {}};
  ASSERT_TRUE(std::holds_alternative<PublishUnknown>(Publish(note)));
  // The second run reads a stale head without service s, so it finds the note invalid.
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
