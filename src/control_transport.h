// Defines ControlTransport, which sends and receives encrypted ZeroMQ messages between the control
// ports of nodes.
//
// Trust: all nodes share one CURVE key pair, the fleet key. A handshake fails without it, so a
// process outside the fleet can neither send nor receive messages nor claim a node name. Any holder
// of the key can claim any name: names distinguish honest nodes and do not protect against a
// malicious member.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "control.pb.h"
#include "control_port_guard.h"
#include "event_loop.h"
#include "metrics.h"
#include "port_budget.h"

namespace guavatrail {

// The largest encoded message in bytes, envelope included.
inline constexpr size_t kMaxControlMessageBytes = 2'000'000;

struct TransportOptions {
  std::string node;  // Name of this node, sent as the routing id.
  std::string ip;
  uint16_t port = 0;
  std::string public_key;  // Fleet key pair, in Z85 encoding.
  std::string secret_key;
  // Of the connections whose clients have not proved yet that they have the fleet key.
  PortLimits limits;
};

struct TransportError {
  std::string message;
};

// One ROUTER socket accepts connections; each outgoing connection has a DEALER socket. Delivery is
// at most once: a message to an unreachable, slow or unknown peer is lost. Handlers run on the
// loop, never inside Send().
class ControlTransport {
 public:
  using Handler = std::function<void(std::string_view node, const pb::ControlMessage& message)>;

  ControlTransport(EventLoop& loop, TransportOptions options, Metrics& metrics);
  ~ControlTransport();
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  // Must be set before Listen(). The handler may connect, disconnect and send.
  void SetHandler(Handler handler) { m_handler = std::move(handler); }
  // Fails when a key is not valid or the address cannot be bound.
  tl::expected<void, TransportError> Listen();

  // Opens a connection to the node at `address`, "IP:PORT". Replaces one to another address.
  void Connect(std::string_view node, std::string_view address);
  // Opens a connection to a node whose name is not known; `address` serves as its name in Send(),
  // Reconnect() and Disconnect(). Its messages arrive under the name that the node states.
  void ConnectContact(std::string_view address);
  // Replaces the connection by a new one. An open connection may stay silent indefinitely while
  // new ones work, which ZeroMQ does not detect.
  void Reconnect(std::string_view node);
  void Disconnect(std::string_view node);
  bool IsConnected(std::string_view node) const;

  // Sends over the outgoing connection, or else over one that the node opened; a reply tries the
  // latter first. Returns false when the message was dropped: no connection, a full queue, or a
  // message larger than kMaxControlMessageBytes.
  bool Send(std::string_view node, const pb::ControlMessage& message);

 private:
  struct Socket;
  struct ContextDeleter {
    void operator()(void* context) const;
  };
  struct Counters {
    Counter& messages_in;
    Counter& messages_out;
    Counter& bytes_in;
    Counter& bytes_out;
    Counter& undecodable;
    Counter& oversized;
    Counter& rejected;
    Counter& misaddressed;
    Counter& dropped;
    Counter& disconnects;
  };

  std::shared_ptr<Socket> OpenSocket(int type, void (ControlTransport::*drain)(Socket&));
  bool SetKeys(Socket& socket, bool is_server);
  // The sender and receiver fields of a message, by which the receiver detects a message to a
  // reused address.
  pb::ControlMessage EnvelopeFor(std::string_view receiver) const;
  bool SendOn(Socket* socket, std::string_view node, std::string_view body);
  tl::expected<void, TransportError> ListenForAuthentication();
  tl::expected<void, TransportError> ListenForEvents();
  void OpenDealer(std::string_view peer, std::string_view node, std::string_view address);
  void RegisterWithLoop(const std::shared_ptr<Socket>& socket);
  static void OnReadable(int fd, short what, void* arg);
  void DrainRouter(Socket& socket);
  void DrainDealer(Socket& socket);
  void DrainAuthentication(Socket& socket);
  void DrainEvents(Socket& socket);
  void Deliver(std::string_view expected_sender, std::string_view payload);

  EventLoop& m_loop;
  TransportOptions m_options;
  Counters m_counters;
  Handler m_handler;
  std::unique_ptr<void, ContextDeleter> m_context;
  ControlPortGuard m_guard;
  std::shared_ptr<Socket> m_authentication;
  std::shared_ptr<Socket> m_events;
  std::shared_ptr<Socket> m_router;
  std::map<std::string, std::shared_ptr<Socket>, std::less<>> m_dealers;
};

}  // namespace guavatrail
