// Guards against a node that is declared dead by a single monitor behind a broken path or before it
// had time to refute, and against a dead node that is not detected.
#include <gtest/gtest.h>

#include "failure_detector.h"

namespace guavatrail {
namespace {

constexpr int64_t kHeartbeatMs = 1000;
constexpr int64_t kTickMs = 500;
constexpr int64_t kSuspicionMs = 3000;

class FailureDetectorQuorum : public testing::Test {
 protected:
  void Monitor(size_t monitors) { detector.SetMonitored({{"a", 100, monitors}}, now_ms); }
  // Ticks until `end_ms` and collects the decisions.
  void RunTo(int64_t end_ms) {
    for (; now_ms <= end_ms; now_ms += kTickMs) {
      DetectorDecisions decisions = detector.Tick(now_ms);
      suspected += decisions.suspected.size();
      dead += decisions.dead.size();
      silent += decisions.silent.size();
    }
  }
  FailureDetector detector{{"self", kHeartbeatMs, 3, kSuspicionMs}};
  int64_t now_ms = 0;
  size_t suspected = 0;
  size_t dead = 0;
  size_t silent = 0;
};

TEST_F(FailureDetectorQuorum, SingleReportDoesNotConfirm) {
  Monitor(4);
  RunTo(60'000);
  EXPECT_EQ(suspected, 1U);
  EXPECT_EQ(dead, 0U);
}

TEST_F(FailureDetectorQuorum, TwoReportsConfirmAfterTheSuspicionTime) {
  Monitor(4);
  RunTo(3000);
  ASSERT_EQ(suspected, 1U);
  EXPECT_TRUE(detector.OnSuspicion({"a", 100}, "other", now_ms));
  EXPECT_FALSE(detector.OnSuspicion({"a", 100}, "other", now_ms));
  EXPECT_FALSE(detector.OnSuspicion({"a", 100}, "third", now_ms));
  RunTo(3000 + kSuspicionMs - 1);
  EXPECT_EQ(dead, 0U);
  RunTo(3000 + kSuspicionMs);
  EXPECT_EQ(dead, 1U);
}

TEST_F(FailureDetectorQuorum, SoleMonitorConfirms) {
  Monitor(1);
  RunTo(3000 + kSuspicionMs);
  EXPECT_EQ(dead, 1U);
}

TEST_F(FailureDetectorQuorum, RepeatedReportCountsOnce) {
  Monitor(4);
  RunTo(3000);
  EXPECT_FALSE(detector.OnSuspicion({"a", 100}, "self", now_ms));
  RunTo(60'000);
  EXPECT_EQ(dead, 0U);
}

TEST_F(FailureDetectorQuorum, RefutationClearsTheSuspicion) {
  Monitor(4);
  RunTo(3000);
  detector.OnSuspicion({"a", 100}, "other", now_ms);
  detector.SetMonitored({{"a", 101, 4}}, now_ms);
  RunTo(3000 + kSuspicionMs);
  EXPECT_EQ(dead, 0U);
  // A late report about the refuted incarnation starts no new suspicion.
  EXPECT_FALSE(detector.OnSuspicion({"a", 100}, "third", now_ms));
}

TEST_F(FailureDetectorQuorum, HeartbeatWithdrawsOwnReport) {
  Monitor(4);
  RunTo(3000);
  detector.OnSuspicion({"a", 100}, "other", now_ms);
  for (int i = 0; i < 20; ++i) {
    detector.OnHeartbeat("a", 100, now_ms);
    RunTo(now_ms);
  }
  EXPECT_EQ(dead, 0U);
}

TEST_F(FailureDetectorQuorum, LowerIncarnationIsNotASignOfLife) {
  Monitor(1);
  while (now_ms < 3000 + kSuspicionMs) {
    detector.OnHeartbeat("a", 99, now_ms);
    RunTo(now_ms);
  }
  RunTo(now_ms);
  EXPECT_EQ(dead, 1U);
}

TEST_F(FailureDetectorQuorum, RequestsReconnectionBeforeSuspicion) {
  Monitor(4);
  RunTo(2500);
  EXPECT_EQ(silent, 1U);
  EXPECT_EQ(suspected, 0U);
}

TEST_F(FailureDetectorQuorum, RefutedSuspicionsBackOff) {
  uint64_t incarnation = 100;
  Monitor(4);
  constexpr int64_t kTenMinutesMs = 600'000;
  while (now_ms < kTenMinutesMs) {
    size_t before = suspected;
    RunTo(now_ms);
    if (suspected > before) detector.SetMonitored({{"a", ++incarnation, 4}}, now_ms);
  }
  // Suspicions are 3, 6, 12, 24 and then 48 s apart instead of 3 s each.
  EXPECT_LE(suspected, 17U);
}

}  // namespace
}  // namespace guavatrail
