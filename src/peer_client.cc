#include "peer_client.h"

namespace guavatrail {

namespace {

// Maximum number of connections from one entry node to one peer; further calls are queued.
constexpr size_t kMaxConnections = 256;
constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::chrono::milliseconds kCleanupPeriod{60'000};

}  // namespace

PeerClient::PeerClient(EventLoop& loop, std::string local_ip, int receive_buffer_bytes)
    : m_loop(loop),
      m_local_ip(std::move(local_ip)),
      m_receive_buffer_bytes(receive_buffer_bytes),
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
                                        .receive_buffer_bytes = m_receive_buffer_bytes,
                                        .connect_timeout = kConnectTimeout});
  }
  return *pool;
}

void PeerClient::DropUnused() {
  std::erase_if(m_pools, [](const auto& entry) { return entry.second->is_unused(); });
  m_cleanup_timer.Start(kCleanupPeriod);
}

}  // namespace guavatrail
