// Defines ConcurrencyLimit, which finds the number of requests that a backend server handles well
// at once from the service times of its answers. It serves the pattern of load where a server slows
// down before all of its slots are used, or is slow for some seconds. Performs no I/O; callers pass
// in the time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

// A request that the server has answered, or that has run for longer than is usual for its kind.
// Times are in microseconds.
struct ServiceSample {
  std::string_view kind;   // Work kind; requests of one kind take about the same time.
  int64_t service_us = 0;  // Time on the server, up to now if it still runs.
  // Time on the server above which the answer is late even without a wait in a queue: from the
  // arrival to the latency objective; 0: there is no objective.
  int64_t allowed_us = 0;
  double running = 1;       // Mean number of requests on the server meanwhile, including this one.
  bool is_answered = true;  // False: it still runs or was abandoned.
};

// Looks for the smallest limit with the full throughput. Service times, relative to the typical
// ones of their kind, are averaged for each number of running requests. A curve that is flat up to
// a knee and rises as a power beyond it is fitted to these averages. By Little's law the throughput
// at n running requests is n / s(n), so it no longer rises beyond the knee if the power is 1 or
// more, and the knee becomes the limit. Without clear evidence of a knee the limit is the stated
// slots.
//
// A server that is slow at any number of requests keeps its limit as long as its answers are in
// time. If most answers are late because of their service time, the limit falls at once, down to 1,
// and returns when they are in time again. What was measured at numbers of requests above the limit
// is forgotten, so the limit rises from time to time to measure them again. All times are
// microseconds of one monotonic clock.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots) : m_slots(slots), m_limit(slots) {}

  // Sets the stated slots of the server, which bound the limit.
  void SetSlots(int slots);
  // Another server has taken the place of this one; its limit starts at the stated slots.
  void Reset() { *this = ConcurrencyLimit(m_slots); }

  // The number of running requests changes to `running`. Must be called on every change.
  void OnRunning(int running, int64_t now_us);
  void OnSample(const ServiceSample& sample, int64_t now_us);

  // From 1 to the stated slots.
  int limit() const;
  // Typical service time over all work kinds in their usual proportions; 0 until there are enough
  // samples.
  int64_t service_us() const;
  // Integral of the running requests over time; the mean over a period is the difference of its
  // ends divided by its length.
  double RunningIntegral(int64_t now_us) const;

 private:
  // Logarithms of the relative service times at one number of running requests; decayed over time.
  struct Level {
    double weight = 0;
    double sum = 0;
    double squares = 0;
  };
  using Levels = std::vector<Level>;
  struct Kind {
    double typical_us = 0;  // Below the knee.
    double share = 0;       // Of the last samples.
    int samples = 0;
  };
  // Service time relative to that below the knee: 1 up to `knee` requests, (n / knee) ^ power
  // above.
  struct Curve {
    double knee = 1;
    double power = 0;
    double At(double running) const;
  };

  Kind& KindOf(const ServiceSample& sample, double expected);
  size_t LevelOf(double running) const;
  double RunningAt(size_t level) const;
  void AddToLevels(double running, double log_ratio, int64_t now_us);
  void UpdateTypical(Kind& kind, double ratio);
  bool IsChanging(int64_t now_us);
  double ErrorOf(const Curve& curve, const Levels& levels) const;
  Curve Fit() const;
  void Decide(int64_t now_us);
  void Limit(double limit);
  void Lower(double factor, double share_to_restore);
  double WeightBelow(double running) const;

  int m_slots;
  double m_limit;
  // Limit up to which it rises quickly after the answers were late.
  double m_recovery_limit = 0;
  int m_exploring = 0;  // Decisions for which the limit stays lowered at most.
  std::map<std::string, Kind, std::less<>> m_kinds;
  Levels m_levels;          // Of the last tens of seconds.
  Levels m_recent_levels;   // Of the last few seconds.
  int64_t m_levels_us = 0;  // Time to which the levels have been decayed.
  Curve m_curve;
  double m_pace = 1;       // Service time relative to what the kind and the curve suggest.
  double m_mean_rise = 1;  // Mean of the curve over the last samples.
  int m_samples = 0;
  int64_t m_steady_us = 0;  // When the pace was last close to 1.
  double m_late_share = 0;
  int m_running = 0;
  int m_most_running = 0;  // Since the last decision.
  double m_running_integral = 0;
  int64_t m_running_us = 0;
  int64_t m_sampled_us = 0;
  int64_t m_decided_us = 0;
  int m_samples_since_decision = 0;
};

}  // namespace guavatrail
