#include "downstream_request.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace guavatrail {

namespace {

// A connection without a request is closed after this time; longer than the time for which a
// connection pool keeps idle connections.
constexpr timeval kIdleTimeout = {.tv_sec = 300, .tv_usec = 0};
// A sender that takes no byte of its answer for this time is given up.
constexpr timeval kWriteTimeout = {.tv_sec = 60, .tv_usec = 0};
// Bytes of a following request that are read while this one is answered.
constexpr size_t kReadAheadBytes = 65'536;
constexpr uint16_t kMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                              EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

// An absolute URI, as sent to forward proxies, is cut to its path and query.
std::string TargetOf(evhttp_request* req) {
  std::string uri = evhttp_request_get_uri(req);
  if (!uri.empty() && uri.front() == '/') return uri;
  const evhttp_uri* parts = evhttp_request_get_evhttp_uri(req);
  const char* path = parts == nullptr ? nullptr : evhttp_uri_get_path(parts);
  std::string target = path == nullptr || *path == '\0' ? "/" : path;
  const char* query = parts == nullptr ? nullptr : evhttp_uri_get_query(parts);
  return query == nullptr ? target : target + "?" + query;
}

std::string TakeBody(evhttp_request* req) {
  evbuffer* input = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void SetNoDelay(evutil_socket_t fd) {
  // Accepted sockets inherit the option; without it an answer of several writes waits for
  // acknowledgements.
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Tells the sender that an answer is not whole when nothing else in it does. evhttp ends a
// connection with an orderly close, which would mark the end of the answer.
void ResetConnection(evutil_socket_t fd) {
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  (void)connect(fd, &unspecified, sizeof(unspecified));
}

uint16_t BoundPort(evutil_socket_t fd) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) return 0;
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

}  // namespace

DownstreamRequest::DownstreamRequest(evhttp_request* req, DeferredQueue& deferred)
    : m_req(req),
      m_deferred(deferred),
      m_method(evhttp_request_get_command(req)),
      m_target(TargetOf(req)),
      m_headers(EndToEndHeaders(evhttp_request_get_input_headers(req))),
      m_body(std::make_shared<const std::string>(TakeBody(req))),
      m_arrival_us(EventLoop::NowUs()) {
  WatchConnection();
}

DownstreamRequest::~DownstreamRequest() {
  m_end = nullptr;
  Break();
}

// evhttp stops reading while a request is handled and so would not notice that the sender has gone.
// Reading goes on here without evhttp's read callback, which ends the process when bytes of a
// following request come in this state.
void DownstreamRequest::WatchConnection() {
  evhttp_connection* evcon = evhttp_request_get_connection(m_req);
  m_bev = evhttp_connection_get_bufferevent(evcon);
  bufferevent_data_cb read = nullptr;
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(m_bev, &read, &write, &event, &arg);
  bufferevent_setcb(m_bev, nullptr, write, event, arg);
  bufferevent_setwatermark(m_bev, EV_READ, 0, kReadAheadBytes);
  bufferevent_set_timeouts(m_bev, nullptr, &kWriteTimeout);
  bufferevent_enable(m_bev, EV_READ);
  evhttp_connection_set_closecb(evcon, &DownstreamRequest::OnClose, this);
  evhttp_request_set_on_complete_cb(m_req, &DownstreamRequest::OnComplete, this);
  m_output_entry =
      evbuffer_add_cb(bufferevent_get_output(m_bev), &DownstreamRequest::OnOutput, this);
}

void DownstreamRequest::Detach() {
  evbuffer_remove_cb_entry(bufferevent_get_output(m_bev), m_output_entry);
  m_output_entry = nullptr;
  m_bev = nullptr;
  m_req = nullptr;
}

void DownstreamRequest::End(bool written) {
  std::function<void(bool)> handler = std::move(m_end);
  m_end = nullptr;
  if (handler) handler(written);
}

void DownstreamRequest::OnClose(evhttp_connection* evcon, void* arg) {
  auto* self = static_cast<DownstreamRequest*>(arg);
  evhttp_request* req = self->m_req;
  evhttp_connection_set_closecb(evcon, nullptr, nullptr);
  self->Detach();
  // evhttp takes an unanswered request off its connection and leaves it to its handler.
  if (evhttp_request_get_connection(req) == nullptr) evhttp_request_free(req);
  self->End(false);
}

void DownstreamRequest::OnComplete(evhttp_request* req, void* arg) {
  auto* self = static_cast<DownstreamRequest*>(arg);
  evhttp_connection_set_closecb(evhttp_request_get_connection(req), nullptr, nullptr);
  bufferevent_setwatermark(self->m_bev, EV_READ, 0, 0);
  bufferevent_set_timeouts(self->m_bev, &kIdleTimeout, &kIdleTimeout);
  self->Detach();
  self->End(true);
}

void DownstreamRequest::OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<DownstreamRequest*>(arg);
  self->m_written += info->n_deleted;
  if (info->n_deleted == 0 || !self->m_drained) return;
  if (evbuffer_get_length(buffer) <= self->m_low) self->m_drained();
}

