// Defines HedgePolicy, which decides when a slow idempotent call is sent to a second server as
// well. Performs no I/O; the caller passes in the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "metrics.h"

namespace guavatrail {

// Hedges calls that exceed the 95th percentile latency of their work kind, within a budget, and
// never while servers refuse work. One instance per service. Times are monotonic microseconds.
class PercentileHedge {
 public:
  struct Options {
    double quantile = 0.95;
    double share = 0.05;   // Hedges per call.
    double reserve = 5.0;  // Capacity of the token bucket in hedges.
    int64_t min_delay_us = 1'000;
    // Hedging pauses for this time after a refusal: a second request would add to an overload.
    int64_t pause_after_refusal_us = 1'000'000;
  };

  PercentileHedge() : PercentileHedge(Options{}) {}
  explicit PercentileHedge(Options options) : m_options(options) {}

  void OnCall();
  void OnAnswer(std::string_view kind, int64_t latency_us, int64_t now_us);
  void OnRefusal(int64_t now_us);
  void OnHedge();
  std::optional<int64_t> DelayUs(std::string_view kind, int64_t now_us) const;
  bool CanHedge(bool is_overloaded, int64_t now_us) const;

 private:
  // Latencies of the current period, and the hedge delay from the previous one.
  struct Kind {
    LatencyHistogram latencies;
    int64_t period_start_us = 0;
    std::optional<int64_t> delay_us;
  };

  Options m_options;
  double m_tokens = 0;
  int64_t m_paused_until_us = 0;
  std::map<std::string, Kind, std::less<>> m_kinds;
};

// Baseline: no hedging.
class NoHedge {
 public:
  void OnCall() {}
  void OnAnswer(std::string_view /*kind*/, int64_t /*latency_us*/, int64_t /*now_us*/) {}
  void OnRefusal(int64_t /*now_us*/) {}
  void OnHedge() {}
  std::optional<int64_t> DelayUs(std::string_view /*kind*/, int64_t /*now_us*/) const {
    return std::nullopt;
  }
  bool CanHedge(bool /*is_overloaded*/, int64_t /*now_us*/) const { return false; }
};

using HedgePolicy = std::variant<PercentileHedge, NoHedge>;

// Records a new call of the service.
void OnCall(HedgePolicy& policy);
// Records a complete answer `latency_us` after the call was sent; for a hedged call, the first
// answer.
void OnAnswer(HedgePolicy& policy, std::string_view kind, int64_t latency_us, int64_t now_us);
// Records that a server refused a request because of its load.
void OnRefusal(HedgePolicy& policy, int64_t now_us);
// Records that a hedge was sent.
void OnHedge(HedgePolicy& policy);
// Time in microseconds after which a call of `kind` may be hedged, queried when the call is sent;
// empty while there are too few samples or hedging is paused.
std::optional<int64_t> HedgeDelayUs(const HedgePolicy& policy, std::string_view kind,
                                    int64_t now_us);
// Whether a hedge may be sent now, queried when the delay has passed. `is_overloaded` is the state
// that placement reports (IsSpilling).
bool CanHedge(const HedgePolicy& policy, bool is_overloaded, int64_t now_us);

}  // namespace guavatrail
