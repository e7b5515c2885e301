#include "control_transport.h"

#include <glog/logging.h>
#include <zmq.h>

#include <array>
#include <cstring>
#include <optional>
#include <vector>

namespace guavatrail {

namespace {

// Messages queued for one peer. Most control messages are small and soon outdated, but a snapshot
// part has up to 900 KB, so a longer queue to a stuck peer could exceed the memory target of 32 MB.
constexpr int kHighWaterMark = 32;
// ZMQ_MAXMSGSIZE includes CURVE and ZMTP framing. A message that exceeds the limit by up to this
// many bytes is dropped and counted here; for a larger one libzmq closes the connection.
constexpr int64_t kFrameAllowance = 1024;
constexpr int kReconnectMs = 500;
constexpr int kReconnectMaxMs = 5000;
constexpr int kConnectTimeoutMs = 3000;
// A handshake waits for the authentication handler, which runs on the event loop.
constexpr int kHandshakeMs = 5000;
// TCP keep-alive detects peers that vanished without closing their connections: 60 s idle, then 3
// probes 10 s apart.
constexpr int kKeepAliveIdleS = 60;
constexpr int kKeepAliveIntervalS = 10;
constexpr int kKeepAliveProbes = 3;
// Messages handled in a row before other events on the loop are served.
constexpr int kMaxPerWakeUp = 64;
constexpr int kLogPeriodS = 10;
constexpr char kAuthenticationAddress[] = "inproc://zeromq.zap.01";
constexpr char kEventsAddress[] = "inproc://guavatrail.events";
constexpr char kZapDomain[] = "guavatrail";
constexpr size_t kKeyBytes = 32;

using Frames = std::vector<std::string>;

// Receives one multipart message; nullopt when none is waiting.
std::optional<Frames> Receive(void* socket) {
  Frames frames;
  int more = 1;
  while (more != 0) {
    zmq_msg_t part;
    zmq_msg_init(&part);
    if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
      zmq_msg_close(&part);
      return std::nullopt;
    }
    frames.emplace_back(static_cast<const char*>(zmq_msg_data(&part)), zmq_msg_size(&part));
    more = zmq_msg_more(&part);
    zmq_msg_close(&part);
  }
  return frames;
}

void SetInt(void* socket, int option, int value) {
  int result = zmq_setsockopt(socket, option, &value, sizeof(value));
  CHECK_EQ(result, 0) << "zmq_setsockopt option=" << option << ": " << zmq_strerror(zmq_errno());
}

// Sets the options of all sockets that carry messages between nodes.
void SetCommonOptions(void* socket) {
  SetInt(socket, ZMQ_SNDHWM, kHighWaterMark);
  SetInt(socket, ZMQ_RCVHWM, kHighWaterMark);
  SetInt(socket, ZMQ_IPV6, 0);
  SetInt(socket, ZMQ_RECONNECT_IVL, kReconnectMs);
  SetInt(socket, ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
  SetInt(socket, ZMQ_CONNECT_TIMEOUT, kConnectTimeoutMs);
  SetInt(socket, ZMQ_HANDSHAKE_IVL, kHandshakeMs);
  SetInt(socket, ZMQ_TCP_KEEPALIVE, 1);
  SetInt(socket, ZMQ_TCP_KEEPALIVE_IDLE, kKeepAliveIdleS);
  SetInt(socket, ZMQ_TCP_KEEPALIVE_INTVL, kKeepAliveIntervalS);
  SetInt(socket, ZMQ_TCP_KEEPALIVE_CNT, kKeepAliveProbes);
  int64_t max_size = static_cast<int64_t>(kMaxControlMessageBytes) + kFrameAllowance;
  CHECK_EQ(zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size)), 0);
}

