// Defines ControlPortGuard, which accepts the connections of the control port in place of libzmq
// and passes their bytes on to its socket. libzmq neither limits the number of connections nor, up
// to the largest message, the memory of each before a client has proved that it has the fleet key.
#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "deferred_queue.h"
#include "event_loop.h"
#include "metrics.h"
#include "port_budget.h"

struct evconnlistener;

namespace guavatrail {

// Connections without a complete handshake are limited in number, bytes and time. Those of nodes,
// which have completed it, are not limited.
class ControlPortGuard {
 public:
  struct Options {
    std::string ip;
    uint16_t port = 0;
    PortLimits limits;  // Of the connections without a complete handshake.
    std::chrono::milliseconds handshake_timeout{5'000};
  };

  ControlPortGuard(EventLoop& loop, Options options, Metrics& metrics);
  ~ControlPortGuard();
  ControlPortGuard(const ControlPortGuard&) = delete;
  ControlPortGuard& operator=(const ControlPortGuard&) = delete;

  // The ZeroMQ endpoint that the socket must be bound to before Listen().
  std::string endpoint() const;
  tl::expected<void, std::string> Listen();

  size_t connections() const { return m_connections.size(); }
  size_t pending() const { return m_pending.size(); }

 private:
  class Connection;
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const;
  };

  void Accept(int fd, std::string address);
  void OnHandshakeComplete(Connection& connection);
  void OnHandshakeFailed(Connection& connection, std::string_view reason);
  void Remove(Connection& connection);
  void UpdateAccepting();
  void MakeRoom();

  EventLoop& m_loop;
  Options m_options;
  Metrics& m_metrics;
  std::string m_socket_name;  // Of the ZeroMQ socket, in the abstract namespace.
  DeferredQueue m_deferred;
  std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
  Timer m_room_timer;
  std::map<Connection*, std::unique_ptr<Connection>> m_connections;
  std::list<Connection*> m_pending;  // Without a complete handshake; the oldest first.
};

}  // namespace guavatrail
