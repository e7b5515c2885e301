// Defines ConnectionPool, keep-alive HTTP client connections to one address, and Exchange, one
// request and its answer on one of them.
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
  // Only a connection that was used within this time is reused. Requests that must not be repeated
  // take a short time, since the server may close a connection that was idle just as the request is
  // written. Zero takes a new connection.
  std::chrono::milliseconds max_idle{60'000};
  // A header that the answer repeats. An answer that carries it with another value belongs to an
  // earlier request of the connection and is passed over. Empty name: not checked.
  std::string id_header;
  std::string id;
};

struct AnswerHead {
  int status = 0;
  std::string reason;
  HeaderList headers;  // End-to-end headers, without Content-Length.
  BodyFraming framing = BodyFraming::kNone;
  std::optional<uint64_t> content_length;
};

enum class ExchangeResult {
  kComplete,  // The whole answer came.
  kNotSent,   // No connection was made, so not one byte of the request left.
  kBroken,    // The request may have left, and no whole answer came.
};

class ConnectionPool;
struct PooledConnection;  // One connection; defined in the source file.

// One request under way; destroying it gives it up and closes its connection. Handlers run on the
// loop, never inside Send, and may destroy the exchange.
class Exchange {
 public:
  struct Handlers {
    std::function<void(const AnswerHead&)> head;
    // Bytes of the body in order; the handler takes them out of the buffer.
    std::function<void(evbuffer*)> data;
    // Exactly once, last.
    std::function<void(ExchangeResult)> done;
  };

  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Stops and resumes reading the answer, so that it does not pile up in memory.
  void PauseReading();
  void ResumeReading();
  bool is_paused() const { return m_paused; }

  // Whether bytes of the request may have left.
  bool may_have_been_sent() const { return m_sent; }
  // Bytes of the answer read from the connection, head and framing included.
  uint64_t received_bytes() const { return m_received; }
  // Monotonic time at which bytes last came or left, or reading was resumed.
  int64_t last_activity_us() const { return m_last_activity_us; }

 private:
  friend class ConnectionPool;
  friend struct PooledConnection;
  Exchange(ConnectionPool& pool, UpstreamRequest request, Handlers handlers);

  ConnectionPool* m_pool;
  UpstreamRequest m_request;
  // Shared so that a handler that destroys the exchange stays valid until it returns.
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
    std::string local_ip;  // Where connections start from; empty: chosen by the system.
    size_t max_connections = 130;
    std::chrono::milliseconds connect_timeout{1000};
    // Whether an orderly close ends an answer that has neither a length nor chunks. Without it such
    // an answer counts as broken, since it cannot be told from a shortened one.
    bool allows_close_delimited_answers = false;
  };

  ConnectionPool(EventLoop& loop, Options options);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends the request once, on an idle connection, a new one, or when all are busy on the next that
  // is free. Each connection carries one request at a time.
  std::unique_ptr<Exchange> Send(UpstreamRequest request, Exchange::Handlers handlers);

  size_t connections() const { return m_connections.size(); }
  size_t idle_connections() const { return m_idle.size(); }
  // No connection is open and no request waits.
  bool is_unused() const { return m_connections.empty() && m_closed.empty() && m_waiting.empty(); }
  uint64_t connections_opened() const { return m_opened; }

 private:
  friend class Exchange;
  friend struct PooledConnection;
  void Start(Exchange& exchange);
  PooledConnection* TakeIdle(std::chrono::milliseconds max_idle);
  PooledConnection* Open();
  void Write(PooledConnection& connection, Exchange& exchange);
  void End(PooledConnection& connection, ExchangeResult end);
  void Release(PooledConnection& connection);
  void Close(PooledConnection& connection);
  void StartWaiting();
  void DropOldIdle();
  void Abandon(Exchange& exchange);

  EventLoop& m_loop;
  Options m_options;
  std::list<std::unique_ptr<PooledConnection>> m_connections;
  std::list<std::unique_ptr<PooledConnection>> m_closed;
  std::deque<PooledConnection*> m_idle;  // Most recently used last.
  std::deque<Exchange*> m_waiting;
  uint64_t m_opened = 0;
  Timer m_idle_timer;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
