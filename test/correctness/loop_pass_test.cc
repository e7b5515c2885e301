// Guards against passes of the event loop that keep new connections waiting without a trace in the
// metrics or the log.
#include "loop_pass.h"

#include <gtest/gtest.h>

#include "event_loop.h"
#include "loop_monitor.h"

namespace guavatrail {
namespace {

const LoopPass::Share& ShareOf(const LoopPass& pass, LoopWork work) {
  return pass.shares[static_cast<size_t>(work)];
}

TEST(LoopPassTest, TimeCountsForTheCallbackInProgress) {
  PassTimer timer;
  timer.BeginCallback(LoopWork::kAccept, 1'000);
  timer.BeginCallback(LoopWork::kDownstream, 3'000);
  timer.BeginCallback(LoopWork::kAccept, 8'000);
  LoopPass pass = timer.EndPass(9'500);
  EXPECT_EQ(pass.duration_us, 8'500);
  EXPECT_EQ(ShareOf(pass, LoopWork::kAccept).callbacks, 2U);
  EXPECT_EQ(ShareOf(pass, LoopWork::kAccept).us, 3'500);
  EXPECT_EQ(ShareOf(pass, LoopWork::kDownstream).us, 5'000);
  EXPECT_EQ(FormatShares(pass),
            "accepts=2 accept_ms=3 downstreams=1 downstream_ms=5 upstreams=0 upstream_ms=0 "
            "controls=0 control_ms=0 timers=0 timer_ms=0");
}

TEST(LoopPassTest, TheNextPassStartsAnew) {
  PassTimer timer;
  timer.BeginCallback(LoopWork::kTimer, 1'000);
  timer.EndPass(5'000);
  EXPECT_EQ(timer.EndPass(6'000).duration_us, 0);
  timer.BeginCallback(LoopWork::kTimer, 90'000);
  LoopPass pass = timer.EndPass(90'100);
  EXPECT_EQ(pass.duration_us, 100);
  EXPECT_EQ(ShareOf(pass, LoopWork::kTimer).callbacks, 1U);
}

TEST(LoopPassTest, MonitorRecordsBusyPassesAndNotTheWaitBetweenThem) {
  EventLoop loop;
  Metrics metrics;
  LoopMonitor monitor(loop, metrics);
  Timer busy(loop, [] {
    int64_t end_us = EventLoop::NowUs() + 250'000;
    while (EventLoop::NowUs() < end_us) {
    }
  });
  busy.Start(std::chrono::milliseconds(300));
  loop.StopAfter(std::chrono::milliseconds(400));
  loop.Run();
  const LatencyHistogram& durations = metrics.GetHistogram("loop_pass_us");
  EXPECT_EQ(durations.count(), 1U);
  EXPECT_GE(durations.sum_us(), 250'000);
  EXPECT_LT(durations.sum_us(), 550'000);
  EXPECT_EQ(metrics.GetCounter("loop_slow_passes_total").value(), 1U);
}

}  // namespace
}  // namespace guavatrail
