// Defines RolloutDecision, which decides from the answers of canary and old servers whether a new
// version is rolled back or completed. Performs no I/O; the caller passes in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "rollout_counts.h"

namespace guavatrail {

enum class RolloutAction { kKeep, kRollBack, kComplete };

struct RolloutVerdict {
  RolloutAction action = RolloutAction::kKeep;
  // Why: "failures", "slow", "time", "few_answers" or "no_server".
  std::string_view reason;
  std::string kind;  // Work kind that shows the fault; empty: all together.
  int64_t answers = 0;
  int64_t bad_answers = 0;
};

// A bad answer is a failure, or one that took several times as long as the old servers typically
// take for the same work kind. The shares of bad answers of the canaries and of the old servers in
// the same time are compared, by work kind and for all work, over a few seconds, half a minute and
// the whole rollout. So a fault shows that appears late or for one work kind only, and a time in
// which all servers are slow or fail does not count against the new version.
//
// All times are microseconds of one monotonic clock.
class RolloutDecision {
 public:
  struct Options {
    // A service time of this many histogram bins above the median bin of the old servers counts as
    // slow: 2.8 to 4 times the median.
    size_t slow_bins = 3;
    // Answers of the old servers to a work kind from which their median is known well enough.
    int64_t min_old_times = 20;
    // Excess of bad answers in standard deviations, and least number of bad answers: at any time,
    // and for the single test at the end.
    double deviations = 5;
    int64_t min_bad = 6;
    double final_deviations = 2;
    int64_t final_min_failures = 2;
    int64_t final_min_slow = 3;  // A few answers of any server are slow.
    // A single slow server may be a slow VM, which mostly is slow for about 6 s. The fault is taken
    // for that of the version once it has lasted for this time; sooner after so many slow answers,
    // since no request may be sent later than 5 s after the 50th, and if the server has never been
    // fast.
    int64_t single_server_slow_us = 9'000'000;
    int64_t many_slow_answers = 45;
    int64_t many_slow_us = 7'000'000;
    int64_t never_fast_us = 4'000'000;
    // At the end, a single server counts as slow from this share of slow answers.
    double single_server_final_share = 0.5;
    // Failures of a single server after which it is no longer awaited that others fail too.
    int64_t single_server_failures = 25;
    // Shares of step_s: time for a late fault to show, time since the first canary, and time from
    // which the decision is made with what there is.
    double complete_share = 0.7;
    double evidence_share = 0.5;
    double final_share = 0.85;
    int64_t min_answers = 30;  // Of the canaries, for completion before final_share.
    // Least time since the first canary.
    int64_t min_evidence_us = 5'000'000;
    // Time before the limit that the steps after the decision take.
    int64_t reserved_us = 6'000'000;
  };

  explicit RolloutDecision(int64_t step_us) : RolloutDecision(step_us, Options{}) {}
  RolloutDecision(int64_t step_us, Options options) : m_options(options), m_step_us(step_us) {}

  // Events.
  // Cumulative counts of the server beside `node` since the rollout has begun or, if later, since
  // the start of `run`, which identifies a run of the server.
  void OnReport(std::string_view node, std::string_view run, bool is_canary, const WorkCounts& work,
                int64_t now_us);

  // Changes the time limit of the rollout and keeps the counts.
  void SetStep(int64_t step_us) { m_step_us = step_us; }

  // Queries.
  // `elapsed_us`: since the order. `canaries`, `old_servers`: servers that are listed now.
  RolloutVerdict Decide(int64_t elapsed_us, size_t canaries, size_t old_servers, int64_t now_us);
  // Service time in microseconds above which an answer is slow, for the work kinds for which it is
  // known.
  std::map<std::string, int64_t, std::less<>> SlowLimits() const;
  int64_t canary_answers() const;

 private:
  using ByServer = std::map<std::string, WorkCounts, std::less<>>;
  // What was reported in one second.
  struct Slot {
    int64_t start_us = 0;
    ByServer canaries;
    WorkCounts old;
  };
  struct Source {
    std::string run;
    WorkCounts last;
  };
  // Answers of a set of servers.
  struct Sum {
    int64_t answers = 0;
    int64_t bad = 0;
  };
  enum class Fault { kFailures, kSlow };
  struct Test {
    Fault fault;
    std::string_view kind;  // Empty: all.
    double deviations;
    int64_t min_bad;
    bool is_final = false;
  };

  Slot Window(int64_t length_us, int64_t now_us) const;
  Sum SumOf(const WorkCounts& work, const Test& test) const;
  static bool IsWorse(const Sum& canary, const Sum& old, double deviations, int64_t min_bad);
  bool IsFaulty(const Slot& window, const Test& test, Sum& canary) const;
  std::optional<RolloutVerdict> FindFault(bool is_final, int64_t now_us);
  std::optional<RolloutVerdict> FindFaultIn(const Slot& window, bool is_final, int64_t now_us);
  static std::set<std::string> KindsOf(const Slot& window);
  void TrackSlowness(int64_t now_us);
  bool IsSlownessLasting(std::string_view kind, int64_t bad, int64_t now_us) const;
  bool MustWaitForOthers(const Slot& window, const Test& test, const Sum& canary,
                         int64_t now_us) const;

  Options m_options;
  int64_t m_step_us;
  std::map<std::string, Source, std::less<>> m_sources;  // By node.
  std::deque<Slot> m_slots;                              // The last half minute.
  Slot m_total;
  std::optional<int64_t> m_first_canary_us;
  bool m_had_canary = false;
  // Since when the canaries have been slow without interruption, by work kind; "": all work.
  std::map<std::string, int64_t, std::less<>> m_slow_since_us;
  std::set<std::string, std::less<>> m_has_been_fast;  // Work kinds.
};

}  // namespace guavatrail
