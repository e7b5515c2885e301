#include "downstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>

namespace guavatrail {

namespace {

// Limit on the bytes of a pipelined request that are read ahead while its predecessor is processed.
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

void SetNoDelay(evutil_socket_t fd) {
  // With Nagle's algorithm, an answer sent in several writes would wait for the acknowledgement of
  // the first one.
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Makes close() reset the connection instead of closing it in an orderly way.
void SetResetOnClose(evutil_socket_t fd) {
  linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
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
  if (m_request != nullptr) m_request->m_connection = nullptr;
  EndIdle();
  EndPacing();
  evbuffer_remove_cb_entry(bufferevent_get_output(m_bev), m_output_entry);
  bufferevent_free(m_bev);
  evbuffer_free(m_body);
}

evbuffer* DownstreamConnection::output() { return bufferevent_get_output(m_bev); }

void DownstreamConnection::OnRead(bufferevent* /*bev*/, void* arg) {
  auto* self = static_cast<DownstreamConnection*>(arg);
  self->m_listener.m_loop.BeginCallback(LoopWork::kDownstream);
  if (self->m_state == State::kReading) self->Read();
  if (self->m_state == State::kLingering) {
    evbuffer* input = bufferevent_get_input(self->m_bev);
    evbuffer_drain(input, evbuffer_get_length(input));
  }
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

void DownstreamConnection::OnWritten(size_t bytes, size_t left) {
  if (m_state != State::kAnswering) return;
  if (m_paced_bytes > 1) {
    // One byte is kept until EndPacing, since 0 means that the connection is not paced.
    int64_t written = std::min(static_cast<int64_t>(bytes), m_paced_bytes - 1);
    m_listener.m_pacer->backlog().Remove(written);
    m_paced_bytes -= written;
  }
  if (m_request != nullptr) m_request->OnWritten(bytes, left);
  // Deferred, since libevent is still using the output buffer inside this callback.
  if (left == 0 && m_is_answer_complete) {
    m_listener.m_deferred.Post([this] {
      if (m_state == State::kAnswering) OnAnswerWritten();
    });
  }
}

void DownstreamConnection::SetAnswerLength(uint64_t bytes) {
  auto length = static_cast<int64_t>(bytes);
  if (m_listener.m_pacer == nullptr || length <= LinkPacer::kLargeBytes) return;
  m_paced_bytes = length;
  m_listener.m_pacer->backlog().Add(length);
  m_listener.m_pacer->AddConnection(m_bev);
}

void DownstreamConnection::EndPacing() {
  if (m_paced_bytes == 0) return;
  m_listener.m_pacer->backlog().Remove(m_paced_bytes);
  m_paced_bytes = 0;
  m_listener.m_pacer->RemoveConnection(m_bev);
}

void DownstreamConnection::StartReadTimer() { m_timer.Start(m_listener.m_limits.read_timeout); }

void DownstreamConnection::Read() {
  evbuffer* input = bufferevent_get_input(m_bev);
  while (m_state == State::kReading) {
    if (!m_has_first_byte && evbuffer_get_length(input) > 0) {
      m_has_first_byte = true;
      EndIdle();
      m_reader.SetMaxHeadBytes(m_listener.m_limits.max_head_bytes);
      StartReadTimer();
    }
    switch (m_reader.Next(input, m_body)) {
      case HttpReader::Event::kNeedMore:
        return;
      case HttpReader::Event::kHead:
        OnHead();
        break;
      case HttpReader::Event::kBody:
        OnBody();
        break;
      case HttpReader::Event::kDone:
        Dispatch();
        return;
      case HttpReader::Event::kError:
        Refuse(StatusOf(m_reader.error()));
        return;
    }
  }
}

void DownstreamConnection::OnHead() {
  m_head = m_reader.TakeHead();
  if (m_head.content_length.value_or(0) > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
    return;
  }
  const std::string* expect = FindHeader(m_head.headers, "Expect");
  if (expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0) {
    evbuffer_add(output(), kContinue, sizeof(kContinue) - 1);
  }
}

void DownstreamConnection::OnBody() {
  StartReadTimer();
  if (evbuffer_get_length(m_body) > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
  }
}

void DownstreamConnection::Dispatch() {
  m_timer.Cancel();
  m_state = State::kAnswering;
  m_is_answer_complete = false;
  m_has_first_byte = false;
  m_closes_after_answer = !m_head.keep_alive || m_listener.ClosesAfterAnswer();
  std::string body(evbuffer_get_length(m_body), '\0');
  evbuffer_remove(m_body, body.data(), body.size());
  auto request = std::make_unique<DownstreamRequest>(*this, std::move(m_head), std::move(body));
  m_head = {};
  m_request = request.get();
  m_listener.m_handler(std::move(request));
}

// Rejects input that is not an acceptable request. No part of it has been dispatched, so the
// outcome is reported as not run.
void DownstreamConnection::Refuse(int status) {
  evbuffer_add_printf(
      output(), "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s: %s\r\n\r\n",
      status, std::string(ReasonPhrase(status)).c_str(), kOutcomeHeader, kOutcomeNotRun);
  LOG_EVERY_N(WARNING, 100) << "event=request_unreadable status=" << status
                            << " error=" << ToString(m_reader.error());
  Linger();
}

void DownstreamConnection::OnTimer() {
  if (m_state == State::kReading && m_has_first_byte) {
    Refuse(kHttpRequestTimeout);
  } else if (m_state != State::kAnswering) {
    Close();
  }
}

void DownstreamConnection::FinishAnswer() {
  m_is_answer_complete = true;
  if (evbuffer_get_length(output()) > 0) return;
  m_listener.m_deferred.Post([this] {
    if (m_state == State::kAnswering && m_is_answer_complete) OnAnswerWritten();
  });
}

void DownstreamConnection::OnAnswerWritten() {
  EndPacing();
  DownstreamRequest* request = m_request;
  m_request = nullptr;
  m_is_answer_complete = false;
  if (m_closes_after_answer) {
    Linger();
  } else {
    m_state = State::kReading;
    StartIdle();
    m_listener.OnConnectionIdle();
  }
  if (request != nullptr) {
    request->m_connection = nullptr;
    request->End(true);
  }
  // A pipelined request may already be in the input buffer.
  if (m_state == State::kReading) Read();
}

void DownstreamConnection::Linger() {
  m_state = State::kLingering;
  EndIdle();
  m_timer.Start(kLingerTime);
  evbuffer* input = bufferevent_get_input(m_bev);
  evbuffer_drain(input, evbuffer_get_length(input));
  // The sending side is shut down as soon as the answer has been sent.
  if (evbuffer_get_length(output()) == 0) {
    shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    return;
  }
  bufferevent_setcb(
      m_bev, &DownstreamConnection::OnRead,
      [](bufferevent* bev, void*) { shutdown(bufferevent_getfd(bev), SHUT_WR); },
      &DownstreamConnection::OnEvent, this);
}

void DownstreamConnection::Abort(bool reset) {
  m_request = nullptr;
  if (reset) SetResetOnClose(bufferevent_getfd(m_bev));
  Close();
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

// Frees the connection later from the loop, since it may be running one of its own callbacks.
void DownstreamConnection::Close() {
  if (m_state == State::kClosed) return;
  m_state = State::kClosed;
  m_timer.Cancel();
  EndIdle();
  EndPacing();
  bufferevent_disable(m_bev, EV_READ | EV_WRITE);
  bufferevent_setcb(m_bev, nullptr, nullptr, nullptr, nullptr);
  DownstreamRequest* request = m_request;
  m_request = nullptr;
  m_listener.Remove(*this);
  if (request == nullptr) return;
  request->m_connection = nullptr;
  request->End(false);
}

}  // namespace guavatrail
