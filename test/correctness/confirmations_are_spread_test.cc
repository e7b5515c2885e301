// Guards against a fleet that starts at once and confirms the head in step: conditional writes of
// one object at the same time fail but for one, and 144 nodes took 11 s.
#include <gtest/gtest.h>

#include <set>

#include "head_confirmer.h"

namespace guavatrail {
namespace {

constexpr size_t kMembers = 550;

TEST(ConfirmationsAreSpread, OverTheSizeOfTheFleetAndAfterTheWatchers) {
  RandomSource random(1);
  size_t in_first_second = 0;
  for (size_t i = 0; i < kMembers; ++i) {
    uint64_t jitter = random.Next();
    int64_t watcher_ms = ConfirmAfterMs(true, kMembers, jitter);
    int64_t other_ms = ConfirmAfterMs(false, kMembers, jitter);
    EXPECT_LT(watcher_ms, other_ms);
    if (other_ms < 2'000) ++in_first_second;
  }
  // About 100 a second are meant; 550 draws scatter.
  EXPECT_GT(in_first_second, 50u);
  EXPECT_LT(in_first_second, 150u);
}

TEST(ConfirmationsAreSpread, AndRepeatedWithDifferentDelays) {
  RandomSource random(1);
  std::set<int64_t> delays;
  for (int i = 0; i < 20; ++i) delays.insert(ConfirmRepeatMs(random));
  EXPECT_GT(delays.size(), 10u);
}

}  // namespace
}  // namespace guavatrail
