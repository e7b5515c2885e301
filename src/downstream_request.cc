#include "downstream_request.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "downstream_connection.h"
#include "event_loop.h"
#include "http_reader.h"
#include "request_target.h"

namespace guavatrail {

namespace {

// Moves all bytes of `data` by copying them into the buffers of `output`. Buffers that are moved as
// they are may be half empty, and would take twice the memory that is counted for the answer.
void CopyAll(evbuffer* data, evbuffer* output) {
  while (evbuffer_get_length(data) > 0) {
    evbuffer_iovec part{};
    if (evbuffer_peek(data, -1, nullptr, &part, 1) <= 0) return;
    evbuffer_add(output, part.iov_base, part.iov_len);
    evbuffer_drain(data, part.iov_len);
  }
}

void AddLine(evbuffer* output, std::string_view name, std::string_view value) {
  evbuffer_add(output, name.data(), name.size());
  evbuffer_add(output, ": ", 2);
  evbuffer_add(output, value.data(), value.size());
  evbuffer_add(output, "\r\n", 2);
}

}  // namespace

DownstreamRequest::DownstreamRequest(DownstreamConnection& connection, HttpHead head,
                                     std::shared_ptr<const std::string> body, size_t requests_ahead)
    : m_connection(&connection),
      m_method(head.method),
      m_target(OriginFormOf(head.target)),
      m_authority(AuthorityOf(head)),
      m_headers(EndToEndHeaders(head.headers)),
      m_body(std::move(body)),
      m_arrival_us(EventLoop::NowUs()),
      m_minor_version(head.minor_version),
      m_requests_ahead(requests_ahead) {}

DownstreamRequest::~DownstreamRequest() {
  m_on_end = nullptr;
  Abort();
}

void DownstreamRequest::End(bool written) {
  std::function<void(bool)> handler = std::move(m_on_end);
  m_on_end = nullptr;
  if (handler) handler(written);
}

void DownstreamRequest::OnWritten(size_t bytes, size_t left) {
  m_written += bytes;
  if (m_on_low_watermark && left <= m_low_watermark) m_on_low_watermark();
}

void DownstreamRequest::SetLowWatermarkHandler(size_t low, std::function<void()> handler) {
  m_low_watermark = low;
  m_on_low_watermark = std::move(handler);
}

std::string_view DownstreamRequest::path() const { return PathOf(m_target); }

void DownstreamRequest::WriteHead(int status, std::string_view reason, const HeaderList& headers,
                                  std::optional<uint64_t> content_length) {
  m_started = true;
  m_has_body = m_method != EVHTTP_REQ_HEAD && HasBody(status);
  evbuffer* output = m_connection->OutputOf(*this);
  evbuffer_add_printf(output, "HTTP/1.1 %d ", status);
  evbuffer_add(output, reason.data(), reason.size());
  evbuffer_add(output, "\r\n", 2);
  for (const auto& [name, value] : headers) AddLine(output, name, value);
  if (content_length && m_has_body && !m_is_expedited)
    m_connection->SetAnswerLength(*this, *content_length);
  if (content_length) {
    if (HasBody(status)) AddLine(output, "Content-Length", std::to_string(*content_length));
  } else if (m_has_body && m_minor_version == 0) {
    // HTTP/1.0 has no chunked encoding; the end of the body is marked by closing the connection.
    m_is_self_delimited = false;
    m_connection->CloseAfter(*this);
  } else if (m_has_body) {
    m_is_chunked = true;
    AddLine(output, "Transfer-Encoding", "chunked");
  }
  if (m_connection->ClosesAfter(*this)) {
    AddLine(output, "Connection", "close");
  } else if (m_minor_version == 0) {
    AddLine(output, "Connection", "keep-alive");
  }
  evbuffer_add(output, "\r\n", 2);
}

bool DownstreamRequest::MakeRoomFor(size_t body_bytes) {
  return m_connection == nullptr || m_connection->MakeRoomFor(body_bytes);
}

void DownstreamRequest::Reply(int status, const HeaderList& headers, std::string_view body) {
  if (m_connection == nullptr || m_started) return;
  WriteHead(status, ReasonPhrase(status), headers, body.size());
  if (m_has_body) evbuffer_add(m_connection->OutputOf(*this), body.data(), body.size());
  m_connection->FinishAnswer(*this);
}

void DownstreamRequest::StartReply(int status, const std::string& reason, const HeaderList& headers,
                                   std::optional<uint64_t> content_length) {
  if (m_connection == nullptr || m_started) return;
  WriteHead(status, reason.empty() ? ReasonPhrase(status) : reason, headers, content_length);
}

void DownstreamRequest::SendBody(evbuffer* data) {
  if (m_connection == nullptr || !m_has_body) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  evbuffer* output = m_connection->OutputOf(*this);
  size_t length = evbuffer_get_length(data);
  if (length == 0) return;
  if (m_is_chunked) evbuffer_add_printf(output, "%zx\r\n", length);
  CopyAll(data, output);
  if (m_is_chunked) evbuffer_add(output, "\r\n", 2);
  m_connection->CountAnswer();
}

void DownstreamRequest::FinishReply() {
  if (m_connection == nullptr) return;
  if (m_is_chunked) evbuffer_add(m_connection->OutputOf(*this), "0\r\n\r\n", 5);
  m_connection->FinishAnswer(*this);
}

void DownstreamRequest::Abort() {
  if (m_connection == nullptr) return;
  // The client would take an orderly close as the regular end of an answer that has neither a
  // length nor chunks, so such a connection is reset.
  m_connection->Abort(*this, !m_is_self_delimited);
  m_connection = nullptr;
  End(false);
}

size_t DownstreamRequest::UnsentBytes() const {
  return m_connection == nullptr ? 0 : m_connection->UnsentBytesOf(*this);
}

bool DownstreamRequest::is_memory_short() const {
  return m_connection != nullptr && m_connection->is_memory_short();
}

}  // namespace guavatrail
