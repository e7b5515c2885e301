// Guards against a monitor that declares healthy neighbours suspect or dead when it resumes after a
// pause in which it received no heartbeats.
#include <gtest/gtest.h>

#include "failure_detector.h"

namespace guavatrail {
namespace {

constexpr int64_t kTickMs = 500;

class FailureDetectorPause : public testing::Test {
 protected:
  FailureDetector detector{{"self", 1000, 3, 3000}};
};

TEST_F(FailureDetectorPause, NoSuspicionAfterPause) {
  for (int64_t pause_ms : {1500, 4000, 60'000}) {
    FailureDetector fresh({"self", 1000, 3, 3000});
    fresh.SetMonitored({{"a", 100, 1}}, 0);
    fresh.OnHeartbeat("a", 100, 400);
    EXPECT_TRUE(fresh.Tick(500).suspected.empty());
    DetectorDecisions resumed = fresh.Tick(500 + pause_ms);
    EXPECT_TRUE(resumed.suspected.empty()) << pause_ms;
    EXPECT_TRUE(resumed.silent.empty()) << pause_ms;
    EXPECT_EQ(fresh.pauses(), 1U);
  }
}

TEST_F(FailureDetectorPause, SuspicionTimeExcludesPauses) {
  detector.SetMonitored({{"a", 100, 2}}, 0);
  int64_t now_ms = 0;
  while (detector.Tick(now_ms).suspected.empty()) now_ms += kTickMs;
  detector.OnSuspicion({"a", 100}, "other", now_ms);
  // A refutation may wait in the socket buffer while the monitor is paused.
  now_ms += 30'000;
  EXPECT_TRUE(detector.Tick(now_ms).dead.empty());
}

TEST_F(FailureDetectorPause, SilenceAfterPauseIsDetected) {
  detector.SetMonitored({{"a", 100, 1}}, 0);
  int64_t now_ms = 0;
  detector.Tick(now_ms);
  now_ms += 30'000;
  detector.Tick(now_ms);
  int64_t resumed_ms = now_ms;
  while (detector.Tick(now_ms).suspected.empty() && now_ms < resumed_ms + 10'000) {
    now_ms += kTickMs;
  }
  EXPECT_LE(now_ms - resumed_ms, 3000 + kTickMs);
}

}  // namespace
}  // namespace guavatrail
