#include "downstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "socket_options.h"

namespace guavatrail {

namespace {

// Limit on the unparsed bytes that are read ahead while earlier requests are processed.
constexpr size_t kReadAheadBytes = 65'536;
// What the kernel holds of the input when the read-ahead is full, unless the port limits it.
constexpr size_t kKernelReadAheadBytes = 131'072;
// What the kernel holds of an answer beyond what is on its way to the client.
constexpr int kKernelUnsentBytes = 131'072;
// A larger body gets a wide receive window.
constexpr size_t kWideWindowBodyBytes = 16'384;
// The connection is closed if the client accepts no byte of its answer for this time.
constexpr timeval kWriteTimeout = {.tv_sec = 60, .tv_usec = 0};
// Time for which input is discarded before a connection is closed. Closing a socket with unread
// input resets the connection, which could discard the answer before the client reads it.
constexpr std::chrono::milliseconds kLingerTime{1'000};
// Retry-After of a request that is refused for lack of memory or of connections. Both are held for
// as long as requests run, mostly less than a second.
constexpr int kRetryAfterS = 1;
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

bool ExpectsContinue(const HttpHead& head) {
  const std::string* expect = FindHeader(head.headers, "Expect");
  return expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0;
}

void PrepareSocket(evutil_socket_t fd) {
  DisableNagle(fd);
  LimitUnsentBytes(fd, kKernelUnsentBytes);
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
  for (Answer& answer : m_answers) {
    if (answer.request != nullptr) answer.request->m_connection = nullptr;
    EndPacing(answer);
  }
  EndIdle();
  NarrowWindow();
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
  if (self->CanRead() && !self->m_answers.empty()) self->CountIncoming();
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
  return m_state == State::kOpen && m_refusal == 0 && !m_is_broken && !m_discards_input;
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
      if (m_answers.empty()) m_progress.Restart(EventLoop::NowUs());
      m_reader.SetMaxHeadBytes(m_listener.m_limits.max_head_bytes);
      StartReadTimer();
    }
    HttpReader::Event event = m_reader.Next(input, m_body);
    size_t read = length - evbuffer_get_length(input);
    m_request_bytes += read;
    if (m_answers.empty() && m_progress.Add(read)) m_progress.Restart(EventLoop::NowUs());
    switch (event) {
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
  if (m_listener.m_memory != nullptr &&
      !m_listener.m_memory->CanHold(m_head.content_length.value_or(0))) {
    Refuse(kHttpServiceUnavailable, kReasonMemory);
    return;
  }
  m_head_bytes = HeadBytes(m_head);
  if (!CountIncoming()) return;
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
  m_body_parts.Append(m_body);
  if (m_body_parts.size() > kWideWindowBodyBytes) WidenWindow();
  if (m_body_parts.size() > m_listener.m_limits.max_body_bytes) {
    Refuse(kHttpContentTooLarge);
    return;
  }
  CountIncoming();
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
  auto body = HoldBody(m_listener.m_memory, m_body_parts.Take(), m_head_bytes);
  auto request = std::make_unique<DownstreamRequest>(*this, std::move(m_head), std::move(body),
                                                     m_answers.size());
  ReleaseRequest();
  m_pipeline.Start(properties);
  m_answers.push_back({.request = request.get(), .closes = properties.closes});
  CountIncoming();
  m_listener.m_handler(std::move(request));
}

// Rejects input that is not an acceptable request, after the answers of the earlier requests. No
// part of it has been dispatched, so the outcome is reported as not run.
void DownstreamConnection::Refuse(int status, std::string_view reason) {
  m_refusal = status;
  m_refusal_reason = reason;
  m_listener.CountRefusal(status);
  m_timer.Cancel();
  NarrowWindow();
  m_body_parts.Clear();
  evbuffer_drain(m_body, evbuffer_get_length(m_body));
  DiscardInput();
  // Refusals for lack of memory or connections have log lines of their own.
  LOG_IF_EVERY_N(WARNING, status != kHttpServiceUnavailable, 100)
      << "event=request_unreadable status=" << status << " error=" << ToString(m_reader.error())
      << " ahead=" << m_answers.size();
  if (m_answers.empty()) SendRefusal();
}

void DownstreamConnection::SendRefusal() {
  evbuffer* out = bufferevent_get_output(m_bev);
  evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s: %s\r\n",
                      m_refusal, std::string(ReasonPhrase(m_refusal)).c_str(), kOutcomeHeader,
                      kOutcomeNotRun);
  if (m_refusal == kHttpServiceUnavailable) {
    evbuffer_add_printf(out, "Retry-After: %d\r\n%s: %s\r\n", kRetryAfterS, kReasonHeader,
                        std::string(m_refusal_reason).c_str());
  }
  // Without the id an entry node could not tell that its request has not run.
  if (const std::string* id = FindHeader(m_head.headers, kRequestIdHeader); id != nullptr) {
    evbuffer_add_printf(out, "%s: %s\r\n", kRequestIdHeader, id->c_str());
  }
  evbuffer_add(out, "\r\n", 2);
  Linger();
}

// Counts all bytes that the connection holds. Refuses or discards what is being read and returns
// false if they do not fit in the memory of the process. It is not enough to stop reading, since
// the kernel would hold bytes.
bool DownstreamConnection::CountIncoming() {
  if (m_memory.Grow(CurrentUse(), HeldBytes())) return true;
  if (m_answers.empty()) {
    Refuse(kHttpServiceUnavailable, kReasonMemory);
  } else {
    DiscardReadAhead();
  }
  return false;
}

// The connection is closed after the last answer in progress, so that the requests behind it are
// never run.
void DownstreamConnection::DiscardReadAhead() {
  m_discards_input = true;
  m_answers.back().closes = true;
  m_timer.Cancel();
  ReleaseRequest();
  DiscardInput();
  CountAnswer();
}

size_t DownstreamConnection::HeldBytes() const {
  size_t input = evbuffer_get_length(bufferevent_get_input(m_bev));
  bool is_full = !m_answers.empty() && input >= kReadAheadBytes;
  int kernel_limit = m_listener.m_port_limits.receive_buffer_bytes;
  size_t kernel = kernel_limit > 0 ? static_cast<size_t>(kernel_limit) : kKernelReadAheadBytes;
  return input + (is_full ? kernel : 0) + m_head_bytes + m_body_parts.held_bytes() +
         evbuffer_get_length(bufferevent_get_output(m_bev)) + HeldAnswerBytes();
}

MemoryUse DownstreamConnection::CurrentUse() const {
  return m_answers.empty() ? MemoryUse::kReceiving : MemoryUse::kAnswering;
}

// A body much larger than the receive buffer of the port would take a round trip for each part of
// that size.
void DownstreamConnection::WidenWindow() {
  bool is_limited = m_listener.m_port_limits.receive_buffer_bytes > 0;
  if (m_has_wide_window || !is_limited || m_listener.m_memory == nullptr) return;
  if (!m_listener.m_memory->TakeWideWindow()) return;
  m_has_wide_window = true;
  SetReceiveBuffer(bufferevent_getfd(m_bev), RequestMemory::kWideWindowBytes);
}

void DownstreamConnection::NarrowWindow() {
  if (!std::exchange(m_has_wide_window, false)) return;
  m_listener.m_memory->ReturnWideWindow();
  SetReceiveBuffer(bufferevent_getfd(m_bev), m_listener.m_port_limits.receive_buffer_bytes);
}

// Frees what is held of the request being read.
void DownstreamConnection::ReleaseRequest() {
  NarrowWindow();
  m_head = {};
  m_head_bytes = 0;
  m_body_parts.Clear();
  evbuffer_drain(m_body, evbuffer_get_length(m_body));
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
  ReleaseRequest();
  m_memory.Charge(MemoryUse::kReceiving, 0);
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
  ReleaseRequest();
  m_memory.Charge(MemoryUse::kReceiving, 0);
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
