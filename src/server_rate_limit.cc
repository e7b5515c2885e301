#include "server_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace guavatrail {

namespace {

constexpr double kUsPerSecond = 1'000'000.0;
// A server that names a lower limit, such as 0, is still sent this many requests a second: without
// answers a node could not learn that the limit has ended.
constexpr double kMinRatePerSecond = 0.5;
// Unused capacity of this time may be used at once.
constexpr double kBurstSeconds = 0.25;

}  // namespace

double ServerRateLimit::Rate() const { return std::max(*m_limit_per_s, kMinRatePerSecond); }

double ServerRateLimit::Burst() const { return std::max(1.0, Rate() * kBurstSeconds); }

double ServerRateLimit::TokensAt(int64_t now_us) const {
  double elapsed_s = static_cast<double>(now_us - m_updated_us) / kUsPerSecond;
  return std::min(Burst(), m_tokens + Rate() * elapsed_s);
}

bool ServerRateLimit::SetLimit(double limit_per_s, int64_t now_us) {
  m_named_us = now_us;
  if (m_limit_per_s == limit_per_s) return false;
  bool is_new = !m_limit_per_s;
  double tokens = is_new ? 0 : TokensAt(now_us);
  m_limit_per_s = limit_per_s;
  // The last request before the limit was named uses it too.
  if (is_new) {
    double since_sent_s =
        m_sent_us ? static_cast<double>(now_us - *m_sent_us) / kUsPerSecond : 1 / Rate();
    tokens = std::min(1.0, Rate() * since_sent_s);
  }
  m_tokens = std::min(tokens, Burst());
  m_updated_us = now_us;
  return true;
}

// Answers on several connections may be read in another order than the server sent them. The limit
// has ended only if an answer without it belongs to a request that was sent after the limit was
// last named.
bool ServerRateLimit::OnAnswer(std::optional<double> limit_per_s, int64_t sent_us, int64_t now_us) {
  m_has_answered = true;
  if (limit_per_s) return SetLimit(*limit_per_s, now_us);
  if (!m_limit_per_s || sent_us <= m_named_us) return false;
  m_limit_per_s.reset();
  return true;
}

bool ServerRateLimit::OnReported(double limit_per_s, int64_t now_us) {
  if (m_has_answered || m_limit_per_s) return false;
  return SetLimit(limit_per_s, now_us);
}

void ServerRateLimit::OnSent(int64_t now_us) {
  m_sent_us = now_us;
  if (!m_limit_per_s) return;
  m_tokens = TokensAt(now_us) - 1;
  m_updated_us = now_us;
}

void ServerRateLimit::Reset() { *this = ServerRateLimit(); }

int64_t ServerRateLimit::WaitUs(size_t ahead, int64_t now_us) const {
  if (!m_limit_per_s) return 0;
  double missing = static_cast<double>(ahead) + 1 - TokensAt(now_us);
  if (missing <= 0) return 0;
  // A wait beyond this is as good as infinite, and larger values would overflow.
  constexpr double kMaxWaitUs = 1e12;
  return static_cast<int64_t>(std::min(kMaxWaitUs, std::ceil(missing / Rate() * kUsPerSecond)));
}

}  // namespace guavatrail
