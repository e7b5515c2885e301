#include "peer_client.h"

#include <event2/buffer.h>

namespace guavatrail {

namespace {

// Connections of one entry node to one peer; calls beyond them wait.
constexpr size_t kMaxConnections = 256;
constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::chrono::milliseconds kCleanupPeriod{60'000};

}  // namespace

PeerQuery::PeerQuery(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request,
                     std::chrono::milliseconds timeout, Handler handler)
    : m_handler(std::make_shared<Handler>(std::move(handler))),
      m_timer(loop, [this] { Finish(false); }) {
  m_exchange =
      pool.Send(std::move(request),
                {.head =
                     [this](const AnswerHead& head) {
                       m_reply.status = head.status;
                       m_reply.headers = head.headers;
                     },
                 .data = [this](evbuffer* data) { OnData(data); },
                 .done = [this](ExchangeEnd end) { Finish(end == ExchangeEnd::kComplete); }});
  m_timer.Start(timeout);
}

void PeerQuery::OnData(evbuffer* data) {
  size_t old = m_reply.body.size();
  size_t length = std::min(evbuffer_get_length(data), kMaxBodyBytes - old);
  m_reply.body.resize(old + length);
  evbuffer_remove(data, m_reply.body.data() + old, length);
  evbuffer_drain(data, evbuffer_get_length(data));
}

void PeerQuery::Finish(bool complete) {
  m_timer.Cancel();
  m_exchange.reset();
  // The handler may destroy this object.
  std::shared_ptr<Handler> handler = std::move(m_handler);
  std::optional<PeerReply> reply;
  if (complete) reply = std::move(m_reply);
  (*handler)(std::move(reply));
}

PeerClient::PeerClient(EventLoop& loop, std::string local_ip)
    : m_loop(loop),
      m_local_ip(std::move(local_ip)),
      m_cleanup_timer(loop, [this] { DropUnused(); }) {
  m_cleanup_timer.Start(kCleanupPeriod);
}

ConnectionPool& PeerClient::PoolOf(const Endpoint& endpoint) {
  auto& pool = m_pools[{endpoint.ip, endpoint.peer_port}];
  if (pool == nullptr) {
    pool = std::make_unique<ConnectionPool>(
        m_loop, ConnectionPool::Options{.ip = endpoint.ip,
                                        .port = endpoint.peer_port,
                                        .local_ip = m_local_ip,
                                        .max_connections = kMaxConnections,
                                        .connect_timeout = kConnectTimeout});
  }
  return *pool;
}

void PeerClient::DropUnused() {
  std::erase_if(m_pools, [](const auto& entry) { return entry.second->is_unused(); });
  m_cleanup_timer.Start(kCleanupPeriod);
}

}  // namespace guavatrail
