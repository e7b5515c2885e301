#include "reply_timeout_tracker.h"

namespace guavatrail {

void ReplyTimeoutTracker::OnSent(std::string_view peer, int64_t now_ms) {
  m_oldest_unanswered_ms.emplace(std::string(peer), now_ms);
}

void ReplyTimeoutTracker::OnReply(std::string_view peer) {
  auto it = m_oldest_unanswered_ms.find(peer);
  if (it != m_oldest_unanswered_ms.end()) m_oldest_unanswered_ms.erase(it);
}

bool ReplyTimeoutTracker::IsTimedOut(std::string_view peer, int64_t now_ms) const {
  auto it = m_oldest_unanswered_ms.find(peer);
  return it != m_oldest_unanswered_ms.end() && now_ms - it->second >= m_timeout_ms;
}

}  // namespace guavatrail
