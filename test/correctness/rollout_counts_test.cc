// Guards against wrong counts of the answers of a server during a rollout, and against a canary
// that goes on answering badly, or a good one that stops, while the owner of the rollout is silent.
#include "rollout_counts.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;

TEST(RolloutCountsTest, BinsContainTheirTimes) {
  for (int64_t us : {1, 999, 1'000, 1'001, 1'500, 20'000, 640'000, 30'000'000, 1'000'000'000}) {
    size_t bin = TimeHistogram::BinOf(us);
    ASSERT_LT(bin, TimeHistogram::kBins);
    if (bin + 1 < TimeHistogram::kBins) {
      EXPECT_LE(us, TimeHistogram::EndUs(bin));
    }
    if (bin > 0) {
      EXPECT_GT(us, TimeHistogram::EndUs(bin - 1));
    }
  }
}

TEST(RolloutCountsTest, ColdServerCountsFailuresOnly) {
  RolloutCounts counts;
  counts.Start(5 * kSecond, 0);
  counts.OnResult({"a", false, 900'000}, 2 * kSecond);
  counts.OnResult({"a", true, 1'000}, 2 * kSecond);
  // Begun while the server was cold.
  counts.OnResult({"a", false, 900'000}, 5 * kSecond + 500'000);
  counts.OnResult({"a", false, 900'000}, 7 * kSecond);
  const KindCounts& kind = counts.work().at("a");
  EXPECT_EQ(kind.answers, 4);
  EXPECT_EQ(kind.failures, 1);
  EXPECT_EQ(kind.times.count(), 1);
}

TEST(RolloutCountsTest, KindsAreBounded) {
  RolloutCounts counts;
  for (int i = 0; i < 1'000; ++i) counts.OnResult({"kind-" + std::to_string(i), false, 5}, 0);
  EXPECT_LE(counts.work().size(), 33U);
}

TEST(RolloutCountsTest, DifferenceAndSumAreInverse) {
  RolloutCounts counts;
  counts.OnResult({"a", false, 5'000}, kSecond * 9);
  WorkCounts before = counts.work();
  counts.OnResult({"a", true, 5'000}, kSecond * 9);
  counts.OnResult({"b", false, 7'000}, kSecond * 9);
  WorkCounts sum = before;
  Add(sum, Difference(counts.work(), before));
  EXPECT_EQ(sum, counts.work());
}

class HoldTest : public testing::Test {
 protected:
  HoldTest() { m_counts.Start(0, 0); }
  void Answer(int good, int failing) {
    for (int i = 0; i < good; ++i) m_counts.OnResult({"a", false, 10'000}, m_now_us);
    for (int i = 0; i < failing; ++i) m_counts.OnResult({"a", true, 10'000}, m_now_us);
  }
  RolloutCounts m_counts;
  int64_t m_now_us = 10 * kSecond;
};

TEST_F(HoldTest, CanaryStopsAtItsShareOfBadAnswers) {
  m_counts.OnCanaries(2, 0);
  Answer(100, 19);
  EXPECT_FALSE(m_counts.MustHold(m_now_us));
  Answer(0, 1);
  EXPECT_TRUE(m_counts.MustHold(m_now_us));
}

TEST_F(HoldTest, SingleCanaryHasTheWholeShare) {
  m_counts.OnCanaries(1, 0);
  Answer(100, 39);
  EXPECT_FALSE(m_counts.MustHold(m_now_us));
  Answer(0, 1);
  EXPECT_TRUE(m_counts.MustHold(m_now_us));
}

// Canaries that stop are no longer listed as taking new work.
TEST_F(HoldTest, CanaryThatHasStoppedStaysStopped) {
  m_counts.OnCanaries(2, 0);
  Answer(100, 20);
  for (size_t canaries : {2, 1, 0}) {
    m_counts.OnCanaries(canaries, m_now_us);
    EXPECT_TRUE(m_counts.MustHold(m_now_us)) << canaries;
  }
}

TEST_F(HoldTest, CanariesThatEndWhileTheOwnerIsHeardOfDoNotCount) {
  m_counts.OnCanaries(2, 0);
  m_counts.OnOwner({}, m_now_us);
  m_counts.OnCanaries(1, m_now_us);
  Answer(100, 39);
  EXPECT_FALSE(m_counts.MustHold(m_now_us + 3 * kSecond));
}

TEST_F(HoldTest, OwnerThatIsHeardOfDecides) {
  m_counts.OnCanaries(2, 0);
  Answer(0, 100);
  m_counts.OnOwner({}, m_now_us);
  EXPECT_FALSE(m_counts.MustHold(m_now_us + kSecond));
  EXPECT_TRUE(m_counts.MustHold(m_now_us + 3 * kSecond));
}

TEST_F(HoldTest, SlowAnswersCountByTheLimitOfTheOwner) {
  m_counts.OnOwner({{"a", 30'000}}, m_now_us);
  for (int i = 0; i < 40; ++i) m_counts.OnResult({"a", false, 31'000}, m_now_us);
  EXPECT_TRUE(m_counts.MustHold(m_now_us + 3 * kSecond));
}

TEST_F(HoldTest, FewFailuresInManyAnswersAreNoFault) {
  Answer(2'000, 50);
  EXPECT_FALSE(m_counts.MustHold(m_now_us));
}

}  // namespace
}  // namespace guavatrail
