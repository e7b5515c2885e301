// Defines StandinHttp, the HTTP server of the stand-ins, and Exchange, a request whose answer may
// be sent later, in parts or not at all.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "event_loop.h"

namespace guavatrail::standin {

using Headers = std::map<std::string, std::string>;

// A request and its answer. Once the connection is closed, methods that send have no effect.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request) : m_request(request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* raw_path = evhttp_uri_get_path(uri);
    std::unique_ptr<char, decltype(&free)> decoded(
        evhttp_uridecode(raw_path == nullptr ? "/" : raw_path, 0, nullptr), &free);
    m_path = decoded == nullptr ? "" : decoded.get();
    evkeyvalq query{};
    const char* raw_query = evhttp_uri_get_query(uri);
    if (raw_query != nullptr && evhttp_parse_query_str(raw_query, &query) == 0) {
      for (evkeyval* kv = query.tqh_first; kv != nullptr; kv = kv->next.tqe_next) {
        m_query[kv->key] = kv->value;
      }
    }
    evhttp_clear_headers(&query);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    m_body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, m_body.data(), m_body.size());
  }

  evhttp_cmd_type method() const { return m_method; }
  const std::string& path() const { return m_path; }
  const std::string& body() const { return m_body; }
  bool is_closed() const { return m_request == nullptr; }
  std::string Query(const std::string& name) const {
    auto it = m_query.find(name);
    return it == m_query.end() ? "" : it->second;
  }
  // Returns the value of a request header; empty once the answer is complete.
  std::string Header(const char* name) const {
    if (m_request == nullptr) return "";
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value == nullptr ? "" : value;
  }

  void Reply(int status, const Headers& headers, std::string_view body) {
    if (m_request == nullptr) return;
    SetHeaders(headers);
    evbuffer* output = evhttp_request_get_output_buffer(m_request);
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(std::exchange(m_request, nullptr), status, nullptr, nullptr);
  }
  // Starts an answer, which is chunked unless `headers` contains Content-Length.
  void StartReply(int status, const Headers& headers) {
    if (m_request == nullptr) return;
    SetHeaders(headers);
    evhttp_send_reply_start(m_request, status, nullptr);
  }
  void SendPart(std::string_view part) {
    if (m_request == nullptr) return;
    std::unique_ptr<evbuffer, decltype(&evbuffer_free)> buffer(evbuffer_new(), &evbuffer_free);
    evbuffer_add(buffer.get(), part.data(), part.size());
    evhttp_send_reply_chunk(m_request, buffer.get());
  }
  void EndReply() {
    if (m_request != nullptr) evhttp_send_reply_end(std::exchange(m_request, nullptr));
  }
  // Closes the connection without an answer. Must not be called from the request handler, because
  // evhttp still uses the connection then.
  void Abort() {
    if (m_request == nullptr) return;
    evhttp_connection_free(evhttp_request_get_connection(m_request));
  }

  // Called when the client closes the connection before the answer is complete.
  std::function<void()> on_closed;
  // Whether this is the first request on its connection.
  bool is_first = false;

 private:
  friend class StandinHttp;

  void SetHeaders(const Headers& headers) {
    for (const auto& [name, value] : headers) {
      evhttp_add_header(evhttp_request_get_output_headers(m_request), name.c_str(), value.c_str());
    }
  }
  void Close() {
    if (std::exchange(m_request, nullptr) != nullptr && on_closed) on_closed();
  }

  evhttp_request* m_request;
  evhttp_cmd_type m_method = evhttp_request_get_command(m_request);
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

using ExchangePtr = std::shared_ptr<Exchange>;

