// Defines LoopMonitor, which shows in metrics and log lines how long the event loop of a process is
// busy before it looks for new events.
#pragma once

#include "event_loop.h"
#include "loop_pass.h"
#include "metrics.h"

namespace guavatrail {

// New connections, readiness probes and heartbeats wait while a pass runs. Each pass is recorded in
// the histogram loop_pass_us, and each one of 200 ms or more, at most five a second, in a log line.
class LoopMonitor {
 public:
  LoopMonitor(EventLoop& loop, Metrics& metrics);
  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

 private:
  void OnPass(const LoopPass& pass);

  EventLoop& m_loop;
  LatencyHistogram& m_durations;
  Counter& m_slow_passes;
};

}  // namespace guavatrail
