// Defines DownstreamRequest, a request received on one of the node's HTTP ports and its answer, and
// HttpListener, which receives them.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "deferred_queue.h"
#include "event_loop.h"
#include "http_headers.h"

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct bufferevent;

namespace guavatrail {

// Destroying a request that has not been answered whole breaks its connection, so that the sender
// cannot take what it got for a whole answer. Must not outlive its HttpListener.
class DownstreamRequest {
 public:
  // Takes over `req` inside the request handler of evhttp.
  DownstreamRequest(evhttp_request* req, DeferredQueue& deferred);
  ~DownstreamRequest();
  DownstreamRequest(const DownstreamRequest&) = delete;
  DownstreamRequest& operator=(const DownstreamRequest&) = delete;

  // Called once, when the whole answer has been written (true) or the sender has gone (false). A
  // sender that closes only its sending side counts as gone. May destroy the request.
  void SetEndHandler(std::function<void(bool written)> handler) { m_end = std::move(handler); }
  // Called when the unsent part of the answer has fallen to `low` bytes or less; must not destroy
  // the request.
  void SetDrainedHandler(size_t low, std::function<void()> handler);

  evhttp_cmd_type method() const { return m_method; }
  // Path and query, starting with '/'.
  const std::string& target() const { return m_target; }
  // The path without the query.
  std::string_view path() const;
  // End-to-end headers.
  const HeaderList& headers() const { return m_headers; }
  const std::shared_ptr<const std::string>& body() const { return m_body; }
  int64_t arrival_us() const { return m_arrival_us; }

  // Answers whole. Later answers to the same request are ignored.
  void Reply(int status, const HeaderList& headers, std::string_view body);
  // Starts an answer that is sent in parts; without a length it is chunked.
  void StartReply(int status, const std::string& reason, const HeaderList& headers,
                  std::optional<uint64_t> content_length);
  // Moves all of `data` to the answer.
  void Send(evbuffer* data);
  void FinishReply();
  // Closes the connection without finishing the answer.
  void Break();

  bool has_started_reply() const { return m_started; }
  // Whether the sender has gone or the answer has been written.
  bool has_ended() const { return m_req == nullptr; }
  // Bytes of the answer not yet given to the socket.
  size_t UnsentBytes() const;
  // Bytes of the answer given to the socket, head and framing included.
  uint64_t written_bytes() const { return m_written; }

 private:
  static void OnClose(evhttp_connection* evcon, void* arg);
  static void OnComplete(evhttp_request* req, void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  void WatchConnection();
  void AddHeaders(const HeaderList& headers);
  void Detach();
  void End(bool written);

  evhttp_request* m_req;
  DeferredQueue& m_deferred;
  bufferevent* m_bev = nullptr;
  evbuffer_cb_entry* m_output_entry = nullptr;
  evhttp_cmd_type m_method;
  std::string m_target;
  HeaderList m_headers;
  std::shared_ptr<const std::string> m_body;
  int64_t m_arrival_us;
  std::function<void(bool)> m_end;
  std::function<void()> m_drained;
  size_t m_low = 0;
  bool m_started = false;
  bool m_marks_end = true;  // The answer has a length or a last chunk.
  uint64_t m_written = 0;
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
  uint16_t port() const { return m_port; }

 private:
  static void OnRequest(evhttp_request* req, void* arg);

  EventLoop& m_loop;
  Handler m_handler;
  DeferredQueue m_deferred;
  evhttp* m_http = nullptr;
  uint16_t m_port = 0;
};

}  // namespace guavatrail
