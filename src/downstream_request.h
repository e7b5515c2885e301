// Defines DownstreamRequest, a request received on one of the node's HTTP ports together with its
// answer, and HttpListener, which accepts connections and receives requests.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "deferred_queue.h"
#include "event_loop.h"
#include "http_headers.h"
#include "link_pacer.h"

struct evbuffer;
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

// Destroying a request before its answer is complete aborts the connection, so that the client
// cannot mistake a partial answer for a complete one. Must not outlive its HttpListener.
class DownstreamRequest {
 public:
  // `requests_ahead` is the number of earlier requests of the connection in progress.
  DownstreamRequest(DownstreamConnection& connection, HttpHead head, std::string body,
                    size_t requests_ahead);
  ~DownstreamRequest();
  DownstreamRequest(const DownstreamRequest&) = delete;
  DownstreamRequest& operator=(const DownstreamRequest&) = delete;

  // The handler is called once: with true when the complete answer has been written, with false
  // when the client has disconnected. A client that closes only its sending side counts as
  // disconnected. The handler may destroy the request.
  void SetEndHandler(std::function<void(bool written)> handler) { m_on_end = std::move(handler); }
  // The handler is called after a write that leaves at most `low` answer bytes unsent; it must
  // not destroy the request.
  void SetLowWatermarkHandler(size_t low, std::function<void()> handler);

  evhttp_cmd_type method() const { return m_method; }
  // The path and query, starting with '/'.
  const std::string& target() const { return m_target; }
  // The path without the query.
  std::string_view path() const;
  // The requested host in lower case, without the port; may be empty.
  const std::string& host() const { return m_host; }
  // The end-to-end headers.
  const HeaderList& headers() const { return m_headers; }
  const std::shared_ptr<const std::string>& body() const { return m_body; }
  int64_t arrival_us() const { return m_arrival_us; }
  // Number of earlier requests of its connection that were in progress when it was started.
  size_t requests_ahead() const { return m_requests_ahead; }

  // Exempts the answer from pacing, whatever its size.
  void BypassPacing() { m_is_expedited = true; }

  // Sends a complete answer. Further answers to the same request are ignored.
  void Reply(int status, const HeaderList& headers, std::string_view body);
  // Starts an answer that is sent in parts; without a length it uses chunked encoding.
  void StartReply(int status, const std::string& reason, const HeaderList& headers,
                  std::optional<uint64_t> content_length);
  // Moves all bytes of `data` to the answer body.
  void SendBody(evbuffer* data);
  void FinishReply();
  // Closes the connection without finishing the answer. Earlier requests of the connection are
  // answered first, later ones are cancelled.
  void Abort();

  bool has_started_reply() const { return m_started; }
  // Whether the answer has been written or the client has disconnected.
  bool has_ended() const { return m_connection == nullptr; }
  // Answer bytes not yet written to the socket. While earlier requests are being answered, the held
  // bytes of all answers of the connection.
  size_t UnsentBytes() const;
  // Answer bytes written to the socket, including head and framing.
  uint64_t written_bytes() const { return m_written; }

 private:
  friend class DownstreamConnection;
  void WriteHead(int status, std::string_view reason, const HeaderList& headers,
                 std::optional<uint64_t> content_length);
  void OnWritten(size_t bytes, size_t left);
  void End(bool written);

  DownstreamConnection* m_connection;
  evhttp_cmd_type m_method;
  std::string m_target;
  std::string m_host;
  HeaderList m_headers;
  std::shared_ptr<const std::string> m_body;
  int64_t m_arrival_us;
  int m_minor_version;
  size_t m_requests_ahead;
  std::function<void(bool)> m_on_end;
  std::function<void()> m_on_low_watermark;
  size_t m_low_watermark = 0;
  bool m_started = false;
  bool m_is_chunked = false;
  bool m_is_self_delimited = true;  // The answer ends by a length or a last chunk, not by a close.
  bool m_has_body = true;
  bool m_is_expedited = false;
  uint64_t m_written = 0;
};

// Owns requests that are answered immediately until their answers have been written.
class PendingReplies {
 public:
  explicit PendingReplies(EventLoop& loop) : m_deferred(loop) {}

  // `ended` is called once: with true when the complete answer has been written, with false when
  // the client has disconnected.
  void Reply(std::unique_ptr<DownstreamRequest> request, int status, const HeaderList& headers,
             std::string_view body = "", std::function<void(bool written)> ended = nullptr);
  bool empty() const { return m_requests.empty(); }
  // The handler is called whenever the last pending reply has ended.
  void SetEmptyHandler(std::function<void()> handler) { m_on_empty = std::move(handler); }

 private:
  std::map<DownstreamRequest*, std::unique_ptr<DownstreamRequest>> m_requests;
  std::function<void()> m_on_empty;
  DeferredQueue m_deferred;
};

// The part of a request that determines whether it may overlap with others.
struct RequestTarget {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string_view path;  // Without the query.
  std::string_view host;  // In lower case, without the port; may be empty.
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
  // Closes the listening socket; existing connections stay open.
  void StopAccepting();
  // From now on keeps at most `connections` open. Near the limit, a connection is closed after its
  // next answer; at the limit, idle connections are closed to make room for new ones, and if none
  // is idle, new ones wait until a connection ends.
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
  bool is_full() const { return m_connections.size() >= m_max_connections; }
  bool ClosesAfterAnswer() const;
  bool MayOverlap(const HttpHead& head) const;
  void CloseLongestIdle();
  void UpdateAccepting();

  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const;
  };

  EventLoop& m_loop;
  Handler m_handler;
  OverlapPredicate m_may_overlap;
  HttpLimits m_limits;
  LinkPacer* m_pacer = nullptr;
  bool m_closes_after_answers = false;
  DeferredQueue m_deferred;
  std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
  std::list<DownstreamConnection*> m_idle;  // Longest idle first.
  std::map<DownstreamConnection*, std::unique_ptr<DownstreamConnection>> m_connections;
  uint16_t m_port = 0;
  size_t m_max_connections = SIZE_MAX;
  bool m_is_accept_paused = false;  // accept() has failed; it is tried again later.
  Timer m_accept_timer;
  uint64_t m_accept_failures = 0;
  int64_t m_last_accept_us = 0;
  // Time of the last failure of accept(); 0 once a connection is accepted.
  int64_t m_failed_us = 0;
  uint64_t m_idle_closed = 0;  // Idle connections that were closed to make room.
  // Times of the last log lines about failures and about the limit.
  int64_t m_failure_log_us = 0;
  int64_t m_full_log_us = 0;
};

}  // namespace guavatrail