bool SendFrames(void* socket, const Frames& frames) {
  for (size_t i = 0; i < frames.size(); ++i) {
    int flags = ZMQ_DONTWAIT | (i + 1 < frames.size() ? ZMQ_SNDMORE : 0);
    if (zmq_send(socket, frames[i].data(), frames[i].size(), flags) < 0) return false;
  }
  return true;
}

TransportError LastError(const std::string& what) {
  return {what + ": " + zmq_strerror(zmq_errno())};
}

bool IsReply(const pb::ControlMessage& message) {
  // This includes member tables: a node that restarts at another address requests one before its
  // new address is known.
  return message.has_heartbeat_ack() || message.has_member_table() || message.has_notes_reply() ||
         message.has_promise_ack() || message.has_floor_reply();
}

std::string ZeroMqAddress(std::string_view address) { return "tcp://" + std::string(address); }

}  // namespace

// A ZeroMQ socket and the event on its descriptor.
struct ControlTransport::Socket {
  ~Socket() {
    StopEvents();
    zmq_close(handle);
  }
  void StopEvents() {
    if (readable != nullptr) event_free(readable);
    readable = nullptr;
  }
  bool HasInput() const {
    int events = 0;
    size_t size = sizeof(events);
    return zmq_getsockopt(handle, ZMQ_EVENTS, &events, &size) == 0 && (events & ZMQ_POLLIN) != 0;
  }
  // Schedules the drain function when there is input. The descriptor is edge-triggered, and a send
  // or a partial drain may have consumed the edge.
  void Rearm() const {
    if (readable != nullptr && HasInput()) event_active(readable, EV_READ, 0);
  }

  ControlTransport* owner = nullptr;
  void* handle = nullptr;
  event* readable = nullptr;
  void (ControlTransport::*drain)(Socket&) = nullptr;
  std::string node;  // Empty when not known.
  std::string address;
  std::weak_ptr<Socket> self;
};

void ControlTransport::ContextDeleter::operator()(void* context) const { zmq_ctx_term(context); }

ControlTransport::ControlTransport(EventLoop& loop, TransportOptions options, Metrics& metrics)
    : m_loop(loop),
      m_options(std::move(options)),
      m_counters{metrics.GetCounter("control_messages_total", "direction=\"in\""),
                 metrics.GetCounter("control_messages_total", "direction=\"out\""),
                 metrics.GetCounter("control_bytes_total", "direction=\"in\""),
                 metrics.GetCounter("control_bytes_total", "direction=\"out\""),
                 metrics.GetCounter("control_undecodable_total"),
                 metrics.GetCounter("control_oversized_total"),
                 metrics.GetCounter("control_rejected_peers_total"),
                 metrics.GetCounter("control_misaddressed_total"),
                 metrics.GetCounter("control_dropped_total"),
                 metrics.GetCounter("control_disconnects_total")},
      m_context(zmq_ctx_new()),
      m_guard(loop,
              {.ip = m_options.ip,
               .port = m_options.port,
               .limits = m_options.limits,
               .handshake_timeout = std::chrono::milliseconds(kHandshakeMs)},
              metrics) {
  CHECK(m_context != nullptr) << "zmq_ctx_new failed";
  zmq_ctx_set(m_context.get(), ZMQ_IO_THREADS, 1);
}

ControlTransport::~ControlTransport() = default;

std::shared_ptr<ControlTransport::Socket> ControlTransport::OpenSocket(
    int type, void (ControlTransport::*drain)(Socket&)) {
  auto socket = std::make_shared<Socket>();
  socket->owner = this;
  socket->drain = drain;
  socket->self = socket;
  socket->handle = zmq_socket(m_context.get(), type);
  CHECK(socket->handle != nullptr) << "zmq_socket: " << zmq_strerror(zmq_errno());
  SetInt(socket->handle, ZMQ_LINGER, 0);
  return socket;
}

