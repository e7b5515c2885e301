// Defines FailureRate, how many of its requests a backend server fails of late. Pure.
#pragma once

namespace guavatrail {

// Answers the pattern of a server that fails part or all of its requests, by refusals below its
// slots, errors, broken connections or silence, while its health report is good. Such a server is
// done with a request sooner than others, looks idle, and would draw the work of a whole service.
class FailureRate {
 public:
  struct Options {
    // Weight of the newest outcome.
    double newest = 1.0 / 16;
    // Broken connections in a row, without an answer between them, after which the server counts as
    // unreachable: each of them may have cost an order its outcome.
    int breaks_to_open = 3;
  };

  FailureRate() : FailureRate(Options{}) {}
  explicit FailureRate(Options options) : m_options(options) {}

  // Commands: how a request on the server has ended.
  void OnSuccess();
  void OnFailure();
  // The server broke the connection off in place of an answer.
  void OnBrokenConnection();

  // Queries.
  // Of the last requests, in percent.
  int percent() const;
  // Whether the server breaks off one request after another. It does until it answers one.
  bool is_unreachable() const { return m_breaks_in_a_row >= m_options.breaks_to_open; }

 private:
  Options m_options;
  double m_share = 0;
  int m_breaks_in_a_row = 0;
};

}  // namespace guavatrail
