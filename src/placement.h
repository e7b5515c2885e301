// Defines PlacementPolicy, which chooses at the entry node the backend server for a call, and
// LoadTracker, which keeps what the entry node knows of each server. Pure: clock and random numbers
// are handed in.
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

// Load of a backend server as its node reports it on every answer.
struct ServerLoad {
  int in_service = 0;
  int queued = 0;
  int64_t service_us = 0;   // Typical service time in microseconds; 0 if unknown.
  int failing_percent = 0;  // Of the last requests.
  bool operator==(const ServerLoad&) const = default;
};

// The value of the X-Guavatrail-Load header, such as "in_service=3,queued=0,service_us=1200", with
// ",failing=40" behind it where requests fail.
std::string FormatLoad(const ServerLoad& load);
// Empty if the text is not of that form.
std::optional<ServerLoad> ParseLoad(std::string_view text);

// A server that a call can be placed on. Draining servers and servers already tried for this call
// are left out by the caller.
struct PlacementCandidate {
  std::string_view node;
  std::string_view data_centre;
  int slots = 1;
  ServerLoad load;  // As last reported.
  // Age of `load` in microseconds; negative if nothing was reported yet.
  int64_t load_age_us = -1;
  int local_in_flight = 0;            // Calls that this entry node has sent and not finished.
  int local_in_flight_at_report = 0;  // The same when `load` arrived.
  int64_t age_us = INT64_MAX;         // Time since the server appeared, for slow start.
  // Put aside by the outlier detector, or asked to be left alone until a time not yet reached. Such
  // a server is chosen only if there is no other.
  bool is_backed_off = false;
};

// The less loaded of two servers drawn at random, from the local data centre unless it is
// overloaded. Then one of the two is still a local one: an overload is mostly one of the whole
// service, and calls that change places between data centres that are equally full gain nothing.
// One instance for each service.
class TwoChoices {
 public:
  struct Options {
    std::string local_data_centre;
    // Mean requests per slot in the local data centre at which calls start and stop going to the
    // others as well; two thresholds keep the choice from switching on every small change.
    double spill_start = 1.0;
    double spill_stop = 0.7;
    int64_t remote_cost_us = 2'000;  // Added latency of another data centre.
    // A call leaves the data centre only for a wait that is shorter by this part of a service time.
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
  // One of `pool`.
  size_t Draw(std::span<const PlacementCandidate> candidates, std::span<const size_t> pool,
              RandomSource& random) const;
  // What a call must gain at the candidate's data centre, in microseconds.
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

using PlacementPolicy = std::variant<TwoChoices, RoundRobin>;

// The index of the chosen candidate; empty if there are no candidates.
std::optional<size_t> Choose(PlacementPolicy& policy,
                             std::span<const PlacementCandidate> candidates, RandomSource& random);

// Whether the policy sees the local data centre as overloaded; false for the baseline.
bool IsSpilling(const PlacementPolicy& policy);

// What one entry node knows of each server, by node name. Times are monotonic microseconds.
class LoadTracker {
 public:
  // A call was sent to `node`.
  void OnCallSent(std::string_view node, int64_t now_us);
  // A call to `node` ended in any way; exactly once for each OnCallSent.
  void OnCallEnded(std::string_view node);
  // An answer or refusal carried a load report.
  void OnLoadReport(std::string_view node, const ServerLoad& load, int64_t now_us);
  // The server refused and asked to be left alone for `retry_after_ms`.
  void OnRefusal(std::string_view node, int64_t retry_after_ms, int64_t now_us);
  // Marks a server as known; a server that is new from now on starts slowly.
  void AddServer(std::string_view node, int64_t now_us);
  // Forgets a server that left or has another incarnation.
  void RemoveServer(std::string_view node);

  // Typical service time that the server last reported; 0 if unknown.
  int64_t ReportedServiceUs(std::string_view node) const;
  // Fills every field of `candidate` but node, data_centre and slots; sets `is_backed_off` while
  // the server asked to be left alone.
  void FillCandidate(PlacementCandidate& candidate, int64_t now_us) const;

 private:
  struct Entry {
    ServerLoad load;
    int64_t reported_us = -1;
    int64_t seen_us = 0;
    int64_t avoid_until_us = 0;
    int in_flight = 0;
    int in_flight_at_report = 0;
  };
  Entry& EntryOf(std::string_view node, int64_t now_us);

  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace guavatrail