void ControlTransport::RegisterWithLoop(const std::shared_ptr<Socket>& socket) {
  int fd = -1;
  size_t size = sizeof(fd);
  CHECK_EQ(zmq_getsockopt(socket->handle, ZMQ_FD, &fd, &size), 0);
  socket->readable = event_new(m_loop.base(), fd, EV_READ | EV_PERSIST, OnReadable, socket.get());
  CHECK(socket->readable != nullptr) << "event_new failed";
  event_add(socket->readable, nullptr);
  socket->Rearm();
}

void ControlTransport::OnReadable(int, short, void* arg) {
  // Keeps the socket alive, since a handler may disconnect it.
  std::shared_ptr<Socket> socket = static_cast<Socket*>(arg)->self.lock();
  if (socket == nullptr) return;
  socket->owner->m_loop.BeginCallback(LoopWork::kControl);
  (socket->owner->*socket->drain)(*socket);
  socket->Rearm();
}

bool ControlTransport::SetKeys(Socket& socket, bool is_server) {
  auto set = [&](int option, const std::string& key) {
    return zmq_setsockopt(socket.handle, option, key.data(), key.size()) == 0;
  };
  if (!set(ZMQ_CURVE_SECRETKEY, m_options.secret_key)) return false;
  if (is_server) {
    SetInt(socket.handle, ZMQ_CURVE_SERVER, 1);
    return set(ZMQ_ZAP_DOMAIN, kZapDomain);
  }
  return set(ZMQ_CURVE_PUBLICKEY, m_options.public_key) &&
         set(ZMQ_CURVE_SERVERKEY, m_options.public_key);
}

tl::expected<void, TransportError> ControlTransport::Listen() {
  if (auto done = ListenForAuthentication(); !done) return done;
  m_router = OpenSocket(ZMQ_ROUTER, &ControlTransport::DrainRouter);
  if (auto done = ListenForEvents(); !done) return done;
  SetCommonOptions(m_router->handle);
  // A peer that reconnects takes over its routing id from its old connection, which may be silent.
  SetInt(m_router->handle, ZMQ_ROUTER_HANDOVER, 1);
  SetInt(m_router->handle, ZMQ_ROUTER_MANDATORY, 1);
  if (!SetKeys(*m_router, true)) {
    return tl::make_unexpected(
        LastError("control.secret_key is not a valid CURVE key of 40 Z85 characters"));
  }
  if (zmq_bind(m_router->handle, m_guard.endpoint().c_str()) != 0) {
    return tl::make_unexpected(LastError("cannot bind " + m_guard.endpoint()));
  }
  RegisterWithLoop(m_router);
  auto listening = m_guard.Listen();
  if (!listening) return tl::make_unexpected(TransportError{listening.error()});
  return {};
}

tl::expected<void, TransportError> ControlTransport::ListenForAuthentication() {
  std::array<uint8_t, kKeyBytes> key{};
  if (zmq_z85_decode(key.data(), m_options.public_key.c_str()) == nullptr) {
    return tl::make_unexpected(
        TransportError{"control.public_key is not a valid CURVE key of 40 Z85 characters"});
  }
  m_authentication = OpenSocket(ZMQ_REP, &ControlTransport::DrainAuthentication);
  if (zmq_bind(m_authentication->handle, kAuthenticationAddress) != 0) {
    return tl::make_unexpected(LastError("cannot bind the authentication handler"));
  }
  RegisterWithLoop(m_authentication);
  return {};
}

tl::expected<void, TransportError> ControlTransport::ListenForEvents() {
  int events = ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH |
               ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;
  if (zmq_socket_monitor(m_router->handle, kEventsAddress, events) != 0) {
    return tl::make_unexpected(LastError("cannot monitor the control port"));
  }
  m_events = OpenSocket(ZMQ_PAIR, &ControlTransport::DrainEvents);
  if (zmq_connect(m_events->handle, kEventsAddress) != 0) {
    return tl::make_unexpected(LastError("cannot monitor the control port"));
  }
  RegisterWithLoop(m_events);
  return {};
}

