// Defines LinkPacer, which limits the bandwidth of large answers, so that short answers do not
// wait behind them on the VM's link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "event_loop.h"

struct bufferevent;
struct bufferevent_rate_limit_group;

namespace guavatrail {

// A request with a large expected answer.
struct LargeRequest {
  int64_t bytes = 0;  // Expected size of its answer.
  // Expected size of the answers that the server has yet to produce for requests accepted
  // earlier.
  int64_t pending_bytes = 0;
  int64_t remaining_ms = 0;  // Until its objective, or its deadline if it has none.
  bool is_offer = false;     // Another node may be tried instead of this one.
};

// The bytes of large answers that are waiting to be sent on a link. With it, a node accepts only as
// many requests with large answers as a slow link can send in time, and refuses the others at once.
// Performs no I/O.
class LinkBacklog {
 public:
  // Bytes per second that large answers may use; 0: unlimited.
  explicit LinkBacklog(int64_t bytes_per_second) : m_rate(bytes_per_second) {}

  void Add(int64_t bytes) { m_bytes += bytes; }
  // Removes bytes that were sent, or that will not be sent.
  void Remove(int64_t bytes) { m_bytes = bytes > m_bytes ? 0 : m_bytes - bytes; }

  int64_t bytes() const { return m_bytes; }
  // Time to send the backlog and another answer of `bytes`.
  int64_t TimeMs(int64_t bytes) const;
  // Returns nullopt if the request can be accepted, as it is on an idle link, which has no better
  // time to offer; otherwise the time to send the backlog and the pending answers, at least 1 ms.
  // An offer is refused if that time exceeds kMaxOfferBacklogMs, even if its answer could be sent
  // in time.
  std::optional<int64_t> RefusalWaitMs(const LargeRequest& request) const;

 private:
  int64_t m_rate;
  int64_t m_bytes = 0;
};

// Shares a part of the link's bandwidth among the connections that carry large answers. Other
// connections are not limited.
class LinkPacer {
 public:
  // Answers above this size are large.
  static constexpr int64_t kLargeBytes = 16'384;

  // `link_mbps` is the bandwidth of the link; 0: unknown, which disables the limit.
  LinkPacer(EventLoop& loop, double link_mbps);
  ~LinkPacer();
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  void AddConnection(bufferevent* bev);
  void RemoveConnection(bufferevent* bev);

  LinkBacklog& backlog() { return m_backlog; }

 private:
  bufferevent_rate_limit_group* m_group = nullptr;  // Null: not paced.
  LinkBacklog m_backlog;
};

}  // namespace guavatrail