void DownstreamRequest::SetDrainedHandler(size_t low, std::function<void()> handler) {
  m_low = low;
  m_drained = std::move(handler);
}

std::string_view DownstreamRequest::path() const {
  std::string_view target = m_target;
  return target.substr(0, target.find('?'));
}

void DownstreamRequest::AddHeaders(const HeaderList& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(m_req);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

void DownstreamRequest::Reply(int status, const HeaderList& headers, std::string_view body) {
  if (m_req == nullptr || m_started) return;
  m_started = true;
  AddHeaders(headers);
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> buffer(evbuffer_new(), &evbuffer_free);
  evbuffer_add(buffer.get(), body.data(), body.size());
  evhttp_send_reply(m_req, status, nullptr, buffer.get());
}

void DownstreamRequest::StartReply(int status, const std::string& reason, const HeaderList& headers,
                                   std::optional<uint64_t> content_length) {
  if (m_req == nullptr || m_started) return;
  m_started = true;
  AddHeaders(headers);
  evkeyvalq* output = evhttp_request_get_output_headers(m_req);
  if (content_length) {
    evhttp_add_header(output, "Content-Length", std::to_string(*content_length).c_str());
  } else if (m_req->major == 1 && m_req->minor == 0) {
    // HTTP/1.0 has no chunks; only the close of the connection marks the end.
    evhttp_add_header(output, "Connection", "close");
    m_marks_end = false;
  }
  evhttp_send_reply_start(m_req, status, reason.empty() ? nullptr : reason.c_str());
}

void DownstreamRequest::Send(evbuffer* data) {
  if (m_req != nullptr) evhttp_send_reply_chunk(m_req, data);
}

void DownstreamRequest::FinishReply() {
  if (m_req != nullptr) evhttp_send_reply_end(m_req);
}

void DownstreamRequest::Break() {
  if (m_req == nullptr) return;
  evhttp_connection* evcon = evhttp_request_get_connection(m_req);
  evhttp_connection_set_closecb(evcon, nullptr, nullptr);
  evhttp_request_set_on_complete_cb(m_req, nullptr, nullptr);
  bufferevent* bev = m_bev;
  if (!m_marks_end) ResetConnection(bufferevent_getfd(bev));
  Detach();
  // Without events evhttp does not touch the connection until it is freed, outside any callback.
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  m_deferred.Post([evcon] { evhttp_connection_free(evcon); });
  End(false);
}

size_t DownstreamRequest::UnsentBytes() const {
  return m_bev == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(m_bev));
}

HttpListener::HttpListener(EventLoop& loop, Handler handler)
    : m_loop(loop), m_handler(std::move(handler)), m_deferred(loop) {}

HttpListener::~HttpListener() {
  if (m_http != nullptr) evhttp_free(m_http);
}

tl::expected<void, std::string> HttpListener::Listen(const std::string& ip, uint16_t port) {
  CHECK(m_http == nullptr) << "Listen called twice";
  m_http = evhttp_new(m_loop.base());
  CHECK(m_http != nullptr) << "evhttp_new failed";
  evhttp_set_max_headers_size(m_http, kMaxHeaderBytes);
  evhttp_set_max_body_size(m_http, kMaxRequestBodyBytes);
  evhttp_set_allowed_methods(m_http, kMethods);
  evhttp_set_default_content_type(m_http, nullptr);
  evhttp_set_timeout_tv(m_http, &kIdleTimeout);
  evhttp_set_gencb(m_http, &HttpListener::OnRequest, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(m_http, ip.c_str(), port);
  if (socket == nullptr) {
    return tl::make_unexpected("cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                               std::strerror(errno));
  }
  evutil_socket_t fd = evhttp_bound_socket_get_fd(socket);
  SetNoDelay(fd);
  m_port = BoundPort(fd);
  return {};
}

void HttpListener::OnRequest(evhttp_request* req, void* arg) {
  auto* self = static_cast<HttpListener*>(arg);
  if (!HasSafeFraming(evhttp_request_get_input_headers(req), evhttp_request_get_command(req))) {
    evkeyvalq* headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, kOutcomeHeader, kOutcomeNotRun);
    evhttp_send_reply(req, kHttpBadRequest, nullptr, nullptr);
    return;
  }
  self->m_handler(std::make_unique<DownstreamRequest>(req, self->m_deferred));
}

}  // namespace guavatrail
