#include "control_port_guard.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <utility>

#include "curve_handshake.h"
#include "socket_options.h"

namespace guavatrail {

namespace {

// Connections of nodes that vanished would otherwise stay open.
constexpr KeepAlive kKeepAlive = {.idle_s = 60, .interval_s = 10, .probes = 3};
// The window of a connection cannot become wider later. Nodes send up to 900 KB at once.
constexpr int kReceiveBytes = 65'536;
// Bytes that are held for a side that does not take them; then the other side is not read.
constexpr size_t kMaxHeldBytes = 65'536;
// Time for a side to take what is left when the other side has closed.
constexpr std::chrono::milliseconds kFlushTime{1'000};
// While no further connection can be accepted, a handshake that takes longer than this makes room.
constexpr int64_t kStalledUs = 1'000'000;
constexpr std::chrono::milliseconds kRoomCheckDelay{200};
constexpr int kLogPeriodS = 10;

constexpr std::string_view kTooLong = "too_long";
constexpr std::string_view kTimeout = "timeout";
constexpr std::string_view kNoRoom = "no_room";
constexpr std::string_view kClosed = "closed";

std::string AddressText(const sockaddr* address) {
  char text[INET_ADDRSTRLEN] = "";
  const auto* ip = reinterpret_cast<const sockaddr_in*>(address);
  inet_ntop(AF_INET, &ip->sin_addr, text, sizeof(text));
  return text;
}

std::string UniqueSocketName() {
  static int number = 0;
  return "guavatrail-control-" + std::to_string(getpid()) + "-" + std::to_string(number++);
}

// Connects to a Unix socket in the abstract namespace, whose names begin with a null byte.
bool ConnectToAbstractSocket(bufferevent* bev, std::string_view name) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::copy(name.begin(), name.end(), address.sun_path + 1);
  size_t length = offsetof(sockaddr_un, sun_path) + 1 + name.size();
  return bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&address),
                                    static_cast<int>(length)) == 0;
}

}  // namespace

