// Guards against the nodes of a starting fleet confirming the head at the same time: only one of
// several simultaneous conditional writes succeeds, and a fleet of 144 nodes took 11 s.
#include <gtest/gtest.h>

#include <set>

#include "head_confirmer.h"

namespace guavatrail {
namespace {

constexpr size_t kMembers = 550;

TEST(HeadConfirmationDelay, WatchersGoFirstAndOthersSpreadWithFleetSize) {
  RandomSource random(1);
  size_t in_first_second = 0;
  for (size_t i = 0; i < kMembers; ++i) {
    uint64_t jitter = random.Next();
    int64_t watcher_ms = ConfirmationDelayMs(true, kMembers, jitter);
    int64_t other_ms = ConfirmationDelayMs(false, kMembers, jitter);
    EXPECT_LT(watcher_ms, other_ms);
    if (other_ms < 2'000) ++in_first_second;
  }
  // The expected rate is about 100 per second; the bounds allow for the variance of 550 draws.
  EXPECT_GT(in_first_second, 50u);
  EXPECT_LT(in_first_second, 150u);
}

TEST(HeadConfirmationDelay, RetryDelaysVary) {
  RandomSource random(1);
  std::set<int64_t> delays;
  for (int i = 0; i < 20; ++i) delays.insert(ConfirmationRetryDelayMs(random));
  EXPECT_GT(delays.size(), 10u);
}

}  // namespace
}  // namespace guavatrail
