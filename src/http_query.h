// Defines HttpQuery, a request whose answer is collected before it is handed on.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "connection_pool.h"
#include "event_loop.h"

namespace guavatrail {

struct HttpReply {
  int status = 0;
  HeaderList headers;
  std::string body;  // At most as long as the query allows; the rest is dropped.
};

// A request whose answer is taken as a whole. Destroying it gives it up.
class HttpQuery {
 public:
  static constexpr size_t kSmallBodyBytes = 4096;
  // A large answer may take this many timeouts in all, since thin links carry it slowly.
  static constexpr int kMaxTimeouts = 5;
  // Receives the whole reply, or nothing when it did not come in time. May destroy the query.
  using Handler = std::function<void(std::optional<HttpReply>)>;

  // `timeout` is the longest time without any byte of the answer.
  HttpQuery(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request,
            std::chrono::milliseconds timeout, Handler handler,
            size_t max_body_bytes = kSmallBodyBytes);

 private:
  void OnData(evbuffer* data);
  void Finish(bool complete);

  size_t m_max_body_bytes;
  HttpReply m_reply;
  std::shared_ptr<Handler> m_handler;
  std::unique_ptr<Exchange> m_exchange;
  std::chrono::milliseconds m_timeout;
  Timer m_timer;
  Timer m_end_timer;
};

}  // namespace guavatrail
