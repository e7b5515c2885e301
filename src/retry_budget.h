// Defines RetryBudget, which limits retries to a share of the calls, so that retries cannot amplify
// an overload.
#pragma once

#include <algorithm>
#include <variant>

namespace guavatrail {

// A token bucket that calls fill and retries drain. One instance per service.
class TokenRetryBudget {
 public:
  struct Options {
    double share = 0.1;     // Retries per call.
    double reserve = 10.0;  // Capacity of the bucket in retries; it starts full.
  };

  TokenRetryBudget() : TokenRetryBudget(Options{}) {}
  explicit TokenRetryBudget(Options options) : m_options(options), m_tokens(options.reserve) {}

  void OnCall() { m_tokens = std::min(m_options.reserve, m_tokens + m_options.share); }
  bool CanRetry() const { return m_tokens >= 1.0; }
  // Changes the capacity, for a reserve that is shared by a changing number of nodes.
  void SetReserve(double reserve) {
    m_options.reserve = reserve;
    m_tokens = std::min(m_tokens, reserve);
  }
  void OnRetry() { m_tokens = std::max(0.0, m_tokens - 1.0); }

 private:
  Options m_options;
  double m_tokens;
};

// Baseline: unlimited retries.
class UnlimitedRetries {
 public:
  void OnCall() {}
  bool CanRetry() const { return true; }
  void OnRetry() {}
  void SetReserve(double /*reserve*/) {}
};

using RetryBudget = std::variant<TokenRetryBudget, UnlimitedRetries>;

// Records a new call; once for each call of a caller, not for its retries.
void OnCall(RetryBudget& budget);
// Whether the budget allows a retry now. Does not consider whether the call may be repeated.
bool CanRetry(const RetryBudget& budget);
// Records that a retry was sent.
void OnRetry(RetryBudget& budget);
// Changes the capacity of the budget in retries.
void SetReserve(RetryBudget& budget, double reserve);

}  // namespace guavatrail
