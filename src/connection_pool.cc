#include "connection_pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "http_reader.h"
#include "upstream_socket.h"

namespace guavatrail {

namespace {

// Shorter than HttpLimits::idle_timeout, so that the side that sends requests closes first.
constexpr std::chrono::milliseconds kMaxIdle{60'000};
constexpr std::chrono::milliseconds kIdleCheckPeriod{5'000};
constexpr int64_t kUsPerMs = 1000;
constexpr int64_t kUsPerSecond = 1'000'000;
// Share of the idle timeout announced by the server during which an idle connection is reused.
constexpr double kAnnouncedIdleShare = 0.7;
constexpr int kFirstNonSuccessStatus = 300;
// Maximum total size of the bodies of stale answers (those to earlier requests) that are discarded
// during one exchange. More fails the exchange, since they could delay its answer forever.
constexpr size_t kMaxDiscardedBytes = 1'048'576;

// The timeout of a Keep-Alive header such as "timeout=5, max=100", in microseconds; 0 if absent.
int64_t AnnouncedIdleUs(const HeaderList& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* text = FindHeader(headers, "Keep-Alive");
  if (text == nullptr) return 0;
  size_t at = text->find(kTimeout);
  if (at == std::string::npos) return 0;
  int64_t seconds = 0;
  const char* start = text->data() + at + kTimeout.size();
  std::from_chars(start, text->data() + text->size(), seconds);
  return seconds * kUsPerSecond;
}

bool SendsLength(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

// Adds the body without a copy. The output holds the body until it is written.
void AddBody(evbuffer* output, const std::shared_ptr<const std::string>& body) {
  using Body = std::shared_ptr<const std::string>;
  auto release = [](const void*, size_t, void* arg) { delete static_cast<Body*>(arg); };
  auto holder = std::make_unique<Body>(body);
  int result = evbuffer_add_reference(output, body->data(), body->size(), release, holder.get());
  if (result == 0) static_cast<void>(holder.release());
}

void AddText(evbuffer* output, std::string_view text) {
  evbuffer_add(output, text.data(), text.size());
}

}  // namespace

struct PooledConnection {
  PooledConnection(ConnectionPool& owner, const ConnectionPool::Options& options);
  ~PooledConnection();
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  void WriteRequest();
  void Read();
  bool OnHead();
  void OnBody();
  bool OnDone();
  void OnClosed(bool is_orderly);
  bool IsForAnotherRequest(const HttpHead& head) const;

  ConnectionPool& pool;
  bufferevent* bev = nullptr;  // Null if connecting failed immediately.
  evbuffer* body;
  HttpReader reader;
  Timer connect_timer;
  Exchange* exchange = nullptr;
  bool is_discarding = false;  // The answer being read belongs to an earlier request.
  size_t discarded_bytes = 0;
  int requests_written = 0;
  bool keeps_alive = true;
  bool is_closed = false;  // Must not be reused.
  bool has_connected = false;
  int64_t idle_since_us = 0;
  int64_t announced_idle_us = 0;  // Timeout of the server's Keep-Alive header; 0: none.
};

PooledConnection::PooledConnection(ConnectionPool& owner, const ConnectionPool::Options& options)
    : pool(owner),
      body(evbuffer_new()),
      reader(HttpReader::Kind::kAnswer, kMaxHeaderBytes),
      connect_timer(owner.m_loop,
                    [this] { pool.FinishExchange(*this, ExchangeResult::kNotSent); }) {
  evutil_socket_t fd = OpenUpstreamSocket({.ip = options.ip,
                                           .port = options.port,
                                           .local_ip = options.local_ip,
                                           .receive_buffer_bytes = options.receive_buffer_bytes});
  if (fd < 0) return;
  bev = bufferevent_socket_new(owner.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  CHECK(bev != nullptr) << "bufferevent_socket_new failed";
  bufferevent_setcb(bev, &PooledConnection::OnRead, nullptr, &PooledConnection::OnEvent, this);
  evbuffer_add_cb(bufferevent_get_input(bev), &PooledConnection::OnInput, this);
  evbuffer_add_cb(bufferevent_get_output(bev), &PooledConnection::OnOutput, this);
  // With a null address, libevent takes the connect as already in progress and reports its result.
  bufferevent_socket_connect(bev, nullptr, 0);
  bufferevent_enable(bev, EV_READ | EV_WRITE);
}

PooledConnection::~PooledConnection() {
  // Freeing drains the buffers and runs their callbacks, which must not reach the exchange.
  exchange = nullptr;
  if (bev != nullptr) bufferevent_free(bev);
  evbuffer_free(body);
}

void PooledConnection::OnEvent(bufferevent* /*bev*/, short what, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  self->pool.m_loop.BeginCallback(LoopWork::kUpstream);
  if (self->is_closed) return;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    self->has_connected = true;
    self->connect_timer.Cancel();
    if (self->exchange != nullptr) self->WriteRequest();
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  self->OnClosed((what & BEV_EVENT_EOF) != 0);
}

void PooledConnection::OnClosed(bool is_orderly) {
  is_closed = true;
  if (exchange == nullptr) {
    pool.CloseConnection(*this);
    return;
  }
  bool is_whole = is_orderly && pool.m_options.allows_close_delimited_answers && !is_discarding &&
                  reader.IsCompleteAtClose();
  ExchangeResult result = exchange->m_sent ? ExchangeResult::kBroken : ExchangeResult::kNotSent;
  pool.FinishExchange(*this, is_whole ? ExchangeResult::kComplete : result);
}

void PooledConnection::WriteRequest() {
  const UpstreamRequest& request = exchange->m_request;
  ++requests_written;
  evbuffer* output = bufferevent_get_output(bev);
  AddText(output, MethodName(request.method));
  AddText(output, " ");
  AddText(output, request.uri);
  AddText(output, " HTTP/1.1\r\n");
  for (const auto& [name, value] : request.headers) {
    AddText(output, name);
    AddText(output, ": ");
    AddText(output, value);
    AddText(output, "\r\n");
  }
  if (FindHeader(request.headers, "Host") == nullptr) {
    evbuffer_add_printf(output, "Host: %s:%d\r\n", pool.m_options.ip.c_str(), pool.m_options.port);
  }
  size_t length = request.body == nullptr ? 0 : request.body->size();
  if (length > 0 || SendsLength(request.method)) {
    evbuffer_add_printf(output, "Content-Length: %zu\r\n", length);
  }
  AddText(output, "\r\n");
  if (length > 0) AddBody(output, request.body);
}

void PooledConnection::OnRead(bufferevent* /*bev*/, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  self->pool.m_loop.BeginCallback(LoopWork::kUpstream);
  if (self->is_closed) return;
  if (self->exchange == nullptr) {
    // The server sent bytes while no request was in flight; they cannot be an answer.
    self->pool.CloseConnection(*self);
    return;
  }
  self->Read();
}

void PooledConnection::Read() {
  evbuffer* input = bufferevent_get_input(bev);
  while (exchange != nullptr && !is_closed) {
    switch (reader.Next(input, body)) {
      case HttpReader::Event::kNeedMore:
        return;
      case HttpReader::Event::kHead:
        if (!OnHead()) return;
        break;
      case HttpReader::Event::kBody:
        OnBody();
        break;
      case HttpReader::Event::kDone:
        if (!OnDone()) return;
        break;
      case HttpReader::Event::kError:
        is_closed = true;
        pool.FinishExchange(*this, ExchangeResult::kBroken);
        return;
    }
  }
}

bool PooledConnection::IsForAnotherRequest(const HttpHead& head) const {
  const UpstreamRequest& request = exchange->m_request;
  if (request.id_header.empty()) return false;
  const std::string* id = FindHeader(head.headers, request.id_header);
  return id != nullptr && *id != request.id;
}

// Returns false if the answer was rejected and the connection is closed.
bool PooledConnection::OnHead() {
  const HttpHead& head = reader.head();
  const UpstreamRequest& request = exchange->m_request;
  keeps_alive = head.keep_alive;
  announced_idle_us = AnnouncedIdleUs(head.headers);
  is_discarding = IsForAnotherRequest(head);
  if (is_discarding) return true;
  bool lacks_id =
      !request.id_header.empty() && FindHeader(head.headers, request.id_header) == nullptr;
  bool is_undelimited =
      head.framing == BodyFraming::kUntilClose && !pool.m_options.allows_close_delimited_answers;
  // A successful answer without a request id may belong to another request. On a connection that
  // has carried an earlier request, the same holds for an error answer: a late refusal of that
  // request would report this one as not run although it may have run.
  bool is_ambiguous = lacks_id && (head.status < kFirstNonSuccessStatus || requests_written > 1);
  if (is_undelimited || is_ambiguous) {
    is_closed = true;
    pool.FinishExchange(*this, ExchangeResult::kBroken);
    return false;
  }
  AnswerHead answer{.status = head.status,
                    .reason = head.reason,
                    .headers = EndToEndHeaders(head.headers),
                    .framing = head.framing,
                    .content_length = head.content_length};
  std::shared_ptr<Exchange::Handlers> handlers = exchange->m_handlers;
  handlers->head(answer);
  return true;
}

void PooledConnection::OnBody() {
  if (is_discarding || exchange == nullptr) {
    size_t length = evbuffer_get_length(body);
    evbuffer_drain(body, length);
    discarded_bytes += length;
    if (discarded_bytes <= kMaxDiscardedBytes) return;
    is_closed = true;
    pool.FinishExchange(*this, ExchangeResult::kBroken);
    return;
  }
  std::shared_ptr<Exchange::Handlers> handlers = exchange->m_handlers;
  handlers->data(body);
}

// Returns false if the exchange has ended.
bool PooledConnection::OnDone() {
  if (is_discarding) {
    is_discarding = false;
    reader.SetRequestMethod(exchange->m_request.method);
    return true;
  }
  // Surplus input would be read as the answer to the next request, and the server would read the
  // unsent rest of a request that was answered early as a new request.
  if (!keeps_alive || evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
      evbuffer_get_length(bufferevent_get_output(bev)) > 0) {
    is_closed = true;
  }
  pool.FinishExchange(*this, ExchangeResult::kComplete);
  return false;
}

void PooledConnection::OnInput(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  if (info->n_added == 0 || self->exchange == nullptr) return;
  self->exchange->m_received += info->n_added;
  self->exchange->m_last_activity_us = EventLoop::NowUs();
}

void PooledConnection::OnOutput(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<PooledConnection*>(arg);
  if (info->n_deleted == 0 || self->exchange == nullptr) return;
  self->exchange->m_last_activity_us = EventLoop::NowUs();
  self->exchange->m_sent = true;
}

Exchange::Exchange(ConnectionPool& pool, UpstreamRequest request, Handlers handlers)
    : m_pool(&pool),
      m_request(std::move(request)),
      m_handlers(std::make_shared<Handlers>(std::move(handlers))),
      m_last_activity_us(EventLoop::NowUs()) {}

Exchange::~Exchange() {
  if (m_pool != nullptr) m_pool->CancelExchange(*this);
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
      m_idle_timer(loop, [this] { CloseExpiredIdle(); }),
      m_deferred(loop) {}

ConnectionPool::~ConnectionPool() {
  for (Exchange* exchange : m_queued) exchange->m_pool = nullptr;
  for (auto& connection : m_connections) {
    if (connection->exchange == nullptr) continue;
    connection->exchange->m_pool = nullptr;
    connection->exchange->m_connection = nullptr;
  }
}

std::unique_ptr<Exchange> ConnectionPool::Send(UpstreamRequest request,
                                               Exchange::Handlers handlers) {
  std::unique_ptr<Exchange> exchange(new Exchange(*this, std::move(request), std::move(handlers)));
  // Started from the loop, since a connect that fails immediately runs the handlers.
  m_queued.push_back(exchange.get());
  m_deferred.Post([this] { StartQueued(); });
  return exchange;
}

void ConnectionPool::StartQueued() {
  while (!m_queued.empty()) {
    bool can_start = !m_idle.empty() || m_connections.size() < m_options.max_connections;
    if (!can_start) return;
    Exchange* exchange = m_queued.front();
    m_queued.pop_front();
    Start(*exchange);
  }
}

void ConnectionPool::Start(Exchange& exchange) {
  PooledConnection* connection = TakeIdle(exchange.m_request.max_idle);
  if (connection == nullptr) connection = Open();
  AssignConnection(*connection, exchange);
}

PooledConnection* ConnectionPool::TakeIdle(std::chrono::milliseconds max_idle) {
  if (m_idle.empty()) return nullptr;
  PooledConnection* connection = m_idle.back();
  int64_t idle_us = EventLoop::NowUs() - connection->idle_since_us;
  int64_t limit_us = max_idle.count() * kUsPerMs;
  if (connection->announced_idle_us > 0) {
    limit_us = std::min(limit_us,
                        static_cast<int64_t>(kAnnouncedIdleShare * connection->announced_idle_us));
  }
  if (idle_us < limit_us) {
    m_idle.pop_back();
    return connection;
  }
  // At max_connections, an idle connection is closed to make room for a new one.
  if (m_connections.size() >= m_options.max_connections) CloseConnection(*m_idle.front());
  return nullptr;
}

PooledConnection* ConnectionPool::Open() {
  ++m_opened;
  m_connections.push_back(std::make_unique<PooledConnection>(*this, m_options));
  return m_connections.back().get();
}

void ConnectionPool::AssignConnection(PooledConnection& connection, Exchange& exchange) {
  connection.exchange = &exchange;
  connection.is_discarding = false;
  connection.discarded_bytes = 0;
  exchange.m_connection = &connection;
  exchange.m_last_activity_us = EventLoop::NowUs();
  if (connection.bev == nullptr) {
    connection.is_closed = true;
    FinishExchange(connection, ExchangeResult::kNotSent);
    return;
  }
  connection.reader.SetRequestMethod(exchange.m_request.method);
  if (connection.has_connected) {
    connection.WriteRequest();
  } else {
    connection.connect_timer.Start(m_options.connect_timeout);
  }
}

void ConnectionPool::FinishExchange(PooledConnection& connection, ExchangeResult result) {
  Exchange* exchange = connection.exchange;
  if (exchange == nullptr) return;
  connection.exchange = nullptr;
  connection.connect_timer.Cancel();
  exchange->m_connection = nullptr;
  exchange->m_pool = nullptr;
  exchange->m_paused = false;
  if (result == ExchangeResult::kComplete && !connection.is_closed) {
    Release(connection);
  } else {
    CloseConnection(connection);
  }
  std::shared_ptr<Exchange::Handlers> handlers = exchange->m_handlers;
  handlers->done(result);
}

void ConnectionPool::Release(PooledConnection& connection) {
  connection.idle_since_us = EventLoop::NowUs();
  // The last part of the answer may have paused reading.
  bufferevent_enable(connection.bev, EV_READ);
  m_idle.push_back(&connection);
  if (!m_idle_timer.IsPending()) m_idle_timer.Start(kIdleCheckPeriod);
  if (!m_queued.empty()) m_deferred.Post([this] { StartQueued(); });
}

// Frees the connection later from the loop, since it may be running one of its own callbacks.
void ConnectionPool::CloseConnection(PooledConnection& connection) {
  connection.is_closed = true;
  connection.connect_timer.Cancel();
  std::erase(m_idle, &connection);
  auto it = std::find_if(m_connections.begin(), m_connections.end(),
                         [&](const auto& entry) { return entry.get() == &connection; });
  if (it == m_connections.end()) return;
  if (connection.bev != nullptr) {
    bufferevent_disable(connection.bev, EV_READ | EV_WRITE);
    bufferevent_setcb(connection.bev, nullptr, nullptr, nullptr, nullptr);
    // Disabling the bufferevent does not stop a connect in progress. If it succeeded before the
    // connection is freed, a request already reported as not sent would still be written.
    shutdown(bufferevent_getfd(connection.bev), SHUT_RDWR);
  }
  m_closed.splice(m_closed.end(), m_connections, it);
  m_deferred.Post([this] {
    m_closed.clear();
    StartQueued();
  });
}

void ConnectionPool::CloseExpiredIdle() {
  int64_t limit_us = EventLoop::NowUs() - kMaxIdle.count() * kUsPerMs;
  while (!m_idle.empty() && m_idle.front()->idle_since_us < limit_us)
    CloseConnection(*m_idle.front());
  if (!m_idle.empty()) m_idle_timer.Start(kIdleCheckPeriod);
}

void ConnectionPool::CancelExchange(Exchange& exchange) {
  std::erase(m_queued, &exchange);
  if (exchange.m_connection == nullptr) return;
  PooledConnection& connection = *exchange.m_connection;
  connection.exchange = nullptr;
  CloseConnection(connection);
}

}  // namespace guavatrail
