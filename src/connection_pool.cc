#include "connection_pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace guavatrail {

namespace {

// Requests have their own deadlines; the timeouts of evhttp would cut slow work that is alive.
constexpr timeval kNoTimeout = {.tv_sec = 86'400, .tv_usec = 0};
// Less than the time after which a node closes an idle peer connection (see downstream_request.h),
// so that the side that writes is the side that closes.
constexpr std::chrono::milliseconds kMaxIdle{60'000};
constexpr std::chrono::milliseconds kIdleCheck{5'000};
constexpr int64_t kUsPerMs = 1000;

void SetNoDelay(bufferevent* bev) {
  // An answer or request of several writes would wait for the acknowledgement of the first one.
  int on = 1;
  setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

AnswerHead ReadHead(evhttp_request* req, evhttp_cmd_type method) {
  AnswerHead head;
  const evkeyvalq* headers = evhttp_request_get_input_headers(req);
  head.status = evhttp_request_get_response_code(req);
  const char* reason = evhttp_request_get_response_code_line(req);
  head.reason = reason == nullptr ? "" : reason;
  head.headers = EndToEndHeaders(headers);
  head.framing = AnswerFraming(headers, method, head.status);
  if (head.framing == BodyFraming::kLength || head.framing == BodyFraming::kNone) {
    head.content_length = ContentLengthOf(headers);
  }
  return head;
}

bool IsKeptAlive(const evhttp_request* req) {
  return req->major > 1 || (req->major == 1 && req->minor >= 1);
}

}  // namespace

struct PooledConnection {
  PooledConnection(ConnectionPool& owner, const ConnectionPool::Options& options);
  ~PooledConnection();

  static int OnHead(evhttp_request* req, void* arg);
  static void OnData(evhttp_request* req, void* arg);
  static void OnDone(evhttp_request* req, void* arg);
  static void OnClose(evhttp_connection* evcon, void* arg);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  void ForwardPartialChunk(evbuffer* input);
  void Deliver(evbuffer* data);
  bool IsWhole(const evhttp_request* req) const;

  ConnectionPool& pool;
  evhttp_connection* evcon;
  bufferevent* bev;
  Timer connect_timer;
  Exchange* exchange = nullptr;
  evhttp_request* request = nullptr;  // While its body is read.
  BodyFraming framing = BodyFraming::kNone;
  bool is_closed = false;  // Must not be used again.
  bool has_connected = false;
  int64_t idle_since_us = 0;
};

PooledConnection::PooledConnection(ConnectionPool& owner, const ConnectionPool::Options& options)
    : pool(owner),
      evcon(evhttp_connection_base_new(owner.m_loop.base(), nullptr, options.ip.c_str(),
                                       options.port)),
      bev(evhttp_connection_get_bufferevent(evcon)),
      connect_timer(owner.m_loop, [this] { pool.End(*this, ExchangeEnd::kNotSent); }) {
  CHECK(evcon != nullptr) << "evhttp_connection_base_new failed";
  // evhttp must never send a request a second time by itself.
  evhttp_connection_set_retries(evcon, 0);
  evhttp_connection_set_timeout_tv(evcon, &kNoTimeout);
  evhttp_connection_set_max_headers_size(evcon, kMaxHeaderBytes);
  if (!options.local_ip.empty()) {
    evhttp_connection_set_local_address(evcon, options.local_ip.c_str());
  }
  evhttp_connection_set_closecb(evcon, &PooledConnection::OnClose, this);
  evbuffer_add_cb(bufferevent_get_input(bev), &PooledConnection::OnInput, this);
  evbuffer_add_cb(bufferevent_get_output(bev), &PooledConnection::OnOutput, this);
}

PooledConnection::~PooledConnection() {
  evhttp_connection_set_closecb(evcon, nullptr, nullptr);
  // Freeing drains the buffers, which calls the buffer callbacks.
  exchange = nullptr;
  evhttp_connection_free(evcon);
}

int PooledConnection::OnHead(evhttp_request* req, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  if (self->exchange == nullptr) return 0;
  constexpr int kContinue = 100;
  if (evhttp_request_get_response_code(req) == kContinue) return 0;
  AnswerHead head = ReadHead(req, self->exchange->m_request.method);
  self->framing = head.framing;
  if (head.framing == BodyFraming::kInvalid || head.framing == BodyFraming::kUntilClose) {
    // An end marked only by the close of the connection cannot be told from a break.
    return -1;
  }
  if (head.framing == BodyFraming::kChunked) self->request = req;
  std::shared_ptr<Exchange::Handlers> handlers = self->exchange->m_handlers;
  handlers->head(head);
  return 0;
}

void PooledConnection::OnData(evhttp_request* req, void* arg) {
  static_cast<PooledConnection*>(arg)->Deliver(evhttp_request_get_input_buffer(req));
}

void PooledConnection::Deliver(evbuffer* data) {
  if (exchange == nullptr || evbuffer_get_length(data) == 0) return;
  std::shared_ptr<Exchange::Handlers> handlers = exchange->m_handlers;
  handlers->data(data);
}

bool PooledConnection::IsWhole(const evhttp_request* req) const {
  // evhttp reports an answer that ended with the connection as done.
  return framing == BodyFraming::kNone || framing == BodyFraming::kChunked ||
         (framing == BodyFraming::kLength && req->ntoread == 0);
}

void PooledConnection::OnDone(evhttp_request* req, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  self->request = nullptr;
  if (self->exchange == nullptr) return;
  if (req == nullptr || evhttp_request_get_response_code(req) == 0) {
    // evhttp calls back without an answer when the connection attempt failed or the connection
    // broke.
    bool sent = self->exchange->m_sent;
    self->pool.End(*self, sent ? ExchangeEnd::kBroken : ExchangeEnd::kNotSent);
    return;
  }
  // Bytes after the end of an answer would be read as the answer to the next request.
  if (!IsKeptAlive(req) || evbuffer_get_length(bufferevent_get_input(self->bev)) > 0) {
    self->is_closed = true;
  }
  self->pool.End(*self, self->IsWhole(req) ? ExchangeEnd::kComplete : ExchangeEnd::kBroken);
}

void PooledConnection::OnClose(evhttp_connection*, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  self->is_closed = true;
  // With an exchange under way, evhttp reports its end next.
  if (self->exchange == nullptr) self->pool.Close(*self);
}

void PooledConnection::OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  if (info->n_added == 0 || self->exchange == nullptr) return;
  self->exchange->m_received += info->n_added;
  self->exchange->m_last_activity_us = EventLoop::NowUs();
  self->ForwardPartialChunk(buffer);
}

// evhttp delivers a chunk only when all of it has come, so a server that sends a large answer as
// one chunk would fill the memory. The part that has come is delivered here; one byte is left, with
// which evhttp completes the chunk.
void PooledConnection::ForwardPartialChunk(evbuffer* input) {
  if (request == nullptr || request->chunked == 0 || request->ntoread <= 1) return;
  size_t length = std::min(evbuffer_get_length(input), static_cast<size_t>(request->ntoread - 1));
  if (length == 0) return;
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> part(evbuffer_new(), &evbuffer_free);
  int moved = evbuffer_remove_buffer(input, part.get(), length);
  if (moved <= 0) return;
  request->ntoread -= moved;
  Deliver(part.get());
}

void PooledConnection::OnOutput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  if (self->exchange == nullptr) return;
  self->exchange->m_last_activity_us = EventLoop::NowUs();
  if (info->n_added == 0 || self->exchange->m_sent) return;
  // evhttp fills the output buffer only once the connection stands.
  self->exchange->m_sent = true;
  self->connect_timer.Cancel();
  if (!self->has_connected) SetNoDelay(self->bev);
  self->has_connected = true;
}

Exchange::Exchange(ConnectionPool& pool, UpstreamRequest request, Handlers handlers)
    : m_pool(&pool),
      m_request(std::move(request)),
      m_handlers(std::make_shared<Handlers>(std::move(handlers))),
      m_last_activity_us(EventLoop::NowUs()) {}

Exchange::~Exchange() {
  if (m_pool != nullptr) m_pool->Abandon(*this);
}

void Exchange::PauseReading() {
  if (m_paused || m_connection == nullptr) return;
  m_paused = true;
  bufferevent_disable(m_connection->bev, EV_READ);
}

void Exchange::ResumeReading() {
  if (!m_paused || m_connection == nullptr) return;
  m_paused = false;
  m_last_activity_us = EventLoop::NowUs();
  bufferevent_enable(m_connection->bev, EV_READ);
}

ConnectionPool::ConnectionPool(EventLoop& loop, Options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_idle_timer(loop, [this] { DropOldIdle(); }),
      m_deferred(loop) {}

ConnectionPool::~ConnectionPool() {
  for (Exchange* exchange : m_waiting) exchange->m_pool = nullptr;
  for (auto& connection : m_connections) {
    if (connection->exchange == nullptr) continue;
    connection->exchange->m_pool = nullptr;
    connection->exchange->m_connection = nullptr;
  }
}

std::unique_ptr<Exchange> ConnectionPool::Send(UpstreamRequest request,
                                               Exchange::Handlers handlers) {
  std::unique_ptr<Exchange> exchange(new Exchange(*this, std::move(request), std::move(handlers)));
  // Started from the loop, since evhttp may call back inside evhttp_make_request.
  m_waiting.push_back(exchange.get());
  m_deferred.Post([this] { StartWaiting(); });
  return exchange;
}

void ConnectionPool::StartWaiting() {
  while (!m_waiting.empty()) {
    bool can_start = !m_idle.empty() || m_connections.size() < m_options.max_connections;
    if (!can_start) return;
    Exchange* exchange = m_waiting.front();
    m_waiting.pop_front();
    Start(*exchange);
  }
}

void ConnectionPool::Start(Exchange& exchange) {
  PooledConnection* connection = TakeIdle(exchange.m_request.max_idle);
  if (connection == nullptr) connection = Open();
  Write(*connection, exchange);
}

PooledConnection* ConnectionPool::TakeIdle(std::chrono::milliseconds max_idle) {
  if (m_idle.empty()) return nullptr;
  PooledConnection* connection = m_idle.back();
  int64_t idle_us = EventLoop::NowUs() - connection->idle_since_us;
  if (idle_us < max_idle.count() * kUsPerMs) {
    m_idle.pop_back();
    return connection;
  }
  // At the bound, a new connection takes the place of an idle one.
  if (m_connections.size() >= m_options.max_connections) Close(*m_idle.front());
  return nullptr;
}

PooledConnection* ConnectionPool::Open() {
  ++m_opened;
  m_connections.push_back(std::make_unique<PooledConnection>(*this, m_options));
  return m_connections.back().get();
}

void ConnectionPool::Write(PooledConnection& connection, Exchange& exchange) {
  connection.exchange = &exchange;
  connection.framing = BodyFraming::kNone;
  exchange.m_connection = &connection;
  exchange.m_last_activity_us = EventLoop::NowUs();
  evhttp_request* req = evhttp_request_new(&PooledConnection::OnDone, &connection);
  CHECK(req != nullptr) << "evhttp_request_new failed";
  evhttp_request_set_header_cb(req, &PooledConnection::OnHead);
  evhttp_request_set_chunked_cb(req, &PooledConnection::OnData);
  const UpstreamRequest& request = exchange.m_request;
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(evhttp_request_get_output_headers(req), name.c_str(), value.c_str());
  }
  if (request.body != nullptr) {
    evbuffer_add(evhttp_request_get_output_buffer(req), request.body->data(), request.body->size());
  }
  if (!connection.has_connected) connection.connect_timer.Start(m_options.connect_timeout);
  if (evhttp_make_request(connection.evcon, req, request.method, request.uri.c_str()) == 0) return;
  // evhttp takes the request off the connection without freeing it.
  evhttp_request_free(req);
  if (connection.exchange != nullptr) {
    End(connection, exchange.m_sent ? ExchangeEnd::kBroken : ExchangeEnd::kNotSent);
  }
}

void ConnectionPool::End(PooledConnection& connection, ExchangeEnd end) {
  Exchange* exchange = connection.exchange;
  if (exchange == nullptr) return;
  connection.exchange = nullptr;
  connection.connect_timer.Cancel();
  exchange->m_connection = nullptr;
  exchange->m_pool = nullptr;
  exchange->m_paused = false;
  if (end == ExchangeEnd::kComplete && !connection.is_closed) {
    Release(connection);
  } else {
    Close(connection);
  }
  std::shared_ptr<Exchange::Handlers> handlers = exchange->m_handlers;
  handlers->done(end);
}

void ConnectionPool::Release(PooledConnection& connection) {
  connection.idle_since_us = EventLoop::NowUs();
  m_idle.push_back(&connection);
  if (!m_idle_timer.IsPending()) m_idle_timer.Start(kIdleCheck);
  if (!m_waiting.empty()) m_deferred.Post([this] { StartWaiting(); });
}

// The connection may be in one of its own callbacks, so it is freed later.
void ConnectionPool::Close(PooledConnection& connection) {
  connection.is_closed = true;
  connection.connect_timer.Cancel();
  std::erase(m_idle, &connection);
  auto it = std::find_if(m_connections.begin(), m_connections.end(),
                         [&](const auto& entry) { return entry.get() == &connection; });
  if (it == m_connections.end()) return;
  bufferevent_disable(connection.bev, EV_READ | EV_WRITE);
  // A connection attempt under way cannot be disabled; it could still succeed before the connection
  // is freed, and a request that was given up as not sent would leave.
  shutdown(bufferevent_getfd(connection.bev), SHUT_RDWR);
  m_closed.splice(m_closed.end(), m_connections, it);
  m_deferred.Post([this] {
    m_closed.clear();
    StartWaiting();
  });
}

void ConnectionPool::DropOldIdle() {
  int64_t limit_us = EventLoop::NowUs() - kMaxIdle.count() * kUsPerMs;
  while (!m_idle.empty() && m_idle.front()->idle_since_us < limit_us) Close(*m_idle.front());
  if (!m_idle.empty()) m_idle_timer.Start(kIdleCheck);
}

void ConnectionPool::Abandon(Exchange& exchange) {
  std::erase(m_waiting, &exchange);
  if (exchange.m_connection == nullptr) return;
  PooledConnection& connection = *exchange.m_connection;
  connection.exchange = nullptr;
  Close(connection);
}

}  // namespace guavatrail
