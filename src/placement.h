// Defines PlacementPolicy, which chooses the backend server for a call on the entry node, and
// LoadTracker, which tracks the load of each server as known to the entry node. Performs no I/O;
// the caller passes in the time and random numbers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "random_source.h"

namespace guavatrail {

// Load of a backend server as its node reports it with every answer.
struct ServerLoad {
  int in_service = 0;
  int queued = 0;
  int64_t service_us = 0;   // Typical service time in microseconds; 0 if unknown.
  int failing_percent = 0;  // Share of recent requests that failed.
  // Slots that can be used within the rate limit that the server names; 0: all.
  int usable_slots = 0;
  bool operator==(const ServerLoad&) const = default;
};

// The value of the X-Guavatrail-Load header, such as "in_service=3,queued=0,service_us=1200",
// followed by ",failing=40" if requests fail and by ",usable=2" if a rate limit leaves slots idle.
std::string FormatLoad(const ServerLoad& load);
// Empty if the text is not of that form.
std::optional<ServerLoad> ParseLoad(std::string_view text);

// A server that a call can be placed on. The caller leaves out draining servers and servers already
// tried for the call.
struct PlacementCandidate {
  std::string_view node;
  std::string_view data_centre;
  int slots = 1;
  ServerLoad load;  // As last reported.
  // Age of `load` in microseconds; negative if nothing was reported yet.
  int64_t load_age_us = -1;
  int local_in_flight = 0;            // Calls of this entry node in flight.
  int local_in_flight_at_report = 0;  // local_in_flight when `load` arrived.
  int64_t age_us = INT64_MAX;         // Time since the server appeared, for slow start.
  // Ejected by the outlier detector, or in the back-off that it asked for in a refusal. Such a
  // server is chosen only if there is no other.
  bool is_backed_off = false;
};

// Chooses the less loaded of two servers drawn at random (power of two choices), from the local
// data centre unless that is overloaded. Under overload one of the two is still a local server:
// mostly the whole service is overloaded then, and calls that are exchanged between equally loaded
// data centres gain nothing. One instance per service.
class TwoChoices {
 public:
  struct Options {
    std::string local_data_centre;
    // Mean requests per slot in the local data centre at which calls start and stop spilling over
    // to other data centres; two thresholds prevent switching on every small change of load.
    double spill_start = 1.0;
    double spill_stop = 0.7;
    int64_t remote_cost_us = 2'000;  // Added latency of another data centre.
    // A call leaves the data centre only if the expected time is shorter by this part of a service
    // time.
    double remote_gain = 0.5;
    int64_t slow_start_us = 10'000'000;  // Time until a new server gets its full share.
  };

  explicit TwoChoices(Options options) : m_options(std::move(options)) {}

  std::optional<size_t> Choose(std::span<const PlacementCandidate> candidates,
                               RandomSource& random);
  // Whether calls go to other data centres because the local one is overloaded.
  bool is_spilling() const { return m_spilling; }

 private:
  std::vector<size_t> PoolOf(std::span<const PlacementCandidate> candidates) const;
  // Draws one of `pool` at random; servers in slow start are drawn less often.
  size_t Draw(std::span<const PlacementCandidate> candidates, std::span<const size_t> pool,
              RandomSource& random) const;
  // Time in microseconds that a call must gain to be placed in the candidate's data centre.
  double CostOf(const PlacementCandidate& candidate, double service_us) const;
  void UpdateSpill(std::span<const PlacementCandidate> candidates);
  bool IsLocal(const PlacementCandidate& candidate) const;

  Options m_options;
  bool m_spilling = false;
};

// Baseline: every server in turn.
class RoundRobin {
 public:
  std::optional<size_t> Choose(std::span<const PlacementCandidate> candidates,
                               RandomSource& random);

 private:
  size_t m_next = 0;
};

// Chooses the server with the shortest expected completion time among a few drawn at random, some
// of them local and some in other data centres. The expected time counts the speed of each server,
// its usable slots and its requests, and the added latency of another data centre. Servers are
// drawn with a probability proportional to their capacity (slots per service time): many entry
// nodes with old reports would otherwise all choose the same one. One instance per service.
class CompletionTime {
 public:
  struct Options {
    std::string local_data_centre;
    size_t local_draws = 2;
    size_t remote_draws = 3;
    int64_t remote_cost_us = 2'800;  // Added latency of another data centre, both ways.
    // Part of a service time by which a call must be faster to leave the data centre, since bytes
    // between data centres have a cost.
    double remote_gain = 0.1;
    int64_t slow_start_us = 3'000'000;  // Time until a new server is drawn as often as the others.
    // A new server that this node has no report of is chosen outright with a probability that
    // reaches `exploration` at the age of `exploration_us`. Low at first: the answers to the first
    // calls of busy nodes are back before all other nodes try the server too.
    double exploration = 0.3;
    int64_t exploration_us = 2'000'000;
    int64_t exploration_end_us = 10'000'000;
  };

  explicit CompletionTime(Options options) : m_options(std::move(options)) {}

  std::optional<size_t> Choose(std::span<const PlacementCandidate> candidates,
                               RandomSource& random);
  // Whether the servers have more requests than usable slots.
  bool is_overloaded() const { return m_overloaded; }

 private:
  std::optional<size_t> NewServer(std::span<const PlacementCandidate> candidates,
                                  RandomSource& random) const;
  bool IsLocal(const PlacementCandidate& candidate) const;

  Options m_options;
  bool m_overloaded = false;
};

using PlacementPolicy = std::variant<TwoChoices, RoundRobin, CompletionTime>;

// The index of the chosen candidate; empty if there are no candidates.
std::optional<size_t> Choose(PlacementPolicy& policy,
                             std::span<const PlacementCandidate> candidates, RandomSource& random);

// Whether the policy sees the servers that it uses (for TwoChoices those of the local data centre)
// as overloaded; false for the baseline.
bool IsSpilling(const PlacementPolicy& policy);

// Tracks what one entry node knows of the load of each server, by node name. Times are monotonic
// microseconds.
class LoadTracker {
 public:
  // Records that a call was sent to `node`.
  void OnCallSent(std::string_view node, int64_t now_us);
  // Records that a call to `node` ended, whatever its outcome; exactly once for each OnCallSent.
  void OnCallEnded(std::string_view node);
  // Records the load report of an answer or refusal.
  void OnLoadReport(std::string_view node, const ServerLoad& load, int64_t now_us);
  // Records that the server refused a call and asked for a back-off of `retry_after_ms`.
  void OnRefusal(std::string_view node, int64_t retry_after_ms, int64_t now_us);
  // Adds a server unless it is known already; its slow start begins now.
  void AddServer(std::string_view node, int64_t now_us);
  // Removes a server that left or was restarted with another incarnation.
  void RemoveServer(std::string_view node);

  // Typical service time that the server last reported; 0 if unknown.
  int64_t ReportedServiceUs(std::string_view node) const;
  // Fills the fields of `candidate` other than node, data_centre and slots; sets `is_backed_off`
  // during the back-off that the server asked for.
  void FillCandidate(PlacementCandidate& candidate, int64_t now_us) const;

 private:
  struct Entry {
    ServerLoad load;
    int64_t reported_us = -1;
    int64_t seen_us = 0;
    int64_t backoff_until_us = 0;
    int in_flight = 0;
    int in_flight_at_report = 0;
  };
  Entry& EntryOf(std::string_view node, int64_t now_us);

  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace guavatrail