void ControlTransport::Connect(std::string_view node, std::string_view address) {
  auto found = m_dealers.find(node);
  if (found != m_dealers.end() && found->second->address == address) return;
  OpenDealer(node, node, address);
}

void ControlTransport::ConnectContact(std::string_view address) {
  if (m_dealers.find(address) == m_dealers.end()) OpenDealer(address, "", address);
}

void ControlTransport::OpenDealer(std::string_view peer, std::string_view node,
                                  std::string_view address) {
  Disconnect(peer);
  auto socket = OpenSocket(ZMQ_DEALER, &ControlTransport::DrainDealer);
  socket->node = node;
  socket->address = address;
  SetCommonOptions(socket->handle);
  zmq_setsockopt(socket->handle, ZMQ_ROUTING_ID, m_options.node.data(), m_options.node.size());
  // Binds the source to the listening address, so that the peer's network can tell nodes apart.
  std::string endpoint = ZeroMqAddress(m_options.ip + ":0;" + std::string(address));
  if (!SetKeys(*socket, false) || zmq_connect(socket->handle, endpoint.c_str()) != 0) {
    LOG_EVERY_T(ERROR, kLogPeriodS)
        << "event=connect_failed node=" << node << " address=" << address << " error=\""
        << zmq_strerror(zmq_errno()) << '"';
    return;
  }
  RegisterWithLoop(socket);
  m_dealers[std::string(peer)] = std::move(socket);
}

void ControlTransport::Reconnect(std::string_view node) {
  auto found = m_dealers.find(node);
  if (found == m_dealers.end()) return;
  std::string peer = found->first;
  std::string name = found->second->node;
  std::string address = found->second->address;
  OpenDealer(peer, name, address);
}

void ControlTransport::Disconnect(std::string_view node) {
  auto found = m_dealers.find(node);
  if (found == m_dealers.end()) return;
  found->second->StopEvents();
  m_dealers.erase(found);
}

bool ControlTransport::IsConnected(std::string_view node) const {
  return m_dealers.find(node) != m_dealers.end();
}

bool ControlTransport::Send(std::string_view node, const pb::ControlMessage& message) {
  std::string body = message.SerializeAsString();
  if (body.size() + EnvelopeFor(node).ByteSizeLong() > kMaxControlMessageBytes) {
    m_counters.oversized.Add();
    LOG_EVERY_T(ERROR, kLogPeriodS)
        << "event=message_too_large node=" << node << " bytes=" << body.size();
    return false;
  }
  auto dealer = m_dealers.find(node);
  // A reply goes back over the connection of the request if the peer opened it. That connection
  // works, while the outgoing one may have become silent without this node noticing.
  bool by_router = dealer == m_dealers.end() || IsReply(message);
  bool sent = by_router && SendOn(m_router.get(), node, body);
  if (!sent && dealer != m_dealers.end()) sent = SendOn(dealer->second.get(), node, body);
  if (!sent) m_counters.dropped.Add();
  return sent;
}

pb::ControlMessage ControlTransport::EnvelopeFor(std::string_view receiver) const {
  pb::ControlMessage envelope;
  envelope.set_sender(m_options.node);
  envelope.set_receiver(std::string(receiver));
  return envelope;
}

bool ControlTransport::SendOn(Socket* socket, std::string_view node, std::string_view body) {
  if (socket == nullptr) return false;
  bool is_router = socket == m_router.get();
  // Concatenated protobuf messages decode as their merge, so the envelope is appended to the body.
  std::string bytes(body);
  EnvelopeFor(is_router ? node : socket->node).AppendToString(&bytes);
  Frames frames;
  if (is_router) frames.emplace_back(node);
  size_t size = bytes.size();
  frames.push_back(std::move(bytes));
  bool sent = SendFrames(socket->handle, frames);
  socket->Rearm();
  if (!sent) return false;
  m_counters.messages_out.Add();
  m_counters.bytes_out.Add(size);
  return true;
}

