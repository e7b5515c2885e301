#include "loop_monitor.h"

#include <glog/logging.h>

namespace guavatrail {

namespace {

constexpr int64_t kSlowPassUs = 200'000;
constexpr int64_t kUsPerMs = 1000;

}  // namespace

LoopMonitor::LoopMonitor(EventLoop& loop, Metrics& metrics)
    : m_loop(loop),
      m_durations(metrics.GetHistogram("loop_pass_us")),
      m_slow_passes(metrics.GetCounter("loop_slow_passes_total")) {
  m_loop.SetPassObserver([this](const LoopPass& pass) { OnPass(pass); });
}

LoopMonitor::~LoopMonitor() { m_loop.SetPassObserver(nullptr); }

void LoopMonitor::OnPass(const LoopPass& pass) {
  m_durations.Record(pass.duration_us);
  if (pass.duration_us < kSlowPassUs) return;
  m_slow_passes.Add();
  LOG(WARNING) << "event=slow_pass ms=" << pass.duration_us / kUsPerMs << " " << FormatShares(pass);
}

}  // namespace guavatrail
