// Checks which requests are refused when the bytes that a process holds reach its budget. Guards
// against clients that keep others out with bodies that they never complete.
#include <gtest/gtest.h>

#include "memory_budget.h"

namespace guavatrail {
namespace {

constexpr int64_t kMb = 1'000'000;
constexpr int64_t kSecond = 1'000'000;

class MemoryBudgetEviction : public testing::Test {
 protected:
  uint64_t Add(MemoryUse use, int64_t bytes, int64_t now_us) {
    uint64_t id = m_budget.Add();
    EXPECT_TRUE(m_budget.Grow(id, use, bytes, now_us).is_granted);
    return id;
  }

  MemoryBudget m_budget{8 * kMb};
};

TEST_F(MemoryBudgetEviction, LongestWithoutProgressGoesFirst) {
  uint64_t first = Add(MemoryUse::kReceiving, 3 * kMb, 0);
  uint64_t second = Add(MemoryUse::kReceiving, 3 * kMb, 1);
  m_budget.Grow(first, MemoryUse::kReceiving, 3 * kMb + 16'384, kSecond);
  uint64_t third = m_budget.Add();
  MemoryGrant grant = m_budget.Grow(third, MemoryUse::kReceiving, 3 * kMb, 3 * kSecond);
  EXPECT_TRUE(grant.is_granted);
  EXPECT_EQ(grant.evicted, std::vector<uint64_t>{second});
  EXPECT_EQ(m_budget.held_bytes(), 6 * kMb + 16'384);
}

TEST_F(MemoryBudgetEviction, UploadsInProgressAreNotEvictedForLargeOnes) {
  Add(MemoryUse::kReceiving, 6 * kMb, 0);
  uint64_t second = m_budget.Add();
  MemoryGrant grant = m_budget.Grow(second, MemoryUse::kReceiving, 3 * kMb, kSecond / 2);
  EXPECT_FALSE(grant.is_granted);
  EXPECT_TRUE(grant.evicted.empty());
  EXPECT_EQ(m_budget.held_bytes(), 6 * kMb);
}

TEST_F(MemoryBudgetEviction, SingleBytesAreNoProgress) {
  uint64_t dripping = Add(MemoryUse::kReceiving, 6 * kMb, 0);
  for (int i = 1; i <= 20; ++i) {
    m_budget.Grow(dripping, MemoryUse::kReceiving, 6 * kMb + i, i * kSecond / 10);
  }
  uint64_t other = m_budget.Add();
  MemoryGrant grant = m_budget.Grow(other, MemoryUse::kReceiving, 3 * kMb, 2 * kSecond);
  EXPECT_EQ(grant.evicted, std::vector<uint64_t>{dripping});
}

TEST_F(MemoryBudgetEviction, HolderIsNotServedAtTheCostOfMoreRecentOnes) {
  uint64_t old = Add(MemoryUse::kReceiving, 3 * kMb, 0);
  Add(MemoryUse::kReceiving, 4 * kMb - 1000, kSecond);
  MemoryGrant grant = m_budget.Grow(old, MemoryUse::kReceiving, 3 * kMb + 2000, 10 * kSecond);
  EXPECT_FALSE(grant.is_granted);
}

TEST_F(MemoryBudgetEviction, NoneIsEvictedIfThatDoesNotSuffice) {
  Add(MemoryUse::kRunning, 5 * kMb, 0);
  Add(MemoryUse::kReceiving, 1 * kMb, 0);
  uint64_t other = m_budget.Add();
  MemoryGrant grant = m_budget.Grow(other, MemoryUse::kReceiving, 3 * kMb, 10 * kSecond);
  EXPECT_FALSE(grant.is_granted);
  EXPECT_TRUE(grant.evicted.empty());
  EXPECT_EQ(m_budget.held_bytes(), 6 * kMb);
}

TEST_F(MemoryBudgetEviction, RunningRequestsStay) {
  Add(MemoryUse::kRunning, 7 * kMb, 0);
  uint64_t other = m_budget.Add();
  EXPECT_FALSE(m_budget.Grow(other, MemoryUse::kReceiving, 2 * kMb, 100 * kSecond).is_granted);
}

// Answers that are ready are given up only if clients do not read them and nothing else is left.
TEST_F(MemoryBudgetEviction, UnreadAnswersGoLast) {
  std::vector<uint64_t> answers;
  answers.reserve(80);
  for (int i = 0; i < 80; ++i) answers.push_back(Add(MemoryUse::kAnswering, kMb / 10, i));
  uint64_t read = answers[0];
  // Fewer bytes alone are no progress: the answer also shrinks and grows with what upstream sends.
  m_budget.Charge(answers[1], MemoryUse::kAnswering, kMb / 10 - 1000, 4 * kSecond);
  m_budget.Charge(answers[1], MemoryUse::kAnswering, kMb / 10, 4 * kSecond);
  m_budget.Charge(read, MemoryUse::kAnswering, kMb / 10 - 1000, 4 * kSecond);
  m_budget.RecordAnswerProgress(read, 4 * kSecond);
  uint64_t small = m_budget.Add();
  EXPECT_TRUE(m_budget.is_short());
  EXPECT_FALSE(m_budget.Grow(small, MemoryUse::kReceiving, 2000, 4 * kSecond).is_granted);
  MemoryGrant grant = m_budget.Grow(small, MemoryUse::kReceiving, 2000, 6 * kSecond);
  EXPECT_TRUE(grant.is_granted);
  EXPECT_EQ(grant.evicted, std::vector<uint64_t>{answers[1]});
}

}  // namespace
}  // namespace guavatrail
