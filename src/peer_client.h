// Defines PeerClient, the connections of an entry node to the peer ports of other nodes.
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
  // Connections start from `local_ip` unless it is empty.
  PeerClient(EventLoop& loop, std::string local_ip);

  // The pool of a node's peer port. Stays valid while a request that uses it is under way.
  ConnectionPool& PoolOf(const Endpoint& endpoint);

 private:
  void DropUnused();

  EventLoop& m_loop;
  std::string m_local_ip;
  std::map<std::pair<std::string, uint16_t>, std::unique_ptr<ConnectionPool>> m_pools;
  Timer m_cleanup_timer;
};

}  // namespace guavatrail
