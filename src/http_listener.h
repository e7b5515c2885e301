// Defines HttpListener, which accepts connections on a port and receives the requests of its
// clients.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "deferred_queue.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_headers.h"
#include "link_pacer.h"
#include "metrics.h"
#include "port_budget.h"
#include "request_memory.h"

struct evconnlistener;

namespace guavatrail {

class DownstreamConnection;
struct HttpHead;

// Limits on the requests of a client.
struct HttpLimits {
  size_t max_head_bytes = kMaxHeaderBytes;
  size_t max_body_bytes = kMaxRequestBodyBytes;
  // Limits the time from the first byte of a request to the end of its head, and the time between
  // two parts of its body.
  std::chrono::milliseconds read_timeout{60'000};
  // Time for which a connection without a request is kept. Must be longer than the time for which a
  // ConnectionPool reuses idle connections.
  std::chrono::milliseconds idle_timeout{300'000};
};

// The part of a request that determines whether it may overlap with others.
struct RequestTarget {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string_view path;       // Without the query.
  std::string_view authority;  // See DownstreamRequest::authority().
};

class HttpListener {
 public:
  using Handler = std::function<void(std::unique_ptr<DownstreamRequest>)>;
  using OverlapPredicate = std::function<bool(const RequestTarget&)>;

  HttpListener(EventLoop& loop, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Port 0 selects a free port.
  tl::expected<void, std::string> Listen(const std::string& ip, uint16_t port);
  // Applies to requests whose first byte is received after this call.
  void SetLimits(const HttpLimits& limits) { m_limits = limits; }
  // From now on, each connection is closed after its next answer.
  void CloseAfterAnswers() { m_closes_after_answers = true; }
  // From now on, large answers are paced. The pacer must outlive the listener.
  void SetPacer(LinkPacer& pacer) { m_pacer = &pacer; }
  // From now on, requests for which `predicate` is true are started while earlier requests of their
  // connection for which it was true are in progress. It is called when a request has arrived
  // completely, directly before the handler if the request is started at once. Without a predicate,
  // a request is started after the previous answer has been written.
  void SetOverlapPredicate(OverlapPredicate predicate) { m_may_overlap = std::move(predicate); }
  // From now on, what new connections hold counts in `memory`, and is refused if it does not fit.
  void SetMemory(std::shared_ptr<RequestMemory> memory) { m_memory = std::move(memory); }
  // Closes the listening socket; existing connections stay open.
  void StopAccepting();
  // Must be called before Listen().
  void SetPortLimits(const PortLimits& limits);
  // From now on counts, under the name of the port, the connections that are closed because the
  // port is full and their clients delay them, and the requests whose head or body is too large.
  // The metrics must outlive the listener.
  void SetMetrics(Metrics& metrics, std::string_view port);
  // From now on keeps at most `connections` open. Near the limit, a connection is closed after its
  // next answer; at the limit, idle connections are closed to make room for new ones, and if none
  // is idle, those whose clients delay their requests or answers. If there are none either, new
  // ones wait until a connection ends.
  void SetMaxConnections(size_t connections);

  // Whether a new connection is accepted at once. False while the port is full, even if idle
  // connections can be closed, and while accept() fails.
  bool has_room() const;
  uint16_t port() const { return m_port; }
  size_t connections() const { return m_connections.size(); }
  size_t idle_connections() const { return m_idle.size(); }
  // Monotonic time at which the last connection was accepted; 0: none yet.
  int64_t last_accept_us() const { return m_last_accept_us; }
  // Number of times that accept() has failed, mostly for lack of file descriptors.
  uint64_t accept_failures() const { return m_accept_failures; }

 private:
  friend class DownstreamConnection;
  void Accept(evutil_socket_t fd);
  void OnAcceptFailed(int error);
  void LogAcceptFailure(int error);
  void RetryAccepting();
  void OnFull();
  void Remove(DownstreamConnection& connection);
  void OnConnectionIdle();
  bool is_full() const { return m_connections.size() >= m_port_limits.max_connections; }
  bool ClosesAfterAnswer() const;
  bool MayOverlap(const HttpHead& head) const;
  void CloseLongestIdle();
  void GiveUpLongestStalled();
  void CountRefusal(int status);
  void UpdateAccepting();

  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const;
  };

  EventLoop& m_loop;
  Handler m_handler;
  OverlapPredicate m_may_overlap;
  HttpLimits m_limits;
  LinkPacer* m_pacer = nullptr;
  std::shared_ptr<RequestMemory> m_memory;
  bool m_closes_after_answers = false;
  DeferredQueue m_deferred;
  std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
  std::list<DownstreamConnection*> m_idle;  // Longest idle first.
  std::map<DownstreamConnection*, std::unique_ptr<DownstreamConnection>> m_connections;
  uint16_t m_port = 0;
  PortLimits m_port_limits;
  bool m_is_accept_paused = false;  // accept() has failed; it is tried again later.
  Timer m_accept_timer;
  uint64_t m_accept_failures = 0;
  int64_t m_last_accept_us = 0;
  // Time of the last failure of accept(); 0 once a connection is accepted.
  int64_t m_failed_us = 0;
  // Connections that were closed to make room.
  uint64_t m_idle_closed = 0;
  uint64_t m_stalled_closed = 0;
  Counter* m_stalled_counter = nullptr;
  Counter* m_too_large_counter = nullptr;
  // Times of the last log lines about failures and about the limit.
  int64_t m_failure_log_us = 0;
  int64_t m_full_log_us = 0;
};

}  // namespace guavatrail
