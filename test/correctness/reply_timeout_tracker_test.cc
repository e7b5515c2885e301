// Checks that a peer that stops answering is detected, so that its connection can be replaced, and
// that a peer that answers is not.
#include "reply_timeout_tracker.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kTimeoutMs = 1000;

TEST(ReplyTimeoutTrackerTest, CountsFromTheOldestUnansweredRequest) {
  ReplyTimeoutTracker tracker(kTimeoutMs);
  tracker.OnSent("a", 0);
  tracker.OnSent("a", 900);
  EXPECT_FALSE(tracker.IsTimedOut("a", 999));
  EXPECT_TRUE(tracker.IsTimedOut("a", 1000));
  EXPECT_FALSE(tracker.IsTimedOut("b", 1000));
}

TEST(ReplyTimeoutTrackerTest, ReplyResetsTheTimeout) {
  ReplyTimeoutTracker tracker(kTimeoutMs);
  tracker.OnSent("a", 0);
  tracker.OnReply("a");
  EXPECT_FALSE(tracker.IsTimedOut("a", 5000));
  tracker.OnSent("a", 5000);
  EXPECT_FALSE(tracker.IsTimedOut("a", 5999));
  EXPECT_TRUE(tracker.IsTimedOut("a", 6000));
  tracker.Reset("a");
  EXPECT_FALSE(tracker.IsTimedOut("a", 6000));
}

}  // namespace
}  // namespace guavatrail
