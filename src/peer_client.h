// Defines PeerClient, the connections of an entry node to the peer ports of other nodes, and
// PeerQuery, a small request to one of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "connection_pool.h"
#include "endpoint.h"
#include "event_loop.h"

namespace guavatrail {

struct PeerReply {
  int status = 0;
  HeaderList headers;
  std::string body;  // At most PeerQuery::kMaxBodyBytes.
};

// A request with a small answer and a time limit. Destroying it gives it up.
class PeerQuery {
 public:
  static constexpr size_t kMaxBodyBytes = 4096;
  // Receives the whole reply, or nothing when it did not come in time. May destroy the query.
  using Handler = std::function<void(std::optional<PeerReply>)>;

  PeerQuery(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request,
            std::chrono::milliseconds timeout, Handler handler);

 private:
  void OnData(evbuffer* data);
  void Finish(bool complete);

  PeerReply m_reply;
  std::shared_ptr<Handler> m_handler;
  std::unique_ptr<Exchange> m_exchange;
  Timer m_timer;
};

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
