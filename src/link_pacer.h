// Defines LinkPacer, which keeps large answers from filling the VM's link, so that short answers do
// not wait behind them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "event_loop.h"

struct bufferevent;
struct bufferevent_rate_limit_group;

namespace guavatrail {

// A request whose answer will be large.
struct LargeRequest {
  int64_t bytes = 0;  // Typical size of its answer.
  // Typical size of the answers that are still being made for requests taken earlier.
  int64_t pending_bytes = 0;
  int64_t remaining_ms = 0;  // Until its objective, or its deadline if it has none.
  bool is_offer = false;     // Another node may be asked in place of this one.
};

// What large answers hold of a link. Pure. Answers the pattern of more large answers than a thin
// link can carry: what is taken has its answer in time, the rest is refused at once.
class LinkBacklog {
 public:
  // Bytes a second that large answers may take; 0: no bound.
  explicit LinkBacklog(int64_t bytes_per_second) : m_rate(bytes_per_second) {}

  void Add(int64_t bytes) { m_bytes += bytes; }
  // Bytes were sent, or will not be.
  void Remove(int64_t bytes) { m_bytes = bytes > m_bytes ? 0 : m_bytes - bytes; }

  int64_t bytes() const { return m_bytes; }
  // Time until what is held now, and another answer of `bytes`, would have been sent.
  int64_t TimeMs(int64_t bytes) const;
  // Empty when the answer can be sent in time; else how far the link is behind, at least 1 ms.
  std::optional<int64_t> RefusalWaitMs(const LargeRequest& request) const;

 private:
  int64_t m_rate;
  int64_t m_bytes = 0;
};

// Shares a part of the link's rate among the connections that carry large answers. All others write
// as they like.
class LinkPacer {
 public:
  // Answers up to this size are short.
  static constexpr int64_t kLargeBytes = 16'384;

  // `link_mbps` 0: the link is not known to be a bound.
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
