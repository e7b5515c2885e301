// Guards against a sound request that stays in quarantine because several servers crashed together
// while they ran it, and against trials that let a deadly request crash more servers than allowed.
#include "quarantine_trials.h"

#include <gtest/gtest.h>

#include "quarantine_model.h"

namespace guavatrail {
namespace {

constexpr int64_t kUsPerS = 1'000'000;
constexpr uint64_t kSeeds = 300;
// A sound request may be refused for this long.
constexpr int64_t kMaxRefusalUs = 10 * kUsPerS;
// Copies of a deadly request that may reach servers after it has crashed three.
constexpr int kMaxRuns = 3;

using Decision = QuarantineTrials::Decision;

class QuarantineTrialsTest : public testing::Test {
 protected:
  QuarantineTrialsTest() {
    for (int i = 0; i < 3; ++i) Crash();
  }

  void Crash() {
    m_blame.OnCrash("server-" + std::to_string(++m_crashes), std::vector<std::string>{"a"},
                    m_now_us);
  }
  Decision Request() { return m_trials.OnRequest("a", m_now_us); }
  void Claimed(int trial) {
    m_blame.OnTrialClaimed("a", trial, m_now_us);
    m_trials.OnClaimed("a", true, m_now_us);
  }
  // Lets the time pass until a trial may be claimed.
  void WaitForTrial() { m_now_us += *m_blame.TrialWaitMs("a", m_now_us) * 1'000; }

  CrashBlame m_blame;
  QuarantineTrials m_trials{m_blame};
  int m_crashes = 0;
  int64_t m_now_us = 1'000 * kUsPerS;
};

TEST_F(QuarantineTrialsTest, OneCopyRunsAfterAClaim) {
  EXPECT_EQ(Request(), Decision::kRefuse);
  WaitForTrial();
  EXPECT_EQ(Request(), Decision::kClaim);
  EXPECT_EQ(Request(), Decision::kRefuse);
  Claimed(1);
  EXPECT_EQ(Request(), Decision::kRun);
  EXPECT_EQ(Request(), Decision::kRefuse);
}

TEST_F(QuarantineTrialsTest, TrialThatReachedNoServerIsUsedAgain) {
  WaitForTrial();
  ASSERT_EQ(Request(), Decision::kClaim);
  Claimed(1);
  ASSERT_EQ(Request(), Decision::kRun);
  m_trials.OnNotRun("a", m_now_us);
  EXPECT_EQ(Request(), Decision::kRun);
}

TEST_F(QuarantineTrialsTest, NothingRunsOnceTheTrialsAreUsedUp) {
  for (int trial = 1; trial <= CrashBlame::kMaxTrials; ++trial) {
    WaitForTrial();
    ASSERT_EQ(Request(), Decision::kClaim);
    Claimed(trial);
    ASSERT_EQ(Request(), Decision::kRun);
  }
  EXPECT_FALSE(m_blame.TrialWaitMs("a", m_now_us));
  m_now_us += 100 * kUsPerS;
  EXPECT_EQ(Request(), Decision::kRefuse);
  // A caller need not return before the end of the quarantine.
  EXPECT_GT(*m_blame.RetryAfterMs("a", m_now_us), 60'000);
}

// A server that crashes on a trial crashes alone, so that a second trial would only cost a server.
TEST_F(QuarantineTrialsTest, CrashInATrialEndsTheTrials) {
  WaitForTrial();
  ASSERT_EQ(Request(), Decision::kClaim);
  Claimed(1);
  ASSERT_EQ(Request(), Decision::kRun);
  Crash();
  m_now_us += 20 * kUsPerS;
  EXPECT_EQ(Request(), Decision::kRefuse);
  EXPECT_FALSE(m_blame.TrialWaitMs("a", m_now_us));
  CrashBlame other;
  other.Merge(m_blame.Suspects(m_now_us), m_now_us);
  EXPECT_FALSE(other.TrialWaitMs("a", m_now_us));
}

TEST_F(QuarantineTrialsTest, CallersReturnWhenATrialMayHaveEndedTheQuarantine) {
  EXPECT_LE(*m_blame.RetryAfterMs("a", m_now_us), kMaxRefusalUs / 1'000);
  m_blame.OnAnswered("a", m_now_us);
  EXPECT_FALSE(m_blame.RetryAfterMs("a", m_now_us));
}

// Nodes that repeat to each other what they know must not put off the next trial.
TEST_F(QuarantineTrialsTest, LateNewsDoNotDelayTrials) {
  int64_t begin_us = m_now_us;
  while (m_blame.TrialWaitMs("a", m_now_us) > 0) {
    std::vector<CrashSuspect> known = m_blame.Suspects(m_now_us);
    m_now_us += kUsPerS / 10;
    m_blame.Merge(known, m_now_us);
    ASSERT_LT(m_now_us, begin_us + kMaxRefusalUs);
  }
}

TEST_F(QuarantineTrialsTest, ClaimThatIsRefusedIsNotRepeatedAtOnce) {
  WaitForTrial();
  ASSERT_EQ(Request(), Decision::kClaim);
  m_trials.OnClaimed("a", false, m_now_us);
  EXPECT_EQ(Request(), Decision::kRefuse);
  m_now_us += kUsPerS;
  EXPECT_EQ(Request(), Decision::kClaim);
}

TEST_F(QuarantineTrialsTest, TrialDoesNotOutlastItsQuarantine) {
  WaitForTrial();
  ASSERT_EQ(Request(), Decision::kClaim);
  Claimed(1);
  m_blame.OnAnswered("a", m_now_us);
  m_now_us += 100 * kUsPerS;
  for (int i = 0; i < 3; ++i) Crash();
  EXPECT_EQ(Request(), Decision::kRefuse);
}

// A process that may lack earlier quarantines does not know which trials they have used up.
TEST_F(QuarantineTrialsTest, ForbiddenTrialsAreNotClaimed) {
  m_blame.ForbidTrials(std::vector<std::string>{"a"});
  CrashBlame other;
  other.Merge(m_blame.Suspects(m_now_us), m_now_us);
  m_now_us += 20 * kUsPerS;
  EXPECT_EQ(Request(), Decision::kRefuse);
  EXPECT_FALSE(other.TrialWaitMs("a", m_now_us));
}

// All servers crash together while they run a sound request.
TEST(QuarantineExploration, SoundRequestIsServedSoonAfterACommonCrash) {
  int quarantined = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuarantineModel::Options options{.has_cut = seed % 5 == 0,
                                     .restarts = static_cast<int>(seed % 3)};
    auto result = QuarantineModel(seed, options).Run();
    EXPECT_LE(result.longest_refusal_us, kMaxRefusalUs) << "seed " << seed;
    EXPECT_EQ(result.quarantined_nodes, 0) << "seed " << seed;
    quarantined += result.was_quarantined ? 1 : 0;
  }
  EXPECT_GT(quarantined, static_cast<int>(kSeeds / 2));
}

TEST(QuarantineExploration, DeadlyRequestReachesNoMoreServersThanAllowed) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuarantineModel::Options options{
        .is_deadly = true, .has_cut = seed % 5 == 0, .restarts = static_cast<int>(seed % 4)};
    auto result = QuarantineModel(seed, options).Run();
    EXPECT_LE(result.runs_in_quarantine, kMaxRuns) << "seed " << seed;
    EXPECT_TRUE(result.was_quarantined) << "seed " << seed;
  }
}

// Without the store nobody can claim a trial, so that no two nodes can use the same one.
TEST(QuarantineExploration, NothingRunsInQuarantineWhileTheStoreIsAway) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto result = QuarantineModel(seed, {.is_deadly = true, .is_store_away = true}).Run();
    EXPECT_LE(result.runs_in_quarantine, kMaxRuns) << "seed " << seed;
  }
}

}  // namespace
}  // namespace guavatrail
