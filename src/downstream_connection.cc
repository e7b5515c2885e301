#include "downstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace guavatrail {

namespace {

// Limit on the unparsed bytes that are read ahead while earlier requests are processed.
constexpr size_t kReadAheadBytes = 65'536;
// The connection is closed if the client accepts no byte of its answer for this time.
constexpr timeval kWriteTimeout = {.tv_sec = 60, .tv_usec = 0};
// Time for which input is discarded before a connection is closed. Closing a socket with unread
// input resets the connection, which could discard the answer before the client reads it.
constexpr std::chrono::milliseconds kLingerTime{1'000};
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

int StatusOf(HttpReadError error) {
  switch (error) {
    case HttpReadError::kHeadTooLarge:
      return kHttpHeadersTooLarge;
    case HttpReadError::kUnknownMethod:
      return kHttpNotImplemented;
    case HttpReadError::kNone:
    case HttpReadError::kBadSyntax:
      break;
  }
  return kHttpBadRequest;
}

bool ExpectsContinue(const HttpHead& head) {
  const std::string* expect = FindHeader(head.headers, "Expect");
  return expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0;
}

void SetNoDelay(evutil_socket_t fd) {
  // With Nagle's algorithm, an answer sent in several writes would wait for the acknowledgement of
  // the first one.
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

DownstreamConnection::DownstreamConnection(HttpListener& listener, evutil_socket_t fd)
    : m_listener(listener),
      m_bev(bufferevent_socket_new(listener.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      m_body(evbuffer_new()),
      m_reader(HttpReader::Kind::kRequest, listener.m_limits.max_head_bytes),
      m_timer(listener.m_loop, [this] { OnTimer(); }) {
  CHECK(m_bev != nullptr) << "bufferevent_socket_new failed";
  SetNoDelay(fd);
  bufferevent_setcb(m_bev, &DownstreamConnection::OnRead, nullptr, &DownstreamConnection::OnEvent,
                    this);
  // The buffer must hold one byte more than the largest head, so that the reader can recognize a
  // head that is too large.
  bufferevent_setwatermark(m_bev, EV_READ, 0,
                           std::max(kReadAheadBytes, listener.m_limits.max_head_bytes + 1));
  bufferevent_set_timeouts(m_bev, nullptr, &kWriteTimeout);
  m_output_entry =
      evbuffer_add_cb(bufferevent_get_output(m_bev), &DownstreamConnection::OnOutput, this);
  bufferevent_enable(m_bev, EV_READ | EV_WRITE);
  StartIdle();
}

DownstreamConnection::~DownstreamConnection() {
  for (Answer& answer : m_answers) {
    if (answer.request != nullptr) answer.request->m_connection = nullptr;
    EndPacing(answer);
  }
  EndIdle();
  evbuffer_remove_cb_entry(bufferevent_get_output(m_bev), m_output_entry);
  bufferevent_free(m_bev);
  evbuffer_free(m_body);
}

void DownstreamConnection::BufferDeleter::operator()(evbuffer* buffer) const {
  evbuffer_free(buffer);
}

void DownstreamConnection::OnRead(bufferevent* /*bev*/, void* arg) {
  auto* self = static_cast<DownstreamConnection*>(arg);
  self->m_listener.m_loop.BeginCallback(LoopWork::kDownstream);
  self->Read();
  if (!self->CanRead()) self->DiscardInput();
  self->UpdateReading();
}

void DownstreamConnection::OnEvent(bufferevent* /*bev*/, short what, void* arg) {
  auto* self = static_cast<DownstreamConnection*>(arg);
  self->m_listener.m_loop.BeginCallback(LoopWork::kDownstream);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) return;
  self->Close();
}

void DownstreamConnection::OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
  if (info->n_deleted == 0) return;
  static_cast<DownstreamConnection*>(arg)->OnWritten(info->n_deleted, evbuffer_get_length(buffer));
}

void DownstreamConnection::StartReadTimer() { m_timer.Start(m_listener.m_limits.read_timeout); }

bool DownstreamConnection::CanRead() const {
  return m_state == State::kOpen && m_refusal == 0 && !m_is_broken;
}

// Libevent would otherwise stop reading, and the end of the connection would not be seen.
void DownstreamConnection::DiscardInput() {
  evbuffer* input = bufferevent_get_input(m_bev);
  evbuffer_drain(input, evbuffer_get_length(input));
  UpdateReading();
}

// Disables reading while the input is full. Libevent would otherwise call OnRead() again and again.
void DownstreamConnection::UpdateReading() {
  if (m_state == State::kClosed) return;
  size_t high = 0;
  bufferevent_getwatermark(m_bev, EV_READ, nullptr, &high);
  bool is_full = evbuffer_get_length(bufferevent_get_input(m_bev)) >= high;
  bool is_enabled = (bufferevent_get_enabled(m_bev) & EV_READ) != 0;
  if (is_full && is_enabled) bufferevent_disable(m_bev, EV_READ);
  if (!is_full && !is_enabled) bufferevent_enable(m_bev, EV_READ);
}

void DownstreamConnection::Read() {
  evbuffer* input = bufferevent_get_input(m_bev);
  if (CanRead() && m_is_waiting && m_answers.empty()) EndWait();
  while (CanRead() && !m_is_waiting && m_pipeline.IsOpen()) {
    size_t length = evbuffer_get_length(input);
    if (!m_has_first_byte && length > 0) {
      m_has_first_byte = true;
      m_request_bytes = 0;
      EndIdle();
      m_reader.SetMaxHeadBytes(m_listener.m_limits.max_head_bytes);
      StartReadTimer();
    }
    HttpReader::Event event = m_reader.Next(input, m_body);
    m_request_bytes += length - evbuffer_get_length(input);
    switch (event) {
      case HttpReader::Event::kNeedMore:
        return;
      case HttpReader::Event::kHead:
        OnHead();
        break;
      case HttpReader::Event::kBody:
        OnBody();
        break;
      case HttpReader::Event::kDone:
        OnComplete();
        break;
      case HttpReader::Event::kError:
        Refuse(StatusOf(m_reader.error()));
        return;
    }
  }
}

void DownstreamConnection::OnHead() {
  m_head = m_reader.TakeHead();
  uint64_t length = m_head.content_length.value_or(0);
  if (length > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
    return;
  }
  // While answers are unfinished, no "100 Continue" can be sent, and only a body that fits into the
  // read-ahead is read.
  bool is_readable = !ExpectsContinue(m_head) && m_head.framing != BodyFraming::kChunked &&
                     m_pipeline.HasRoomFor(m_request_bytes + length);
  if (m_answers.empty() || is_readable) {
    ReadBody();
  } else {
    Wait();
  }
}

void DownstreamConnection::ReadBody() {
  if (!ExpectsContinue(m_head)) return;
  evbuffer_add(bufferevent_get_output(m_bev), kContinue, sizeof(kContinue) - 1);
}

void DownstreamConnection::OnBody() {
  StartReadTimer();
  if (evbuffer_get_length(m_body) > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
  }
}

// The properties are determined again for a request that has waited, since the configuration may
// have changed.
void DownstreamConnection::OnComplete() {
  // HTTP/1.0 has no pipelining, and the end of an answer may be marked by closing the connection.
  PipelinedRequest properties = {
      .may_overlap = m_head.minor_version > 0 && m_listener.MayOverlap(m_head),
      .closes = !m_head.keep_alive || m_listener.ClosesAfterAnswer(),
      .bytes = m_request_bytes};
  if (m_pipeline.MayStart(properties)) {
    Dispatch(properties);
  } else {
    m_is_request_complete = true;
    Wait();
  }
}

// Stops reading until all earlier requests have been answered.
void DownstreamConnection::Wait() {
  m_is_waiting = true;
  m_timer.Cancel();
}

void DownstreamConnection::EndWait() {
  m_is_waiting = false;
  if (std::exchange(m_is_request_complete, false)) {
    OnComplete();
  } else {
    StartReadTimer();
    ReadBody();
  }
}

void DownstreamConnection::Dispatch(const PipelinedRequest& properties) {
  m_timer.Cancel();
  m_has_first_byte = false;
  std::string body(evbuffer_get_length(m_body), '\0');
  evbuffer_remove(m_body, body.data(), body.size());
  auto request = std::make_unique<DownstreamRequest>(*this, std::move(m_head), std::move(body),
                                                     m_answers.size());
  m_head = {};
  m_pipeline.Start(properties);
  m_answers.push_back({.request = request.get(), .closes = properties.closes});
  m_listener.m_handler(std::move(request));
}

// Rejects input that is not an acceptable request, after the answers of the earlier requests. No
// part of it has been dispatched, so the outcome is reported as not run.
void DownstreamConnection::Refuse(int status) {
  m_refusal = status;
  m_timer.Cancel();
  evbuffer_drain(m_body, evbuffer_get_length(m_body));
  DiscardInput();
  LOG_EVERY_N(WARNING, 100) << "event=request_unreadable status=" << status
                            << " error=" << ToString(m_reader.error())
                            << " ahead=" << m_answers.size();
  if (m_answers.empty()) SendRefusal();
}

void DownstreamConnection::SendRefusal() {
  evbuffer_add_printf(bufferevent_get_output(m_bev),
                      "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s: %s\r\n\r\n",
                      m_refusal, std::string(ReasonPhrase(m_refusal)).c_str(), kOutcomeHeader,
                      kOutcomeNotRun);
  Linger();
}

void DownstreamConnection::OnTimer() {
  if (m_state == State::kOpen && m_has_first_byte) {
    Refuse(kHttpRequestTimeout);
  } else if (m_answers.empty()) {
    Close();
  }
}

void DownstreamConnection::Linger() {
  m_state = State::kLingering;
  EndIdle();
  m_timer.Start(kLingerTime);
  DiscardInput();
  // The sending side is shut down as soon as the answer has been sent.
  if (evbuffer_get_length(bufferevent_get_output(m_bev)) == 0) {
    shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    return;
  }
  bufferevent_setcb(
      m_bev, &DownstreamConnection::OnRead,
      [](bufferevent* bev, void*) { shutdown(bufferevent_getfd(bev), SHUT_WR); },
      &DownstreamConnection::OnEvent, this);
}

void DownstreamConnection::StartIdle() {
  std::list<DownstreamConnection*>& idle = m_listener.m_idle;
  m_idle_entry = idle.insert(idle.end(), this);
  m_idle_since_us = EventLoop::NowUs();
  m_timer.Start(m_listener.m_limits.idle_timeout);
}

void DownstreamConnection::EndIdle() {
  if (!m_idle_entry) return;
  m_listener.m_idle.erase(*m_idle_entry);
  m_idle_entry.reset();
}

bool DownstreamConnection::CloseIfUnused() {
  char byte = 0;
  if (recv(bufferevent_getfd(m_bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return false;
  Close();
  return true;
}

void DownstreamConnection::Shut() {
  m_state = State::kClosed;
  m_timer.Cancel();
  EndIdle();
  bufferevent_disable(m_bev, EV_READ | EV_WRITE);
  bufferevent_setcb(m_bev, nullptr, nullptr, nullptr, nullptr);
}

// Frees the connection later from the loop, since it may be running one of its own callbacks.
void DownstreamConnection::Close() {
  if (m_state == State::kClosed) return;
  Shut();
  m_listener.Remove(*this);
  CancelFrom(0);
}

}  // namespace guavatrail
