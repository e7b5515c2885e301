// Defines FailureRate, a moving average of the share of requests that a backend server fails.
// Performs no I/O.
#pragma once

namespace guavatrail {

// Detects a server that fails some or all of its requests (by refusals while slots are free,
// errors, broken connections or missing answers) although its health report is good. Such a
// server ends its requests sooner than others, looks idle, and would attract most calls of its
// service.
class FailureRate {
 public:
  struct Options {
    // Weight of the newest outcome in the moving average.
    double sample_weight = 1.0 / 16;
    // Consecutive broken connections, without an answer in between, after which the server counts
    // as unreachable: each of them may leave the outcome of an order unknown.
    int breaks_until_unreachable = 3;
  };

  FailureRate() : FailureRate(Options{}) {}
  explicit FailureRate(Options options) : m_options(options) {}

  // Commands: record how a request on the server ended.
  void OnSuccess();
  void OnFailure();
  // The server closed the connection without an answer.
  void OnBrokenConnection();

  // Queries.
  // Share of failed requests among the recent ones, in percent.
  int percent() const;
  // Whether the server breaks one connection after another; false again after its next answer.
  bool is_unreachable() const { return m_consecutive_breaks >= m_options.breaks_until_unreachable; }

 private:
  Options m_options;
  double m_share = 0;
  int m_consecutive_breaks = 0;
};

}  // namespace guavatrail