void ControlTransport::DrainRouter(Socket& socket) {
  for (int i = 0; i < kMaxPerWakeUp; ++i) {
    auto frames = Receive(socket.handle);
    if (!frames) return;
    if (frames->size() != 2 || (*frames)[0].empty()) {
      m_counters.undecodable.Add();
      LOG_EVERY_T(WARNING, kLogPeriodS) << "event=unexpected_frames count=" << frames->size();
      continue;
    }
    Deliver((*frames)[0], (*frames)[1]);
  }
}

void ControlTransport::DrainDealer(Socket& socket) {
  for (int i = 0; i < kMaxPerWakeUp && socket.readable != nullptr; ++i) {
    auto frames = Receive(socket.handle);
    if (!frames) return;
    if (frames->size() != 1) {
      m_counters.undecodable.Add();
      continue;
    }
    Deliver(socket.node, (*frames)[0]);
  }
}

void ControlTransport::Deliver(std::string_view expected_sender, std::string_view payload) {
  m_counters.bytes_in.Add(payload.size());
  m_counters.messages_in.Add();
  if (payload.size() > kMaxControlMessageBytes) {
    m_counters.oversized.Add();
    LOG_EVERY_T(WARNING, kLogPeriodS)
        << "event=oversized_message node=" << expected_sender << " bytes=" << payload.size();
    return;
  }
  pb::ControlMessage message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
      message.body_case() == pb::ControlMessage::BODY_NOT_SET || message.sender().empty()) {
    m_counters.undecodable.Add();
    LOG_EVERY_T(WARNING, kLogPeriodS) << "event=undecodable_message bytes=" << payload.size();
    return;
  }
  bool sender_ok = expected_sender.empty() || message.sender() == expected_sender;
  bool receiver_ok = message.receiver().empty() || message.receiver() == m_options.node;
  if (!sender_ok || !receiver_ok) {
    m_counters.misaddressed.Add();
    LOG_EVERY_T(WARNING, kLogPeriodS)
        << "event=misaddressed_message sender=" << message.sender()
        << " expected=" << expected_sender << " receiver=" << message.receiver();
    return;
  }
  if (m_handler) m_handler(message.sender(), message);
}

// Answers ZAP requests (ZeroMQ RFC 27). The frames of a request are version, request id, domain,
// address, identity, mechanism and the client's public key.
void ControlTransport::DrainAuthentication(Socket& socket) {
  constexpr size_t kRequestFrames = 7;
  std::array<uint8_t, kKeyBytes> key{};
  zmq_z85_decode(key.data(), m_options.public_key.c_str());
  std::string_view accepted(reinterpret_cast<const char*>(key.data()), key.size());
  while (auto request = Receive(socket.handle)) {
    bool well_formed = request->size() == kRequestFrames;
    bool ok = well_formed && (*request)[2] == kZapDomain && (*request)[5] == "CURVE" &&
              (*request)[6] == accepted;
    Frames reply = {
        "1.0", well_formed ? (*request)[1] : "", ok ? "200" : "400", ok ? "OK" : "unknown key", "",
        ""};
    SendFrames(socket.handle, reply);
    if (!ok && well_formed) {
      LOG_EVERY_T(WARNING, kLogPeriodS) << "event=peer_rejected address=" << (*request)[3];
    }
  }
}

void ControlTransport::DrainEvents(Socket& socket) {
  while (auto frames = Receive(socket.handle)) {
    uint16_t code = 0;
    if (frames->empty() || (*frames)[0].size() < sizeof(code)) continue;
    std::memcpy(&code, (*frames)[0].data(), sizeof(code));
    (code == ZMQ_EVENT_DISCONNECTED ? m_counters.disconnects : m_counters.rejected).Add();
  }
}

}  // namespace guavatrail
