// Defines RetryBudget, which bounds retries to a share of the calls so that they cannot multiply an
// overload.
#pragma once

#include <algorithm>
#include <variant>

namespace guavatrail {

// A token bucket that calls fill and retries empty. One instance for each service.
class TokenRetryBudget {
 public:
  struct Options {
    double share = 0.1;     // Retries for each call.
    double reserve = 10.0;  // Most retries that can be saved up; also the number at the start.
  };

  TokenRetryBudget() : TokenRetryBudget(Options{}) {}
  explicit TokenRetryBudget(Options options) : m_options(options), m_tokens(options.reserve) {}

  void OnCall() { m_tokens = std::min(m_options.reserve, m_tokens + m_options.share); }
  bool MayRetry() const { return m_tokens >= 1.0; }
  // The most that can be saved up; for a reserve that a changing number of nodes shares.
  void SetReserve(double reserve) {
    m_options.reserve = reserve;
    m_tokens = std::min(m_tokens, reserve);
  }
  void OnRetry() { m_tokens = std::max(0.0, m_tokens - 1.0); }

 private:
  Options m_options;
  double m_tokens;
};

// Baseline: retries without bound.
class UnlimitedRetries {
 public:
  void OnCall() {}
  bool MayRetry() const { return true; }
  void OnRetry() {}
  void SetReserve(double /*reserve*/) {}
};

using RetryBudget = std::variant<TokenRetryBudget, UnlimitedRetries>;

// A new call was made; to be told once for each call of a caller, not for its retries.
void OnCall(RetryBudget& budget);
// Whether the budget allows a retry now. Whether the call may be repeated is not its concern.
bool MayRetry(const RetryBudget& budget);
// A retry was sent.
void OnRetry(RetryBudget& budget);
// Changes the most retries that can be saved up.
void SetReserve(RetryBudget& budget, double reserve);

}  // namespace guavatrail
