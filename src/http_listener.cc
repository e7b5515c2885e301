#include "http_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "downstream_connection.h"
#include "request_target.h"
#include "socket_options.h"

namespace guavatrail {

namespace {

constexpr int64_t kLogPeriodUs = 1'000'000;
// Time until accept() is tried again after it has failed, and until connections that were in use a
// moment ago are checked again.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
// A failure of accept() counts until a connection is accepted, but no longer than this: the caller
// whose connection could not be accepted may have left.
constexpr int64_t kFailureMemoryUs = 1'000'000;
// The first request of a new connection, or the next one of a caller that was just answered, is
// likely to be on its way for this time.
constexpr std::chrono::milliseconds kMinIdle{100};
// Share of the maximum number of connections above which connections are closed after an answer.
// Callers then open new ones, and none of their requests meets the closing of an idle connection.
constexpr double kCloseAfterAnswerShare = 0.75;
// Share of the maximum that is closed at a time if connections are idle, and its lowest value.
constexpr size_t kConnectionsPerIdleClose = 64;
constexpr size_t kMinIdleCloses = 4;
// While a port is full and none of its connections is idle, it closes this share of them, of those
// whose clients delay them, each time that it checks.
constexpr size_t kConnectionsPerStalledClose = 8;
constexpr std::chrono::milliseconds kStalledCheckDelay{200};

bool IsLackOfDescriptors(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

uint16_t BoundPort(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) return 0;
  return ntohs(address.sin_port);
}

}  // namespace

void HttpListener::ListenerDeleter::operator()(evconnlistener* listener) const {
  evconnlistener_free(listener);
}

HttpListener::HttpListener(EventLoop& loop, Handler handler)
    : m_loop(loop),
      m_handler(std::move(handler)),
      m_deferred(loop),
      m_accept_timer(loop, [this] { RetryAccepting(); }) {}

HttpListener::~HttpListener() = default;

tl::expected<void, std::string> HttpListener::Listen(const std::string& ip, uint16_t port) {
  CHECK(m_listener == nullptr) << "HttpListener::Listen called twice";
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return tl::make_unexpected("expected an IPv4 address to listen on, got \"" + ip + "\"");
  }
  auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    static_cast<HttpListener*>(arg)->Accept(fd);
  };
  m_listener.reset(evconnlistener_new_bind(
      m_loop.base(), on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      m_port_limits.accept_queue, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (m_listener == nullptr) {
    return tl::make_unexpected("cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                               std::strerror(errno));
  }
  evconnlistener_set_error_cb(m_listener.get(), [](evconnlistener*, void* arg) {
    static_cast<HttpListener*>(arg)->OnAcceptFailed(errno);
  });
  evutil_socket_t fd = evconnlistener_get_fd(m_listener.get());
  // Inherited by all connections, also by those that wait to be accepted.
  if (m_port_limits.receive_buffer_bytes > 0) {
    SetReceiveBuffer(fd, m_port_limits.receive_buffer_bytes);
  }
  m_port = BoundPort(fd);
  return {};
}

void HttpListener::SetMetrics(Metrics& metrics, std::string_view port) {
  std::string label = "port=\"" + std::string(port) + "\"";
  m_stalled_counter = &metrics.GetCounter("stalled_connections_closed_total", label);
  m_too_large_counter = &metrics.GetCounter("requests_too_large_total", label);
}

void HttpListener::CountRefusal(int status) {
  bool is_too_large = status == kHttpContentTooLarge || status == kHttpHeadersTooLarge;
  if (is_too_large && m_too_large_counter != nullptr) m_too_large_counter->Add();
}

void HttpListener::StopAccepting() { m_listener.reset(); }

void HttpListener::SetPortLimits(const PortLimits& limits) {
  CHECK(m_listener == nullptr) << "HttpListener::SetPortLimits called after Listen";
  m_port_limits = limits;
}

void HttpListener::SetMaxConnections(size_t connections) {
  m_port_limits.max_connections = connections;
  UpdateAccepting();
}

bool HttpListener::has_room() const {
  bool is_failing = m_failed_us != 0 && EventLoop::NowUs() - m_failed_us < kFailureMemoryUs;
  return !is_full() && !is_failing;
}

bool HttpListener::ClosesAfterAnswer() const {
  double limit = kCloseAfterAnswerShare * static_cast<double>(m_port_limits.max_connections);
  return m_closes_after_answers || static_cast<double>(m_connections.size()) > limit;
}

bool HttpListener::MayOverlap(const HttpHead& head) const {
  if (!m_may_overlap) return false;
  std::string target = OriginFormOf(head.target);
  std::string authority = AuthorityOf(head);
  return m_may_overlap({.method = head.method, .path = PathOf(target), .authority = authority});
}

// Closes a share of the connections, so that this is done once for many new ones.
void HttpListener::CloseLongestIdle() {
  size_t count = std::max(kMinIdleCloses, m_connections.size() / kConnectionsPerIdleClose);
  int64_t latest_us = EventLoop::NowUs() - std::chrono::microseconds(kMinIdle).count();
  size_t closed = 0;
  for (auto it = m_idle.begin(); it != m_idle.end() && closed < count;) {
    DownstreamConnection* connection = *it++;
    if (connection->idle_since_us() > latest_us) break;
    if (connection->CloseIfUnused()) ++closed;
  }
  m_idle_closed += closed;
}

// Otherwise a crowd that stops short of the end of its requests, or does not read its answers,
// would keep all others out.
void HttpListener::GiveUpLongestStalled() {
  int64_t now_us = EventLoop::NowUs();
  std::vector<std::pair<int64_t, DownstreamConnection*>> stalled;
  for (const auto& [connection, owner] : m_connections) {
    if (auto since_us = connection->StalledSinceUs(now_us)) {
      stalled.emplace_back(*since_us, connection);
    }
  }
  size_t count = std::min(stalled.size(), m_connections.size() / kConnectionsPerStalledClose + 1);
  auto end = stalled.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(stalled.begin(), end, stalled.end());
  for (auto it = stalled.begin(); it != end; ++it) it->second->GiveUp();
  m_stalled_closed += count;
  if (m_stalled_counter != nullptr) m_stalled_counter->Add(count);
}

// A connection counts until it has been freed, since it holds its descriptor until then.
void HttpListener::UpdateAccepting() {
  if (m_listener == nullptr) return;
  if (is_full()) CloseLongestIdle();
  if (is_full() && m_idle.empty()) GiveUpLongestStalled();
  if (!is_full() && !m_is_accept_paused) {
    evconnlistener_enable(m_listener.get());
    return;
  }
  evconnlistener_disable(m_listener.get());
  if (m_accept_timer.IsPending()) return;
  m_accept_timer.Start(m_idle.empty() ? kStalledCheckDelay : kAcceptRetryDelay);
}

void HttpListener::Accept(evutil_socket_t fd) {
  m_loop.BeginCallback(LoopWork::kAccept);
  m_last_accept_us = EventLoop::NowUs();
  m_failed_us = 0;
  auto connection = std::make_unique<DownstreamConnection>(*this, fd);
  DownstreamConnection* raw = connection.get();
  m_connections[raw] = std::move(connection);
  if (is_full()) OnFull();
}

// Logged once a second at most: callers that open a connection for each request keep a port full.
void HttpListener::OnFull() {
  int64_t now_us = EventLoop::NowUs();
  if (m_full_log_us == 0 || now_us - m_full_log_us >= kLogPeriodUs) {
    m_full_log_us = now_us;
    LOG(WARNING) << "event=connections_full port=" << m_port
                 << " connections=" << m_connections.size() << " idle=" << m_idle.size()
                 << " idle_closed=" << m_idle_closed << " stalled_closed=" << m_stalled_closed;
  }
  UpdateAccepting();
}

// accept() would fail again immediately, in a loop that leaves no processor time for other work.
void HttpListener::OnAcceptFailed(int error) {
  ++m_accept_failures;
  m_is_accept_paused = true;
  m_failed_us = EventLoop::NowUs();
  LogAcceptFailure(error);
  if (IsLackOfDescriptors(error)) CloseLongestIdle();
  UpdateAccepting();
  m_accept_timer.Start(kAcceptRetryDelay);
}

void HttpListener::RetryAccepting() {
  m_is_accept_paused = false;
  UpdateAccepting();
}

void HttpListener::LogAcceptFailure(int error) {
  int64_t now_us = EventLoop::NowUs();
  if (m_failure_log_us != 0 && now_us - m_failure_log_us < kLogPeriodUs) return;
  m_failure_log_us = now_us;
  LOG(ERROR) << "event=accept_failed port=" << m_port << " failures=" << m_accept_failures
             << " connections=" << m_connections.size() << " idle=" << m_idle.size() << " error=\""
             << std::strerror(error) << "\"";
}

// The idle connection may make room for a new one. Deferred, since it is running a callback.
void HttpListener::OnConnectionIdle() {
  if (is_full()) m_deferred.Post([this] { UpdateAccepting(); });
}

void HttpListener::Remove(DownstreamConnection& connection) {
  m_deferred.Post([this, raw = &connection] {
    bool was_full = is_full();
    m_connections.erase(raw);
    if (was_full) UpdateAccepting();
  });
}

}  // namespace guavatrail
