#include "reply_timeout_tracker.h"

namespace guavatrail {

void ReplyTimeoutTracker::OnSent(std::string_view peer, int64_t now_ms) {
  m_waiting_since_ms.emplace(std::string(peer), now_ms);
}

void ReplyTimeoutTracker::OnReply(std::string_view peer) {
  auto it = m_waiting_since_ms.find(peer);
  if (it != m_waiting_since_ms.end()) m_waiting_since_ms.erase(it);
}

bool ReplyTimeoutTracker::IsTimedOut(std::string_view peer, int64_t now_ms) const {
  auto it = m_waiting_since_ms.find(peer);
  return it != m_waiting_since_ms.end() && now_ms - it->second >= m_silence_ms;
}

}  // namespace guavatrail
