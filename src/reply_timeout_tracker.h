// Defines ReplyTimeoutTracker, which notices peers that leave requests unanswered, so that their
// connections can be replaced: an open connection may be silent for good while new ones work.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavatrail {

// Pure: times are monotonic milliseconds that the caller passes in.
class ReplyTimeoutTracker {
 public:
  explicit ReplyTimeoutTracker(int64_t silence_ms) : m_silence_ms(silence_ms) {}

  // A message that the peer answers was sent.
  void OnSent(std::string_view peer, int64_t now_ms);
  // An answer arrived from the peer.
  void OnReply(std::string_view peer);
  // A request has been unanswered for the silence time, and so have all later ones.
  bool IsTimedOut(std::string_view peer, int64_t now_ms) const;
  // The peer has a new connection, or is gone; waiting starts anew.
  void Reset(std::string_view peer) { OnReply(peer); }

 private:
  int64_t m_silence_ms;
  // Time of the oldest request that nothing was heard after.
  std::map<std::string, int64_t, std::less<>> m_waiting_since_ms;
};

}  // namespace guavatrail
