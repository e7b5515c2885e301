// Guards against requests that go on over a connection that is silent for good, and against
// replacing the connection of a peer that answers.
#include <gtest/gtest.h>

#include "reply_timeout_tracker.h"

namespace guavatrail {
namespace {

constexpr int64_t kSilenceMs = 1000;

TEST(ReplyWatchFindsSilentPeers, CountsFromTheOldestUnansweredRequest) {
  ReplyTimeoutTracker watch(kSilenceMs);
  watch.OnSent("a", 0);
  watch.OnSent("a", 900);
  EXPECT_FALSE(watch.IsTimedOut("a", 999));
  EXPECT_TRUE(watch.IsTimedOut("a", 1000));
  EXPECT_FALSE(watch.IsTimedOut("b", 1000));
}

TEST(ReplyWatchFindsSilentPeers, AnAnswerEndsTheWait) {
  ReplyTimeoutTracker watch(kSilenceMs);
  watch.OnSent("a", 0);
  watch.OnReply("a");
  EXPECT_FALSE(watch.IsTimedOut("a", 5000));
  watch.OnSent("a", 5000);
  EXPECT_FALSE(watch.IsTimedOut("a", 5999));
  EXPECT_TRUE(watch.IsTimedOut("a", 6000));
  watch.Reset("a");
  EXPECT_FALSE(watch.IsTimedOut("a", 6000));
}

}  // namespace
}  // namespace guavatrail
