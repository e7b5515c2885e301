// Defines DownstreamRequest, a request received on one of the node's HTTP ports and its answer, and
// HttpListener, which receives them.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
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

// What a sender may send, and how long it may take.
struct HttpLimits {
  size_t max_head_bytes = kMaxHeaderBytes;
  size_t max_body_bytes = kMaxRequestBodyBytes;
  // From the first byte of a request to the end of its head, and between two parts of its body.
  std::chrono::milliseconds read_timeout{60'000};
  // Longer than the time for which a connection pool keeps idle connections.
  std::chrono::milliseconds idle_timeout{300'000};
};

// Destroying a request that has not been answered whole breaks its connection, so that the sender
// cannot take what it got for a whole answer. Must not outlive its HttpListener.
class DownstreamRequest {
 public:
  DownstreamRequest(DownstreamConnection& connection, HttpHead head, std::string body);
  ~DownstreamRequest();
  DownstreamRequest(const DownstreamRequest&) = delete;
  DownstreamRequest& operator=(const DownstreamRequest&) = delete;

  // Called once, when the whole answer has been written (true) or the sender has gone (false). A
  // sender that closes only its sending side counts as gone. May destroy the request.
  void SetEndHandler(std::function<void(bool written)> handler) { m_end = std::move(handler); }
  // Called when the unsent part of the answer has fallen to `low` bytes or less; must not destroy
  // the request.
  void SetLowWatermarkHandler(size_t low, std::function<void()> handler);

  evhttp_cmd_type method() const { return m_method; }
  // Path and query, starting with '/'.
  const std::string& target() const { return m_target; }
  // The path without the query.
  std::string_view path() const;
  // The host that the request names, without a port and in lower case; may be empty.
  const std::string& host() const { return m_host; }
  // End-to-end headers.
  const HeaderList& headers() const { return m_headers; }
  const std::shared_ptr<const std::string>& body() const { return m_body; }
  int64_t arrival_us() const { return m_arrival_us; }

  // The answer is not paced, whatever its size.
  void BypassPacing() { m_is_expedited = true; }

  // Answers whole. Later answers to the same request are ignored.
  void Reply(int status, const HeaderList& headers, std::string_view body);
  // Starts an answer that is sent in parts; without a length it is chunked.
  void StartReply(int status, const std::string& reason, const HeaderList& headers,
                  std::optional<uint64_t> content_length);
  // Moves all of `data` to the answer.
  void Send(evbuffer* data);
  void FinishReply();
  // Closes the connection without finishing the answer.
  void Abort();

  bool has_started_reply() const { return m_started; }
  // Whether the sender has gone or the answer has been written.
  bool has_ended() const { return m_connection == nullptr; }
  // Bytes of the answer not yet given to the socket.
  size_t UnsentBytes() const;
  // Bytes of the answer given to the socket, head and framing included.
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
  std::function<void(bool)> m_end;
  std::function<void()> m_drained;
  size_t m_low = 0;
  bool m_started = false;
  bool m_is_chunked = false;
  bool m_marks_end = true;  // The answer has a length or a last chunk.
  bool m_has_body = true;
  bool m_is_expedited = false;
  uint64_t m_written = 0;
};

// Keeps requests that were answered at once until their answers are written.
class PendingReplies {
 public:
  explicit PendingReplies(EventLoop& loop) : m_deferred(loop) {}

  // `ended` is called once, when the whole answer has been written (true) or the sender has gone.
  void Reply(std::unique_ptr<DownstreamRequest> request, int status, const HeaderList& headers,
             std::string_view body = "", std::function<void(bool written)> ended = nullptr);
  bool empty() const { return m_requests.empty(); }
  // Called whenever the last one has been written.
  void SetEmptyHandler(std::function<void()> handler) { m_on_empty = std::move(handler); }

 private:
  std::map<DownstreamRequest*, std::unique_ptr<DownstreamRequest>> m_requests;
  std::function<void()> m_on_empty;
  DeferredQueue m_deferred;
};

class HttpListener {
 public:
  using Handler = std::function<void(std::unique_ptr<DownstreamRequest>)>;

  HttpListener(EventLoop& loop, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Port 0 takes a free one. The error says what failed.
  tl::expected<void, std::string> Listen(const std::string& ip, uint16_t port);
  // Holds for requests whose first byte comes from now on.
  void SetLimits(const HttpLimits& limits) { m_limits = limits; }
  // From now on each answer closes its connection.
  void CloseAfterAnswers() { m_closes_after_answers = true; }
  // Large answers are paced from now on. The pacer must outlive the listener.
  void SetPacer(LinkPacer& pacer) { m_pacer = &pacer; }
  // Takes no new connections.
  void StopAccepting();

  uint16_t port() const { return m_port; }
  size_t connections() const { return m_connections.size(); }

 private:
  friend class DownstreamConnection;
  void Accept(evutil_socket_t fd);
  void Remove(DownstreamConnection& connection);

  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const;
  };

  EventLoop& m_loop;
  Handler m_handler;
  HttpLimits m_limits;
  LinkPacer* m_pacer = nullptr;
  bool m_closes_after_answers = false;
  DeferredQueue m_deferred;
  std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
  std::map<DownstreamConnection*, std::unique_ptr<DownstreamConnection>> m_connections;
  uint16_t m_port = 0;
};

}  // namespace guavatrail