// Runs `handler` on the loop after `delay`.
inline void After(EventLoop& loop, std::chrono::microseconds delay, std::function<void()> handler) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval tv{};
  tv.tv_sec = delay.count() / kMicrosecondsPerSecond;
  tv.tv_usec = delay.count() % kMicrosecondsPerSecond;
  auto callback = [](evutil_socket_t, short, void* arg) {
    std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(arg));
    (*owned)();
  };
  auto owned = std::make_unique<std::function<void()>>(std::move(handler));
  event_base_once(loop.base(), -1, EV_TIMEOUT, callback, owned.release(), &tv);
}

class StandinHttp {
 public:
  StandinHttp(EventLoop& loop, std::function<void(const ExchangePtr&)> handler)
      : m_loop(loop), m_handler(std::move(handler)), m_http(evhttp_new(loop.base())) {
    constexpr ev_uint16_t kMethods =
        EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD;
    constexpr ev_ssize_t kMaxBody = 16'000'000;
    constexpr int kTimeoutSeconds = 600;
    evhttp_set_allowed_methods(m_http.get(), kMethods);
    evhttp_set_max_body_size(m_http.get(), kMaxBody);
    evhttp_set_timeout(m_http.get(), kTimeoutSeconds);
    auto callback = [](evhttp_request* request, void* arg) {
      static_cast<StandinHttp*>(arg)->OnRequest(request);
    };
    evhttp_set_gencb(m_http.get(), callback, this);
  }
  StandinHttp(const StandinHttp&) = delete;
  StandinHttp& operator=(const StandinHttp&) = delete;

  bool Listen(const std::string& ip, uint16_t port) {
    return evhttp_bind_socket(m_http.get(), ip.c_str(), port) == 0;
  }
  // Number of open connections that have sent at least one request.
  size_t connections() const { return m_connections.size(); }

 private:
  struct Connection {
    StandinHttp* server = nullptr;
    evhttp_connection* connection = nullptr;
    // evhttp does not read while a request is handled, so this event detects a disconnected client.
    event* closed_event = nullptr;
    std::weak_ptr<Exchange> current;
    ~Connection() {
      if (closed_event != nullptr) event_free(closed_event);
    }
  };
  struct HttpDeleter {
    void operator()(evhttp* http) const { evhttp_free(http); }
  };

  Connection& Track(evhttp_connection* connection, bool& is_first) {
    auto [it, inserted] = m_connections.try_emplace(connection, nullptr);
    is_first = inserted;
    if (!inserted) return *it->second;
    it->second = std::make_unique<Connection>();
    Connection& tracked = *it->second;
    tracked.server = this;
    tracked.connection = connection;
    auto closed = [](evhttp_connection*, void* arg) {
      auto* self = static_cast<Connection*>(arg);
      self->server->OnClosed(self->connection);
    };
    evhttp_connection_set_closecb(connection, closed, &tracked);
    auto client_gone = [](evutil_socket_t, short, void* arg) {
      auto* self = static_cast<Connection*>(arg);
      if (!self->current.expired()) evhttp_connection_free(self->connection);
    };
    evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    tracked.closed_event = event_new(m_loop.base(), fd, EV_CLOSED, client_gone, &tracked);
    event_add(tracked.closed_event, nullptr);
    return tracked;
  }

  void OnRequest(evhttp_request* request) {
    bool is_first = false;
    Connection& connection = Track(evhttp_request_get_connection(request), is_first);
    auto exchange = std::make_shared<Exchange>(request);
    exchange->is_first = is_first;
    connection.current = exchange;
    m_handler(exchange);
  }

  void OnClosed(evhttp_connection* connection) {
    auto it = m_connections.find(connection);
    if (it == m_connections.end()) return;
    std::unique_ptr<Connection> tracked = std::move(it->second);
    m_connections.erase(it);
    if (ExchangePtr exchange = tracked->current.lock()) exchange->Close();
  }

  EventLoop& m_loop;
  std::function<void(const ExchangePtr&)> m_handler;
  std::map<evhttp_connection*, std::unique_ptr<Connection>> m_connections;
  std::unique_ptr<evhttp, HttpDeleter> m_http;
};

}  // namespace guavatrail::standin
