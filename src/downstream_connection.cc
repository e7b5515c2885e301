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
// What the kernel holds of the input when the read-ahead is full, and of an answer beyond what is
// on its way to the client. Without the limit of the latter it holds several megabytes for a client
// that does not read.
constexpr size_t kKernelReadAheadBytes = 131'072;
constexpr int kKernelUnsentBytes = 131'072;
// The connection is closed if the client accepts no byte of its answer for this time.
constexpr timeval kWriteTimeout = {.tv_sec = 60, .tv_usec = 0};
// Time for which input is discarded before a connection is closed. Closing a socket with unread
// input resets the connection, which could discard the answer before the client reads it.
constexpr std::chrono::milliseconds kLingerTime{1'000};
// Retry-After of a request that is refused for lack of memory. Bodies are held for as long as
// requests run, mostly less than a second.
constexpr int kMemoryRetryAfterS = 1;
// The head of a request is held twice while it runs, once as received and once as forwarded.
constexpr size_t kCopiesOfHead = 2;
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

void PrepareSocket(evutil_socket_t fd) {
  // With Nagle's algorithm, an answer sent in several writes would wait for the acknowledgement of
  // the first one.
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kKernelUnsentBytes, sizeof(kKernelUnsentBytes));
}

// Makes close() reset the connection instead of closing it in an orderly way.
void SetResetOnClose(evutil_socket_t fd) {
  linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// Memory of the headers, of which each takes more than its text.
size_t HeadBytes(const HttpHead& head) {
  size_t bytes = head.target.size() + head.headers.size() * sizeof(HeaderList::value_type);
  for (const auto& [name, value] : head.headers) bytes += name.size() + value.size();
  return kCopiesOfHead * bytes;
}

}  // namespace

