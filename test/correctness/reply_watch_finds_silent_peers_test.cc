// Checks that a peer that stops answering is detected, so that its connection can be replaced, and
// that a peer that answers is not.
#include <gtest/gtest.h>

#include "reply_watch.h"

namespace guavatrail {
namespace {

constexpr int64_t kSilenceMs = 1000;

TEST(ReplyWatchFindsSilentPeers, CountsFromTheOldestUnansweredRequest) {
  ReplyWatch watch(kSilenceMs);
  watch.Sent("a", 0);
  watch.Sent("a", 900);
  EXPECT_FALSE(watch.IsSilent("a", 999));
  EXPECT_TRUE(watch.IsSilent("a", 1000));
  EXPECT_FALSE(watch.IsSilent("b", 1000));
}

TEST(ReplyWatchFindsSilentPeers, AnAnswerEndsTheWait) {
  ReplyWatch watch(kSilenceMs);
  watch.Sent("a", 0);
  watch.Heard("a");
  EXPECT_FALSE(watch.IsSilent("a", 5000));
  watch.Sent("a", 5000);
  EXPECT_FALSE(watch.IsSilent("a", 5999));
  EXPECT_TRUE(watch.IsSilent("a", 6000));
  watch.Reset("a");
  EXPECT_FALSE(watch.IsSilent("a", 6000));
}

}  // namespace
}  // namespace guavatrail
