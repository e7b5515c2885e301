// Defines ReplyTimeoutTracker, which detects peers that do not answer requests, so that their
// connections can be replaced: an established connection may stay silent while new connections
// work.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavatrail {

// Performs no I/O; the caller passes in monotonic times in milliseconds.
class ReplyTimeoutTracker {
 public:
  explicit ReplyTimeoutTracker(int64_t timeout_ms) : m_timeout_ms(timeout_ms) {}

  // Records that a request was sent to the peer.
  void OnSent(std::string_view peer, int64_t now_ms);
  // Records that a reply arrived from the peer.
  void OnReply(std::string_view peer);
  // Whether the peer has answered neither a request sent at least the timeout ago nor a later one.
  bool IsTimedOut(std::string_view peer, int64_t now_ms) const;
  // Forgets unanswered requests, for a peer with a new connection or one that has been removed.
  void Reset(std::string_view peer) { OnReply(peer); }

 private:
  int64_t m_timeout_ms;
  // Send time of the oldest request since the last reply.
  std::map<std::string, int64_t, std::less<>> m_oldest_unanswered_ms;
};

}  // namespace guavatrail
