// Defines HttpQuery, an HTTP request whose answer is buffered and delivered as a whole.
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
  std::string body;  // Truncated to the max_body_bytes of the query.
};

// Destroying a query cancels its request.
class HttpQuery {
 public:
  static constexpr size_t kSmallBodyBytes = 4096;
  // Limit on the total time as a multiple of the timeout, since a large answer needs more than
  // one timeout on a slow link.
  static constexpr int kMaxTimeouts = 5;
  // Receives the complete reply, or nullopt on a failure or timeout. May destroy the query.
  using Handler = std::function<void(std::optional<HttpReply>)>;

  // The query fails if no part of the answer body arrives for `timeout`.
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
