// Defines HedgePolicy, which decides when an idempotent call that is slow to answer is sent to a
// second server as well. Pure: the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "metrics.h"

namespace guavatrail {

// Hedges after the 95th percentile of the kind's latency, within a budget, and never while servers
// refuse work. One instance for each service. Times are monotonic microseconds.
class PercentileHedge {
 public:
  struct Options {
    double quantile = 0.95;
    double share = 0.05;   // Hedges for each call.
    double reserve = 5.0;  // Most hedges that can be saved up.
    int64_t min_delay_us = 1'000;
    // No hedges for this time after a refusal: a second request would add to an overload.
    int64_t pause_after_refusal_us = 1'000'000;
  };

  PercentileHedge() : PercentileHedge(Options{}) {}
  explicit PercentileHedge(Options options) : m_options(options) {}

  void OnCall();
  void OnAnswer(std::string_view kind, int64_t latency_us, int64_t now_us);
  void OnRefusal(int64_t now_us);
  void OnHedge();
  std::optional<int64_t> DelayUs(std::string_view kind, int64_t now_us) const;
  bool MayHedge(bool is_overloaded, int64_t now_us) const;

 private:
  // Latencies of the current period, and the delay learned in the last one.
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
  bool MayHedge(bool /*is_overloaded*/, int64_t /*now_us*/) const { return false; }
};

using HedgePolicy = std::variant<PercentileHedge, NoHedge>;

// A new call of the service was made.
void OnCall(HedgePolicy& policy);
// A call got its whole answer `latency_us` after it was sent; for a hedged call, the first answer.
void OnAnswer(HedgePolicy& policy, std::string_view kind, int64_t latency_us, int64_t now_us);
// A server refused work because of load.
void OnRefusal(HedgePolicy& policy, int64_t now_us);
// A hedge was sent.
void OnHedge(HedgePolicy& policy);
// Time in microseconds after which a call of the kind is to be considered for hedging, asked when
// it is sent; empty while too little is known or hedging is paused.
std::optional<int64_t> HedgeDelayUs(const HedgePolicy& policy, std::string_view kind,
                                    int64_t now_us);
// Whether a hedge may be sent now, asked when the delay has passed. `is_overloaded` is what
// placement sees (IsSpilling).
bool MayHedge(const HedgePolicy& policy, bool is_overloaded, int64_t now_us);

}  // namespace guavatrail
