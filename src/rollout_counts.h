// Defines TimeHistogram, KindCounts and WorkCounts, how a backend server has answered during a
// rollout by work kind, and RolloutCounts, with which the node beside the server counts. Performs
// no I/O; the caller passes in the time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

// Counts of service times in bins whose ends grow by a constant factor.
class TimeHistogram {
 public:
  static constexpr size_t kBins = 32;
  // Each bin ends at this multiple of the end of the one before.
  static constexpr double kFactor = 1.4142;
  static constexpr int64_t kFirstEndUs = 1'000;

  static size_t BinOf(int64_t service_us);
  static int64_t EndUs(size_t bin);

  void Add(int64_t service_us) { ++m_bins[BinOf(service_us)]; }
  void AddToBin(size_t bin, int64_t count) { m_bins[bin] += count; }
  int64_t Bin(size_t bin) const { return m_bins[bin]; }
  int64_t count() const;
  // Bin of the median; nullopt without samples.
  std::optional<size_t> MedianBin() const;
  int64_t CountAbove(size_t bin) const;

  bool operator==(const TimeHistogram&) const = default;

 private:
  std::array<int64_t, kBins> m_bins{};
};

// Cumulative.
struct KindCounts {
  int64_t answers = 0;  // Including failures.
  int64_t failures = 0;
  TimeHistogram times;  // Of the answers that are not failures, without those of a cold server.
  bool operator==(const KindCounts&) const = default;
};

using WorkCounts = std::map<std::string, KindCounts, std::less<>>;  // By work kind.

// Adds `more` to `counts`.
void Add(WorkCounts& counts, const WorkCounts& more);
// What `counts` has more than the earlier `before` of the same run.
WorkCounts Difference(const WorkCounts& counts, const WorkCounts& before);

// How a request on the backend server ended.
struct ServerResult {
  std::string_view kind;
  bool is_failure = false;  // An answer of 500 and above that states no refusal, or none.
  int64_t service_us = 0;
};

// Counts for the server beside this node, and whether it must stop by itself because its answers
// are bad and nobody else decides.
class RolloutCounts {
 public:
  struct Options {
    // A server is slow after its start. Servers state for how long; this is the least.
    int64_t cold_us = 3'500'000;
    // Without a message of the owner for this time, this node decides.
    int64_t owner_silence_us = 2'000'000;
    // Bad answers that all canaries together may give before they stop by themselves; below the
    // bound of 50, since requests are in progress at that time.
    int64_t bad_answers = 40;
    // Fewer do not show a fault, and a smaller share of bad answers does not either.
    int64_t min_bad_answers = 4;
    double min_bad_share = 0.08;
  };

  RolloutCounts() : RolloutCounts(Options{}) {}
  explicit RolloutCounts(Options options) : m_options(options) {}

  // Events.
  // A server starts, or another rollout: counts from zero. The server is cold for `cold_us`.
  void Start(int64_t cold_us, int64_t now_us);
  void OnResult(const ServerResult& result, int64_t now_us);
  // The owner of the rollout has sent the service times above which answers are slow.
  void OnOwner(std::map<std::string, int64_t, std::less<>> slow_limits, int64_t now_us);
  // Number of canaries that take new work.
  void OnCanaries(size_t canaries, int64_t now_us);

  // Queries.
  const WorkCounts& work() const { return m_work; }
  int64_t bad_answers() const { return m_bad; }
  // Whether this server must get no more work until the owner is heard of.
  bool MustHold(int64_t now_us) const;

 private:
  bool IsOwnerSilent(int64_t now_us) const;

  Options m_options;
  WorkCounts m_work;
  std::map<std::string, int64_t, std::less<>> m_slow_limits;
  int64_t m_answers = 0;
  int64_t m_bad = 0;
  size_t m_canaries = 1;  // Among which bad_answers is divided.
  int64_t m_cold_until_us = 0;
  int64_t m_owner_us = 0;  // When the owner was last heard of, or the count has begun.
};

}  // namespace guavatrail
