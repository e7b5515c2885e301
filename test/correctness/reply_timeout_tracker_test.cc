// Checks that a peer that stops answering is detected, so that its connection can be replaced, and
// that a peer that answers is not.
#include "reply_timeout_tracker.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kSilenceMs = 1000;

TEST(ReplyTimeoutTrackerTest, CountsFromTheOldestUnansweredRequest) {
  ReplyTimeoutTracker watch(kSilenceMs);
  watch.OnSent("a", 0);
  watch.OnSent("a", 900);
  EXPECT_FALSE(watch.IsTimedOut("a", 999));
  EXPECT_TRUE(watch.IsTimedOut("a", 1000));
  EXPECT_FALSE(watch.IsTimedOut("b", 1000));
}

TEST(ReplyTimeoutTrackerTest, ReplyResetsTheTimeout) {
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
