// Defines QuotaReport and QuotaReply, by which a node and the coordinator of the quotas of
// workspaces tell each other what was admitted and what may be, and the rules that both apply.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "workspace.h"

namespace guavatrail {

// Requests of a workspace at a node since its process started.
struct QuotaCounters {
  uint64_t offered = 0;
  uint64_t admitted = 0;
  uint64_t returned = 0;  // Admitted, but ended as not run.
  bool operator==(const QuotaCounters&) const = default;
};

struct QuotaUsage {
  std::string workspace;
  QuotaCounters total;
  QuotaCounters base;  // The counters at about the base time of the report.
  bool operator==(const QuotaUsage&) const = default;
};

// Contains the workspaces with a quota that had requests at the node since the base time.
struct QuotaReport {
  std::string node;
  uint64_t process = 0;  // Differs between the processes of a node.
  int64_t time_us = 0;   // Monotonic clock of the node.
  int64_t base_time_us = 0;
  std::vector<QuotaUsage> usages;
  bool operator==(const QuotaReport&) const = default;
};

// What a node may admit of a workspace until its next report.
struct QuotaLimit {
  std::string workspace;
  double share = 1;       // Of the offered requests, 0 to 1.
  double rate_per_s = 0;  // At most this many requests a second, whatever is offered.
  double burst = 0;       // Requests admitted beyond that rate.
  bool operator==(const QuotaLimit&) const = default;
};

// A workspace that is not listed is far below its quota.
struct QuotaReply {
  double reporting_share = 0;      // Fraction of the known nodes that report to the coordinator.
  std::vector<QuotaLimit> limits;  // Sorted by workspace.
  bool operator==(const QuotaReply&) const = default;
};

inline constexpr size_t kMaxQuotaEntries = 10'000;
// Time between two reports of a node. The coordinator handles at most 250 reports a second.
inline int64_t QuotaPeriodUs(size_t nodes) {
  return std::max<int64_t>(250'000, 4'000 * static_cast<int64_t>(nodes));
}

// Time between the base of a report and the report. A coordinator that has no earlier report of
// the node takes the base for it.
inline int64_t QuotaBaseAgeUs(size_t nodes) {
  return std::max<int64_t>(1'500'000, 2 * QuotaPeriodUs(nodes));
}

// A reply is valid for this time from when its report was sent. Beyond 125 nodes the next reply
// would otherwise be lost with one message, and beyond 250 arrive too late.
inline int64_t QuotaReplyValidUs(size_t nodes) {
  return std::max<int64_t>(1'000'000, 2 * QuotaPeriodUs(nodes));
}

inline bool HasQuota(const Workspace& workspace) { return workspace.rate_per_s > 0; }
// Capacity of the bucket of a workspace in requests. With rates of a few requests a second, random
// arrivals at 0.6 of the quota would empty a bucket of the burst alone about once a minute. The
// bound on what may be admitted leaves 20 requests; the rest of them covers the delay of reports.
inline double QuotaCapacity(const Workspace& workspace) {
  return workspace.burst + std::clamp(20 - workspace.burst / 2, 0.0, 10.0);
}

}  // namespace guavatrail
