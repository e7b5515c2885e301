// Defines ConnectionPool, which holds keep-alive HTTP client connections to one address, and
// Exchange, one request and its answer on one of these connections.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "deferred_queue.h"
#include "event_loop.h"
#include "http_headers.h"

struct evbuffer;

namespace guavatrail {

struct UpstreamRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string uri;
  HeaderList headers;
  std::shared_ptr<const std::string> body;  // May be null.
  // Only a connection that has been idle for less than this time is reused; zero forces a new
  // connection. Requests that must not be repeated use a short time, since the server may close an
  // idle connection at the moment the request is written.
  std::chrono::milliseconds max_idle{60'000};
  // Name and value of a header that the answer echoes. An answer with another value belongs to
  // an earlier request on the connection and is discarded. Empty name: not checked.
  std::string id_header;
  std::string id;
};

struct AnswerHead {
  int status = 0;
  std::string reason;
  HeaderList headers;  // The end-to-end headers, without Content-Length.
  BodyFraming framing = BodyFraming::kNone;
  std::optional<uint64_t> content_length;
};

enum class ExchangeResult {
  kComplete,  // The answer was received completely.
  kNotSent,   // No byte of the request was sent.
  kBroken,    // The request may have been sent, but no complete answer was received.
};

class ConnectionPool;
struct PooledConnection;  // Defined in connection_pool.cc.

// A request in flight. Destroying it cancels the request and closes its connection. Handlers run on
// the event loop, never inside Send, and may destroy the exchange.
class Exchange {
 public:
  struct Handlers {
    std::function<void(const AnswerHead&)> head;
    // Called for each part of the body, in order; the handler drains the buffer.
    std::function<void(evbuffer*)> data;
    // Called exactly once, after all other handlers.
    std::function<void(ExchangeResult)> done;
  };

  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Flow control: while reading is paused, the answer does not accumulate in memory.
  void PauseReading();
  void ResumeReading();
  bool is_paused() const { return m_paused; }

  // Whether any byte of the request may have been sent.
  bool may_have_been_sent() const { return m_sent; }
  // Answer bytes read from the connection, including head and framing.
  uint64_t received_bytes() const { return m_received; }
  // Monotonic time at which bytes were last received or sent, or reading was resumed.
  int64_t last_activity_us() const { return m_last_activity_us; }

 private:
  friend class ConnectionPool;
  friend struct PooledConnection;
  Exchange(ConnectionPool& pool, UpstreamRequest request, Handlers handlers);

  ConnectionPool* m_pool;
  UpstreamRequest m_request;
  // Shared, so that a handler that destroys the exchange stays valid until it returns.
  std::shared_ptr<Handlers> m_handlers;
  PooledConnection* m_connection = nullptr;
  bool m_paused = false;
  bool m_sent = false;
  uint64_t m_received = 0;
  int64_t m_last_activity_us = 0;
};

class ConnectionPool {
 public:
  struct Options {
    std::string ip;
    uint16_t port = 0;
    std::string local_ip;  // Source address of the connections; empty: chosen by the system.
    size_t max_connections = 130;
    // Bounds the bytes of an answer that wait in the socket, unread; 0: chosen by the system.
    int receive_buffer_bytes = 0;
    std::chrono::milliseconds connect_timeout{1000};
    // Whether an orderly close completes an answer that has neither a Content-Length nor chunked
    // encoding. If false, such an answer counts as broken, since it may have been truncated.
    bool allows_close_delimited_answers = false;
  };

  ConnectionPool(EventLoop& loop, Options options);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends the request exactly once: on an idle connection, on a new one, or, if max_connections are
  // busy, on the next one that becomes free. Each connection carries one request at a time.
  std::unique_ptr<Exchange> Send(UpstreamRequest request, Exchange::Handlers handlers);

  size_t connections() const { return m_connections.size(); }
  size_t idle_connections() const { return m_idle.size(); }
  // Whether no connection is open and no request is queued.
  bool is_unused() const { return m_connections.empty() && m_closed.empty() && m_queued.empty(); }
  uint64_t connections_opened() const { return m_opened; }

 private:
  friend class Exchange;
  friend struct PooledConnection;
  void Start(Exchange& exchange);
  PooledConnection* TakeIdle(std::chrono::milliseconds max_idle);
  PooledConnection* Open();
  void AssignConnection(PooledConnection& connection, Exchange& exchange);
  void FinishExchange(PooledConnection& connection, ExchangeResult result);
  void Release(PooledConnection& connection);
  void CloseConnection(PooledConnection& connection);
  void StartQueued();
  void CloseExpiredIdle();
  void CancelExchange(Exchange& exchange);

  EventLoop& m_loop;
  Options m_options;
  std::list<std::unique_ptr<PooledConnection>> m_connections;
  std::list<std::unique_ptr<PooledConnection>> m_closed;
  std::deque<PooledConnection*> m_idle;  // Most recently used last.
  std::deque<Exchange*> m_queued;
  uint64_t m_opened = 0;
  Timer m_idle_timer;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
