// Defines ServerRateLimit, which keeps the requests sent to a backend server within the limit that
// the server names in its answers. It serves the pattern of load where a server in need takes far
// fewer requests a second than its free slots would run. Performs no I/O; callers pass in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace guavatrail {

// A token bucket. All requests to a server pass the node beside it, so that this one bucket limits
// the sum over all entry nodes. All times are microseconds of one monotonic clock.
class ServerRateLimit {
 public:
  // Events. Those that return a bool return whether the limit has changed.
  // The server has answered a request that was sent at `sent_us`, and names `limit_per_s` or no
  // limit.
  bool OnAnswer(std::optional<double> limit_per_s, int64_t sent_us, int64_t now_us);
  // Another node has seen the server name `limit_per_s`. Ignored once the server has answered here.
  bool OnReported(double limit_per_s, int64_t now_us);
  // A request is sent to the server, also if CanSend was false.
  void OnSent(int64_t now_us);
  // Another server has taken the place of this one.
  void Reset();

  // Queries.
  // Requests a second, as named; nullopt: there is no limit.
  std::optional<double> limit_per_s() const { return m_limit_per_s; }
  // When the limit was last named; meaningful only with a limit.
  int64_t named_us() const { return m_named_us; }
  bool CanSend(int64_t now_us) const { return WaitUs(0, now_us) == 0; }
  // Time until a request can be sent that has `ahead` requests before it; 0 without a limit.
  int64_t WaitUs(size_t ahead, int64_t now_us) const;

 private:
  bool SetLimit(double limit_per_s, int64_t now_us);
  double Rate() const;
  double Burst() const;
  double TokensAt(int64_t now_us) const;

  std::optional<double> m_limit_per_s;
  double m_tokens = 0;       // At m_updated_us; negative after requests sent regardless.
  int64_t m_updated_us = 0;  // Meaningful only with a limit.
  int64_t m_named_us = 0;
  std::optional<int64_t> m_sent_us;  // When the last request was sent.
  bool m_has_answered = false;
};

}  // namespace guavatrail
