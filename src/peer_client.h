// Defines PeerClient, which holds a connection pool for each peer port of other nodes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "connection_pool.h"
#include "endpoint.h"
#include "event_loop.h"

namespace guavatrail {

class PeerClient {
 public:
  // `local_ip` is the source address of connections; empty: chosen by the system.
  // `receive_buffer_bytes`: see ConnectionPool::Options.
  PeerClient(EventLoop& loop, std::string local_ip, int receive_buffer_bytes = 0);

  // The pool of a node's peer port. The reference stays valid while a request on it is in flight.
  ConnectionPool& PoolOf(const Endpoint& endpoint);

 private:
  void DropUnused();

  EventLoop& m_loop;
  std::string m_local_ip;
  int m_receive_buffer_bytes;
  std::map<std::pair<std::string, uint16_t>, std::unique_ptr<ConnectionPool>> m_pools;
  Timer m_cleanup_timer;
};

}  // namespace guavatrail