DownstreamConnection::DownstreamConnection(HttpListener& listener, evutil_socket_t fd)
    : m_listener(listener),
      m_bev(bufferevent_socket_new(listener.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      m_body(evbuffer_new()),
      m_reader(HttpReader::Kind::kRequest, listener.m_limits.max_head_bytes),
      m_memory(listener.m_memory, [this] { OnEvicted(); }),
      m_timer(listener.m_loop, [this] { OnTimer(); }) {
  CHECK(m_bev != nullptr) << "bufferevent_socket_new failed";
  PrepareSocket(fd);
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
  if (self->m_state == State::kAnswering) self->CountReadAhead();
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
  CountAnswer();
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
        CountIncoming();
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
  if (m_listener.m_memory != nullptr &&
      !m_listener.m_memory->CanHold(m_head.content_length.value_or(0))) {
    Refuse(kHttpServiceUnavailable);
    return;
  }
  m_head_bytes = HeadBytes(m_head);
  if (!CountIncoming()) return;
  const std::string* expect = FindHeader(m_head.headers, "Expect");
  if (expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0) {
    evbuffer_add(output(), kContinue, sizeof(kContinue) - 1);
  }
}

void DownstreamConnection::OnBody() {
  StartReadTimer();
  m_body_parts.Append(m_body);
  if (m_body_parts.size() > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
    return;
  }
  CountIncoming();
}

void DownstreamConnection::Dispatch() {
  m_timer.Cancel();
  m_state = State::kAnswering;
  m_is_answer_complete = false;
  m_has_first_byte = false;
  m_closes_after_answer = !m_head.keep_alive || m_listener.ClosesAfterAnswer();
  auto body = HoldBody(m_listener.m_memory, m_body_parts.Take(), m_head_bytes);
  auto request = std::make_unique<DownstreamRequest>(*this, std::move(m_head), std::move(body));
  ReleaseRequest();
  CountReadAhead();
  m_request = request.get();
  m_listener.m_handler(std::move(request));
}

// Rejects input that is not an acceptable request. No part of it has been dispatched, so the
// outcome is reported as not run.
void DownstreamConnection::Refuse(int status) {
  evbuffer_add_printf(
      output(), "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s: %s\r\n", status,
      std::string(ReasonPhrase(status)).c_str(), kOutcomeHeader, kOutcomeNotRun);
  if (status == kHttpServiceUnavailable) {
    evbuffer_add_printf(output(), "Retry-After: %d\r\n%s: %s\r\n", kMemoryRetryAfterS,
                        kReasonHeader, kReasonMemory);
  }
  // Without the id an entry node could not tell that its request has not run.
  if (const std::string* id = FindHeader(m_head.headers, kRequestIdHeader); id != nullptr) {
    evbuffer_add_printf(output(), "%s: %s\r\n", kRequestIdHeader, id->c_str());
  }
  evbuffer_add(output(), "\r\n", 2);
  // Refusals for lack of memory have a log line of their own.
  LOG_IF_EVERY_N(WARNING, status != kHttpServiceUnavailable, 100)
      << "event=request_unreadable status=" << status << " error=" << ToString(m_reader.error());
  Linger();
}

// Counts the bytes of the request being read. Refuses it and returns false if they do not fit in
// the memory of the process. It is not enough to stop reading, since the kernel would hold bytes.
bool DownstreamConnection::CountIncoming() {
  size_t input = evbuffer_get_length(bufferevent_get_input(m_bev));
  size_t bytes = input + m_head_bytes + m_body_parts.held_bytes();
  if (m_memory.Grow(MemoryUse::kReceiving, bytes)) return true;
  Refuse(kHttpServiceUnavailable);
  return false;
}

size_t DownstreamConnection::ReadAheadBytes() const {
  size_t bytes = evbuffer_get_length(bufferevent_get_input(m_bev));
  return bytes < kReadAheadBytes ? bytes : bytes + kKernelReadAheadBytes;
}

// Counts what was read ahead. If it does not fit in the memory of the process, discards it: the
// connection is closed after the current answer, so that its requests are never run.
void DownstreamConnection::CountReadAhead() {
  evbuffer* input = bufferevent_get_input(m_bev);
  size_t unsent = evbuffer_get_length(output());
  if (!m_discards_input && m_memory.Grow(MemoryUse::kAnswering, ReadAheadBytes() + unsent)) return;
  m_discards_input = true;
  m_closes_after_answer = true;
  evbuffer_drain(input, evbuffer_get_length(input));
  m_memory.Charge(MemoryUse::kAnswering, unsent);
}

// Counts answer bytes, which cannot be refused any more.
void DownstreamConnection::CountAnswer() {
  m_memory.Charge(MemoryUse::kAnswering, ReadAheadBytes() + evbuffer_get_length(output()));
}

// Makes space for other requests. A request that is incomplete has not run; an answer is cut off,
// as its client does not read it.
void DownstreamConnection::OnEvicted() {
  if (m_state == State::kReading) {
    Refuse(kHttpServiceUnavailable);
    return;
  }
  // Deferred, since the end of the request may start others.
  m_listener.m_deferred.Post([this] {
    if (m_state != State::kAnswering || m_request == nullptr) return;
    // The kernel would keep its part of the answer after an orderly close.
    SetResetOnClose(bufferevent_getfd(m_bev));
    m_request->Abort();
  });
}

bool DownstreamConnection::is_memory_short() const {
  return m_listener.m_memory != nullptr && m_listener.m_memory->is_short();
}

// Frees what is held of the request being read.
void DownstreamConnection::ReleaseRequest() {
  m_head = {};
  m_head_bytes = 0;
  m_body_parts.Clear();
  evbuffer_drain(m_body, evbuffer_get_length(m_body));
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
  CountAnswer();
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
    m_memory.Charge(MemoryUse::kReceiving, 0);
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
  ReleaseRequest();
  m_memory.Charge(MemoryUse::kReceiving, 0);
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
  ReleaseRequest();
  m_memory.Charge(MemoryUse::kReceiving, 0);
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
