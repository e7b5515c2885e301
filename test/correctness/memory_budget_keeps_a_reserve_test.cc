// Checks that large requests leave room for small ones, and that one request of the largest size
// fits in the smallest VM. Guards against a crowd of large bodies that shuts out ordinary requests.
#include <gtest/gtest.h>

#include "http_headers.h"
#include "memory_budget.h"

namespace guavatrail {
namespace {

constexpr int64_t kMb = 1'000'000;
constexpr int64_t kLargestBody = int64_t{64} * 1'048'576;

TEST(MemoryBudgetReserve, LargestBodyFitsInTheSmallestVm) {
  MemoryBudget budget(MemoryBudget::CapacityOf(160));
  uint64_t id = budget.Add();
  EXPECT_TRUE(budget.Grow(id, MemoryUse::kReceiving, kLargestBody + 100'000, 0).is_granted);
  EXPECT_FALSE(budget.is_short());
  EXPECT_GT(budget.MaxHolderBytes(), kLargestBody);
  // The process itself takes about 25 MB.
  EXPECT_LT(budget.capacity_bytes(), 135 * kMb);
}

TEST(MemoryBudgetReserve, SmallRequestsFitBesideLargeOnes) {
  MemoryBudget budget(80 * kMb);
  uint64_t large = budget.Add();
  EXPECT_TRUE(budget.Grow(large, MemoryUse::kRunning, 70 * kMb, 0).is_granted);
  uint64_t other = budget.Add();
  EXPECT_FALSE(budget.Grow(other, MemoryUse::kReceiving, kMb, 0).is_granted);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(budget.Grow(budget.Add(), MemoryUse::kReceiving, 65'536, 0).is_granted);
  }
  EXPECT_LE(budget.held_bytes(), 80 * kMb);
}

// Thousands of small incomplete requests fill the reserve too; a new one replaces the oldest.
TEST(MemoryBudgetReserve, SmallRequestReplacesTheOldestIncompleteOne) {
  MemoryBudget budget(80 * kMb);
  std::vector<uint64_t> ids;
  for (int i = 0; i < 2000; ++i) {
    ids.push_back(budget.Add());
    budget.Grow(ids.back(), MemoryUse::kReceiving, 40'000, i);
  }
  MemoryGrant grant = budget.Grow(budget.Add(), MemoryUse::kReceiving, 2'000, 2000);
  EXPECT_TRUE(grant.is_granted);
  EXPECT_EQ(grant.evicted, std::vector<uint64_t>{ids[0]});
}

TEST(MemoryBudgetReserve, ReleasedBytesAreFreeAgain) {
  MemoryBudget budget(80 * kMb);
  for (int i = 0; i < 1000; ++i) {
    uint64_t id = budget.Add();
    EXPECT_TRUE(budget.Grow(id, MemoryUse::kReceiving, 60 * kMb, i).is_granted);
    budget.Charge(id, MemoryUse::kRunning, 60 * kMb + 8192, i);
    budget.Charge(id, MemoryUse::kAnswering, 100, i);
    budget.Remove(id);
  }
  EXPECT_EQ(budget.held_bytes(), 0);
}

TEST(MemoryBudgetReserve, WithoutALimitEverythingIsGranted) {
  MemoryBudget budget(MemoryBudget::CapacityOf(0));
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(budget.Grow(budget.Add(), MemoryUse::kReceiving, 1000 * kMb, 0).is_granted);
  }
  EXPECT_FALSE(budget.is_short());
  EXPECT_EQ(budget.held_bytes(), 100'000 * kMb);
}

// Otherwise answers that are written as a whole, such as configurations, would fill the budget when
// many clients that take nothing get them at once.
TEST(MemoryBudgetReserve, WholeAnswersLeaveTheReserveFree) {
  MemoryBudget budget(80 * kMb);
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    if (budget.GrowAnswer(budget.Add(), kMb, 0).is_granted) ++granted;
  }
  EXPECT_EQ(granted, 70);
  EXPECT_TRUE(budget.Grow(budget.Add(), MemoryUse::kReceiving, 65'536, 0).is_granted);
}

TEST(MemoryBudgetReserve, WholeAnswerReplacesAStalledOneOnly) {
  MemoryBudget budget(80 * kMb);
  uint64_t stalled = budget.Add();
  EXPECT_TRUE(budget.GrowAnswer(stalled, 60 * kMb, 0).is_granted);
  uint64_t waiting = budget.Add();
  EXPECT_FALSE(budget.GrowAnswer(waiting, 20 * kMb, MemoryBudget::kAnswerStallUs / 2).is_granted);
  MemoryGrant grant = budget.GrowAnswer(waiting, 20 * kMb, 2 * MemoryBudget::kAnswerStallUs);
  EXPECT_TRUE(grant.is_granted);
  EXPECT_EQ(grant.evicted, std::vector<uint64_t>{stalled});
  EXPECT_EQ(budget.held_bytes(), 20 * kMb);
}

TEST(MemoryBudgetReserve, AnswerThatIsRefusedKeepsWhatItsConnectionHolds) {
  MemoryBudget budget(80 * kMb);
  uint64_t id = budget.Add();
  budget.Charge(id, MemoryUse::kAnswering, kMb, 0);
  EXPECT_FALSE(budget.GrowAnswer(id, 71 * kMb, 0).is_granted);
  EXPECT_EQ(budget.held_bytes(), kMb);
}

}  // namespace
}  // namespace guavatrail