// A client and the connection to the ZeroMQ socket that belongs to it.
class ControlPortGuard::Connection {
 public:
  Connection(ControlPortGuard& guard, int fd, std::string address)
      : m_guard(guard),
        m_address(std::move(address)),
        m_accepted_us(EventLoop::NowUs()),
        m_client(OpenSide(fd)),
        m_server(OpenSide(-1)),
        m_timer(guard.m_loop, [this] { OnTimer(); }) {
    // The rest of what a client sends beyond a handshake is never read.
    bufferevent_setwatermark(m_client, EV_READ, 0, CurveHandshake::kMaxClientBytes + 1);
    bufferevent_setwatermark(m_server, EV_READ, 0, kMaxHeldBytes);
    m_timer.Start(guard.m_options.handshake_timeout);
  }
  ~Connection() {
    bufferevent_free(m_client);
    bufferevent_free(m_server);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns false if the ZeroMQ socket cannot be connected to.
  bool Start() {
    if (!ConnectToAbstractSocket(m_server, m_guard.m_socket_name)) return false;
    bufferevent_enable(m_client, EV_READ | EV_WRITE);
    bufferevent_enable(m_server, EV_READ | EV_WRITE);
    return true;
  }
  void Close() {
    if (m_is_closed) return;
    m_is_closed = true;
    m_timer.Cancel();
    for (bufferevent* bev : {m_client, m_server}) {
      bufferevent_disable(bev, EV_READ | EV_WRITE);
      bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
    }
    m_guard.Remove(*this);
  }

  bool is_pending() const { return m_handshake.state() != CurveHandshake::State::kComplete; }
  int64_t accepted_us() const { return m_accepted_us; }
  const std::string& address() const { return m_address; }

 private:
  bufferevent* OpenSide(int fd) {
    bufferevent* bev = bufferevent_socket_new(m_guard.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    CHECK(bev != nullptr) << "bufferevent_socket_new failed";
    bufferevent_setcb(
        bev, [](bufferevent* from, void* self) { static_cast<Connection*>(self)->OnRead(from); },
        [](bufferevent* to, void* self) { static_cast<Connection*>(self)->OnDrained(to); },
        [](bufferevent* from, short what, void* self) {
          static_cast<Connection*>(self)->OnEvent(from, what);
        },
        this);
    return bev;
  }
  bufferevent* OtherSide(const bufferevent* side) const {
    return side == m_client ? m_server : m_client;
  }

  void OnRead(bufferevent* from) {
    m_guard.m_loop.BeginCallback(LoopWork::kControl);
    evbuffer* input = bufferevent_get_input(from);
    if (is_pending() && !FollowHandshake(from, input)) return;
    bufferevent* to = OtherSide(from);
    evbuffer* output = bufferevent_get_output(to);
    evbuffer_add_buffer(output, input);
    if (evbuffer_get_length(output) >= kMaxHeldBytes) bufferevent_disable(from, EV_READ);
  }

  // Returns false if the connection has been closed.
  bool FollowHandshake(const bufferevent* from, evbuffer* input) {
    size_t length = evbuffer_get_length(input);
    if (from == m_client) {
      m_handshake.OnClientBytes(length);
    } else {
      const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
      m_handshake.OnServerBytes({bytes, length});
    }
    switch (m_handshake.state()) {
      case CurveHandshake::State::kInProgress:
        break;
      case CurveHandshake::State::kTooLong:
        m_guard.OnHandshakeFailed(*this, kTooLong);
        return false;
      case CurveHandshake::State::kComplete:
        m_timer.Cancel();
        bufferevent_setwatermark(m_client, EV_READ, 0, kMaxHeldBytes);
        m_guard.OnHandshakeComplete(*this);
        break;
    }
    return true;
  }

  // All bytes that were held for `to` have been written.
  void OnDrained(bufferevent* to) {
    m_guard.m_loop.BeginCallback(LoopWork::kControl);
    if (m_is_ending) {
      End();
    } else {
      bufferevent_enable(OtherSide(to), EV_READ);
    }
  }

  // When one side has closed, the other one gets what is left.
  void OnEvent(bufferevent* from, short what) {
    m_guard.m_loop.BeginCallback(LoopWork::kControl);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    bufferevent* to = OtherSide(from);
    bool is_flushed = evbuffer_get_length(bufferevent_get_output(to)) == 0;
    if (m_is_ending || is_flushed) {
      End();
      return;
    }
    m_is_ending = true;
    bufferevent_disable(from, EV_READ | EV_WRITE);
    bufferevent_disable(to, EV_READ);
    m_timer.Start(kFlushTime);
  }

  void OnTimer() {
    if (is_pending() && !m_is_ending) {
      m_guard.OnHandshakeFailed(*this, kTimeout);
    } else {
      End();
    }
  }

  void End() {
    if (is_pending()) {
      m_guard.OnHandshakeFailed(*this, kClosed);
    } else {
      Close();
    }
  }

  ControlPortGuard& m_guard;
  std::string m_address;
  int64_t m_accepted_us;
  bufferevent* m_client;
  bufferevent* m_server;
  Timer m_timer;  // For the handshake, then for the end.
  CurveHandshake m_handshake;
  bool m_is_ending = false;  // One side has closed.
  bool m_is_closed = false;
};

void ControlPortGuard::ListenerDeleter::operator()(evconnlistener* listener) const {
  evconnlistener_free(listener);
}

ControlPortGuard::ControlPortGuard(EventLoop& loop, Options options, Metrics& metrics)
    : m_loop(loop),
      m_options(std::move(options)),
      m_metrics(metrics),
      m_socket_name(UniqueSocketName()),
      m_deferred(loop),
      m_room_timer(loop, [this] { MakeRoom(); }) {}

ControlPortGuard::~ControlPortGuard() = default;

std::string ControlPortGuard::endpoint() const { return "ipc://@" + m_socket_name; }

tl::expected<void, std::string> ControlPortGuard::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_options.port);
  std::string text = m_options.ip + ":" + std::to_string(m_options.port);
  if (inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr) != 1) {
    return tl::make_unexpected("cannot bind the control port " + text + ": not an IPv4 address");
  }
  auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr* client, int, void* arg) {
    static_cast<ControlPortGuard*>(arg)->Accept(fd, AddressText(client));
  };
  m_listener.reset(evconnlistener_new_bind(
      m_loop.base(), on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      m_options.limits.accept_queue, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (m_listener == nullptr) {
    return tl::make_unexpected("cannot bind the control port " + text + ": " +
                               std::strerror(errno));
  }
  evconnlistener_set_error_cb(m_listener.get(), [](evconnlistener*, void* arg) {
    auto* self = static_cast<ControlPortGuard*>(arg);
    LOG_EVERY_T(ERROR, kLogPeriodS) << "event=accept_failed port=" << self->m_options.port
                                    << " error=\"" << std::strerror(errno) << "\"";
    // accept() would fail again immediately, in a loop that leaves no processor time.
    evconnlistener_disable(self->m_listener.get());
    self->m_room_timer.Start(kRoomCheckDelay);
  });
  SetReceiveBuffer(evconnlistener_get_fd(m_listener.get()), kReceiveBytes);
  return {};
}

void ControlPortGuard::Accept(int fd, std::string address) {
  m_loop.BeginCallback(LoopWork::kAccept);
  DisableNagle(fd);
  SetKeepAlive(fd, kKeepAlive);
  auto owned = std::make_unique<Connection>(*this, fd, std::move(address));
  Connection& connection = *owned;
  m_connections[&connection] = std::move(owned);
  m_pending.push_back(&connection);
  if (!connection.Start()) OnHandshakeFailed(connection, kClosed);
  UpdateAccepting();
}

void ControlPortGuard::OnHandshakeComplete(Connection& connection) {
  m_pending.remove(&connection);
  UpdateAccepting();
}

void ControlPortGuard::OnHandshakeFailed(Connection& connection, std::string_view reason) {
  m_metrics.GetCounter("control_handshakes_failed_total", "reason=\"" + std::string(reason) + "\"")
      .Add();
  LOG_EVERY_T(WARNING, kLogPeriodS)
      << "event=control_handshake_failed address=" << connection.address() << " reason=" << reason
      << " pending=" << m_pending.size();
  connection.Close();
}

// Freed later from the loop, since the connection may be running one of its own callbacks. It
// counts until then, since it holds its descriptors.
void ControlPortGuard::Remove(Connection& connection) {
  m_deferred.Post([this, raw = &connection] {
    m_pending.remove(raw);
    m_connections.erase(raw);
    UpdateAccepting();
  });
}

void ControlPortGuard::UpdateAccepting() {
  if (m_listener == nullptr) return;
  if (m_pending.size() < m_options.limits.max_connections) {
    evconnlistener_enable(m_listener.get());
    return;
  }
  evconnlistener_disable(m_listener.get());
  if (!m_room_timer.IsPending()) m_room_timer.Start(kRoomCheckDelay);
}

// Otherwise silent clients would keep nodes out for the whole time for a handshake.
void ControlPortGuard::MakeRoom() {
  int64_t now_us = EventLoop::NowUs();
  if (m_pending.size() >= m_options.limits.max_connections) {
    for (Connection* connection : m_pending) {
      if (now_us - connection->accepted_us() < kStalledUs) break;
      OnHandshakeFailed(*connection, kNoRoom);
    }
  }
  UpdateAccepting();
}

}  // namespace guavatrail
