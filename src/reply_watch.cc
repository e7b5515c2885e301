#include "reply_watch.h"

namespace guavatrail {

void ReplyWatch::Sent(std::string_view peer, int64_t now_ms) {
  m_waiting_since_ms.emplace(std::string(peer), now_ms);
}

void ReplyWatch::Heard(std::string_view peer) {
  auto it = m_waiting_since_ms.find(peer);
  if (it != m_waiting_since_ms.end()) m_waiting_since_ms.erase(it);
}

bool ReplyWatch::IsSilent(std::string_view peer, int64_t now_ms) const {
  auto it = m_waiting_since_ms.find(peer);
  return it != m_waiting_since_ms.end() && now_ms - it->second >= m_silence_ms;
}

}  // namespace guavatrail
