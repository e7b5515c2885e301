// Defines a discrete-event simulation of backend servers and entry nodes that runs the production
// decision modules (admission, placement, outlier detection, retry budget), so that tests can
// measure their effect in one process. It simulates neither network faults nor membership.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission.h"
#include "metrics.h"
#include "outlier_detector.h"
#include "placement.h"
#include "retry_budget.h"

namespace guavatrail::test {

struct ModelKind {
  std::string name;
  bool is_short = true;
  int importance = 1;
  int64_t deadline_us = 500'000;  // Relative to the arrival.
  int64_t objective_us = 0;       // Relative to the arrival; 0: none.
  // Service times are exponentially distributed with this mean, with a minimum of a tenth of it.
  int64_t service_us = 5'000;
  double constant_share = 0;  // Share of the service time that is the same for all requests.
  // A share `straggler_share` of the requests takes `straggler_factor` times as long.
  double straggler_share = 0;
  double straggler_factor = 20;
  double weight = 1;
};

struct ModelPhase {
  int64_t length_us = 0;
  double rate = 0;  // Poisson arrivals per second over all entry nodes.
};

// A period in which a server runs requests `factor` times slower.
struct ModelSlowdown {
  size_t server = 0;
  int64_t from_us = 0;
  int64_t to_us = 0;
  double factor = 10;
};

struct ModelOptions {
  size_t servers = 1;
  size_t entries = 1;
  int64_t one_way_us = 500;
  std::vector<ModelKind> kinds;
  std::vector<ModelPhase> phases;
  std::vector<ModelSlowdown> slowdowns;
  std::function<AdmissionPolicy()> admission;
  std::function<PlacementPolicy()> placement;
  std::function<OutlierPolicy()> outliers;
  std::function<RetryBudget()> retries;
  uint64_t seed = 1;
};

// The policies of this project, for servers with 9 slots.
ModelOptions CurrentPolicies();
// The baseline to compare with: no admission limit, round robin, no outlier detection, unlimited
// retries.
ModelOptions BaselinePolicies();

struct ModelResult {
  struct Kind {
    uint64_t sent = 0, good = 0, refused = 0, late = 0;
    LatencyHistogram latency;  // Of complete answers.
    double GoodShare() const { return sent == 0 ? 0 : static_cast<double>(good) / sent; }
  };
  std::map<std::string, Kind> kinds;
  // Calls sent and calls answered within the deadline, by time slice of their arrival.
  std::vector<uint64_t> sent_by_slice, good_by_slice;
  // Requests sent to each server, by server and time slice.
  std::vector<std::vector<uint64_t>> sent_to_server_by_slice;

  Kind All() const;
  // Calls answered within their deadline per second, among those that arrived in [from_us, to_us).
  double Goodput(int64_t from_us, int64_t to_us) const;
  // Time from `end_us` to the end of the last slice in which less than 95% of the calls were
  // answered within their deadline.
  int64_t RecoveryUs(int64_t end_us) const;
};

inline constexpr int64_t kModelSliceUs = 100'000;  // Length of a time slice.

ModelResult RunModel(const ModelOptions& options);

}  // namespace guavatrail::test
