// Defines BurnRecorder, which counts calls by service, kind and outcome, and the error-budget burn
// that follows from the counts of one or many nodes.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "metrics.h"

namespace guavatrail {

enum class CallOutcome {
  kGood,        // Complete answer whose head arrived within the deadline.
  kRefused,     // Not run, or answered with status 429 or 503.
  kLate,        // Complete answer whose head arrived after the deadline.
  kUnknown,     // No answer, or another status of 500 or above; the call may have run.
  kIncomplete,  // The answer was truncated.
};
inline constexpr size_t kCallOutcomes = 5;

// "good", "refused", "late", "unknown" or "incomplete".
std::string_view ToString(CallOutcome outcome);

struct BurnCounts {
  std::array<uint64_t, kCallOutcomes> by_outcome{};

  uint64_t Of(CallOutcome outcome) const { return by_outcome[static_cast<size_t>(outcome)]; }
  uint64_t Total() const;
  uint64_t Bad() const { return Total() - Of(CallOutcome::kGood); }
};

// Calls in one time window. The latencies are those of complete answers, good or late.
struct BurnWindow {
  BurnCounts counts;
  LatencyHistogram latency;
  void Merge(const BurnWindow& other);
};

struct BurnEntry {
  BurnWindow total;  // Since the node started.
  BurnWindow fast;   // The last 5 minutes.
  BurnWindow slow;   // The last hour.
  void Merge(const BurnEntry& other);
};

// Service and work kind.
using BurnKey = std::pair<std::string, std::string>;

struct NodeBurn {
  std::string node;
  std::map<BurnKey, BurnEntry> entries;
};

// Counts calls in slices of 30 s. A window includes the current, incomplete slice, so it may be up
// to one slice shorter than its nominal length. Not thread-safe.
class BurnRecorder {
 public:
  // `latency_us` is used for good and late calls only; `now_us` is monotonic.
  void Record(std::string_view service, std::string_view kind, CallOutcome outcome,
              int64_t latency_us, int64_t now_us);
  NodeBurn Snapshot(std::string_view node, int64_t now_us) const;

 private:
  struct Slice {
    int64_t index = 0;  // Time divided by the length of a slice.
    BurnWindow window;
  };
  struct Series {
    BurnWindow total;
    std::deque<Slice> slices;  // The non-empty slices, oldest first.
  };
  using Kinds = std::map<std::string, Series, std::less<>>;

  std::map<std::string, Kinds, std::less<>> m_services;
};

// Says why a burn document is invalid.
struct BurnError {
  std::string message;
};

// The JSON document that the admin port serves.
std::string ToJson(const NodeBurn& burn);
tl::expected<NodeBurn, BurnError> ParseNodeBurn(std::string_view json);

// The burn of one node; empty if the node could not be queried.
struct NodeReading {
  std::string node;
  std::optional<NodeBurn> burn;
};

struct MeshBurn {
  std::map<BurnKey, BurnEntry> entries;
  std::vector<std::string> nodes;    // Nodes whose burn was read.
  std::vector<std::string> missing;  // Nodes that could not be read; their calls are not counted.
};

MeshBurn MergeBurn(std::span<const NodeReading> readings);

// Burn of the error budget of a service. The objective is the share of calls that must be good.
struct BurnBudget {
  double objective = 0;
  // Share of bad calls divided by the allowed share; at a rate of 1 the budget is used up exactly.
  double fast_rate = 0;
  double slow_rate = 0;
  // Remaining share of the bad calls allowed since the nodes started; negative if overdrawn.
  double left = 1;
};

// `objective` must be in (0, 1).
BurnBudget BudgetOf(const BurnEntry& entry, double objective);

}  // namespace guavatrail
