#include "http_query.h"

#include <event2/buffer.h>

#include <algorithm>

namespace guavatrail {

HttpQuery::HttpQuery(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request,
                     std::chrono::milliseconds timeout, Handler handler, size_t max_body_bytes)
    : m_max_body_bytes(max_body_bytes),
      m_handler(std::make_shared<Handler>(std::move(handler))),
      m_timeout(timeout),
      m_timer(loop, [this] { Finish(false); }),
      m_end_timer(loop, [this] { Finish(false); }) {
  m_exchange =
      pool.Send(std::move(request),
                {.head =
                     [this](const AnswerHead& head) {
                       m_reply.status = head.status;
                       m_reply.headers = head.headers;
                     },
                 .data = [this](evbuffer* data) { OnData(data); },
                 .done = [this](ExchangeResult end) { Finish(end == ExchangeResult::kComplete); }});
  m_timer.Start(timeout);
  m_end_timer.Start(kMaxTimeouts * timeout);
}

void HttpQuery::OnData(evbuffer* data) {
  size_t old = m_reply.body.size();
  size_t length = std::min(evbuffer_get_length(data), m_max_body_bytes - old);
  m_reply.body.resize(old + length);
  evbuffer_remove(data, m_reply.body.data() + old, length);
  evbuffer_drain(data, evbuffer_get_length(data));
  m_timer.Start(m_timeout);
}

void HttpQuery::Finish(bool complete) {
  m_timer.Cancel();
  m_end_timer.Cancel();
  m_exchange.reset();
  // The handler may destroy this object.
  std::shared_ptr<Handler> handler = std::move(m_handler);
  std::optional<HttpReply> reply;
  if (complete) reply = std::move(m_reply);
  (*handler)(std::move(reply));
}

}  // namespace guavatrail
