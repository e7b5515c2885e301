// Defines DownstreamRequest, a request received on one of the node's HTTP ports together with its
// answer.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http_headers.h"

struct evbuffer;

namespace guavatrail {

class DownstreamConnection;
struct HttpHead;

// Destroying a request before its answer is complete aborts the connection, so that the client
// cannot mistake a partial answer for a complete one. Must not outlive its HttpListener.
class DownstreamRequest {
 public:
  // `requests_ahead` is the number of earlier requests of the connection in progress.
  DownstreamRequest(DownstreamConnection& connection, HttpHead head,
                    std::shared_ptr<const std::string> body, size_t requests_ahead);
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
  // The requested host in lower case, with the port if the request names one; may be empty.
  const std::string& authority() const { return m_authority; }
  // The end-to-end headers.
  const HeaderList& headers() const { return m_headers; }
  const std::shared_ptr<const std::string>& body() const { return m_body; }
  void SetBody(std::shared_ptr<const std::string> body) { m_body = std::move(body); }
  int64_t arrival_us() const { return m_arrival_us; }
  // Number of earlier requests of its connection that were in progress when it was started.
  size_t requests_ahead() const { return m_requests_ahead; }

  // Exempts the answer from pacing, whatever its size.
  void BypassPacing() { m_is_expedited = true; }

  // Reserves memory for the body of an answer, of which all bytes are held until the client has
  // taken them. Returns false if they do not fit, and a refusal must be sent instead.
  bool MakeRoomFor(size_t body_bytes);
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
  // Whether the process is short of memory, so that answers must be buffered as little as possible.
  bool is_memory_short() const;
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
  std::string m_authority;
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

}  // namespace guavatrail
