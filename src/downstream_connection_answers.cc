// The part of DownstreamConnection that sends the answers in the order of their requests.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>

#include "downstream_connection.h"

namespace guavatrail {

namespace {

// Makes close() reset the connection instead of closing it in an orderly way.
void SetResetOnClose(evutil_socket_t fd) {
  linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

size_t DownstreamConnection::IndexOf(const DownstreamRequest& request) const {
  auto it = std::find_if(m_answers.begin(), m_answers.end(),
                         [&](const Answer& answer) { return answer.request == &request; });
  CHECK(it != m_answers.end()) << "request of another connection";
  return static_cast<size_t>(it - m_answers.begin());
}

evbuffer* DownstreamConnection::OutputOf(const DownstreamRequest& request) {
  size_t index = IndexOf(request);
  if (index == 0) {
    // The client delays nothing while there is nothing to send.
    evbuffer* output = bufferevent_get_output(m_bev);
    if (evbuffer_get_length(output) == 0) m_progress.Restart(EventLoop::NowUs());
    return output;
  }
  Answer& answer = m_answers[index];
  if (answer.held == nullptr) answer.held.reset(evbuffer_new());
  return answer.held.get();
}

size_t DownstreamConnection::UnsentBytesOf(const DownstreamRequest& request) const {
  return IndexOf(request) == 0 ? evbuffer_get_length(bufferevent_get_output(m_bev))
                               : HeldAnswerBytes();
}

size_t DownstreamConnection::HeldAnswerBytes() const {
  size_t sum = 0;
  for (const Answer& answer : m_answers) {
    if (answer.held != nullptr) sum += evbuffer_get_length(answer.held.get());
  }
  return sum;
}

bool DownstreamConnection::MakeRoomFor(size_t bytes) {
  return m_state != State::kOpen || m_memory.GrowAnswer(HeldBytes() + bytes);
}

// Counts answer bytes, which cannot be refused any more.
void DownstreamConnection::CountAnswer() {
  if (m_state == State::kOpen) m_memory.Charge(CurrentUse(), HeldBytes());
}

void DownstreamConnection::OnEvicted() { Release(kReasonMemory); }

void DownstreamConnection::GiveUp() { Release(kReasonNoRoom); }

std::optional<int64_t> DownstreamConnection::StalledSinceUs(int64_t now_us) const {
  if (m_state != State::kOpen) return std::nullopt;
  bool is_receiving = m_answers.empty() && m_has_first_byte && CanRead();
  bool is_answering = !m_answers.empty() && evbuffer_get_length(bufferevent_get_output(m_bev)) > 0;
  if (!is_receiving && !is_answering) return std::nullopt;
  int64_t limit_us = is_receiving ? MemoryBudget::kStallUs : MemoryBudget::kAnswerStallUs;
  int64_t since_us = m_progress.since_us();
  return now_us - since_us > limit_us ? std::optional(since_us) : std::nullopt;
}

// Releases memory or the connection for other requests. An incomplete request has not run. If the
// client has not read its answer, the answer is cut off; otherwise only the read-ahead is
// discarded.
void DownstreamConnection::Release(std::string_view refusal_reason) {
  if (m_state != State::kOpen) return;
  if (m_answers.empty()) {
    if (CanRead()) Refuse(kHttpServiceUnavailable, refusal_reason);
    return;
  }
  if (evbuffer_get_length(bufferevent_get_output(m_bev)) == 0) {
    if (CanRead()) DiscardReadAhead();
    return;
  }
  // Deferred, since the end of the request may start others.
  m_listener.m_deferred.Post([this, evicted = m_answers.front().request] {
    if (m_state != State::kOpen || m_answers.empty()) return;
    DownstreamRequest* request = m_answers.front().request;
    if (request == nullptr || request != evicted) return;
    // The kernel would keep its part of the answer after an orderly close.
    SetResetOnClose(bufferevent_getfd(m_bev));
    request->Abort();
  });
}

bool DownstreamConnection::is_memory_short() const {
  return m_listener.m_memory != nullptr && m_listener.m_memory->is_short();
}

void DownstreamConnection::OnWritten(size_t bytes, size_t left) {
  if (m_state != State::kOpen || m_answers.empty()) return;
  if (m_progress.Add(bytes)) {
    m_progress.Restart(EventLoop::NowUs());
    m_memory.RecordAnswerProgress();
  }
  CountAnswer();
  Answer& answer = m_answers.front();
  if (answer.paced_bytes > 1) {
    // One byte is kept until EndPacing, since 0 means that the answer is not paced.
    int64_t written = std::min(static_cast<int64_t>(bytes), answer.paced_bytes - 1);
    m_listener.m_pacer->backlog().Remove(written);
    answer.paced_bytes -= written;
  }
  if (answer.request != nullptr) answer.request->OnWritten(bytes, left);
  // Deferred, since libevent is still using the output buffer inside this callback.
  if (left == 0 && answer.is_complete) PostAnswerWritten();
}

void DownstreamConnection::SetAnswerLength(const DownstreamRequest& request, uint64_t bytes) {
  auto length = static_cast<int64_t>(bytes);
  if (m_listener.m_pacer == nullptr || length <= LinkPacer::kLargeBytes) return;
  size_t index = IndexOf(request);
  m_answers[index].paced_bytes = length;
  m_listener.m_pacer->backlog().Add(length);
  if (index == 0) m_listener.m_pacer->AddConnection(m_bev);
}

void DownstreamConnection::EndPacing(Answer& answer) {
  if (answer.paced_bytes == 0) return;
  m_listener.m_pacer->backlog().Remove(answer.paced_bytes);
  answer.paced_bytes = 0;
  if (&answer == &m_answers.front()) m_listener.m_pacer->RemoveConnection(m_bev);
}

void DownstreamConnection::FinishAnswer(const DownstreamRequest& request) {
  size_t index = IndexOf(request);
  m_answers[index].is_complete = true;
  CountAnswer();
  if (index == 0 && evbuffer_get_length(bufferevent_get_output(m_bev)) == 0) PostAnswerWritten();
}

void DownstreamConnection::PostAnswerWritten() {
  m_listener.m_deferred.Post([this] {
    if (m_state == State::kOpen && !m_answers.empty()) OnAnswerWritten();
  });
}

void DownstreamConnection::OnAnswerWritten() {
  EndPacing(m_answers.front());
  DownstreamRequest* request = m_answers.front().request;
  bool closes = m_answers.front().closes;
  m_answers.pop_front();
  m_pipeline.FinishFirst();
  // What comes next is the answer behind it, or the rest of a request that is being read.
  m_progress.Restart(EventLoop::NowUs());
  if (request != nullptr) request->m_connection = nullptr;
  CountAnswer();
  if (closes) {
    Linger();
  } else if (!m_answers.empty()) {
    StartNextAnswer();
  } else if (m_refusal != 0) {
    SendRefusal();
  } else if (!m_has_first_byte) {
    StartIdle();
    m_listener.OnConnectionIdle();
  }
  if (request != nullptr) request->End(true);
  // A further request may already be in the input buffer.
  Read();
  UpdateReading();
}

// Sends what has been held of the answer whose turn has come.
void DownstreamConnection::StartNextAnswer() {
  Answer& answer = m_answers.front();
  if (answer.request == nullptr) {
    // Not an immediate close, which could discard the earlier answers before the client reads them.
    Linger();
    m_listener.m_deferred.Post([this] { CancelAfterAbort(); });
    return;
  }
  if (answer.paced_bytes > 0) m_listener.m_pacer->AddConnection(m_bev);
  if (answer.held == nullptr) return;
  evbuffer_add_buffer(bufferevent_get_output(m_bev), answer.held.get());
  answer.held.reset();
}

// The requests behind are cancelled later from the loop, since the caller may be destroying the
// owner of all of them.
void DownstreamConnection::Abort(const DownstreamRequest& request, bool reset) {
  size_t index = IndexOf(request);
  EndPacing(m_answers[index]);
  if (m_state == State::kOpen && index > 0) {
    m_answers[index].request = nullptr;
    m_answers[index].held.reset();
    m_is_broken = true;
    m_timer.Cancel();
    DiscardInput();
    m_listener.m_deferred.Post([this] { CancelAfterAbort(); });
    return;
  }
  m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(index));
  if (m_state != State::kOpen) return;
  if (reset) SetResetOnClose(bufferevent_getfd(m_bev));
  Shut();
  m_listener.m_deferred.Post([this] { CancelAfterAbort(); });
  m_listener.Remove(*this);
}

// Cancels the requests behind an answer that was broken off.
void DownstreamConnection::CancelAfterAbort() {
  size_t first = 0;
  if (m_state == State::kOpen) {
    auto broken = std::find_if(m_answers.begin(), m_answers.end(),
                               [](const Answer& answer) { return answer.request == nullptr; });
    first = static_cast<size_t>(broken - m_answers.begin()) + 1;
  }
  size_t cancelled = CancelFrom(first);
  if (cancelled > 0) LOG(INFO) << "event=pipeline_cancelled requests=" << cancelled;
}

// Ends the requests from position `first` on, without answers. Returns their number.
size_t DownstreamConnection::CancelFrom(size_t first) {
  size_t cancelled = 0;
  while (m_answers.size() > first) {
    EndPacing(m_answers[first]);
    DownstreamRequest* request = m_answers[first].request;
    m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(first));
    if (request == nullptr) continue;
    ++cancelled;
    request->m_connection = nullptr;
    request->End(false);
  }
  return cancelled;
}

}  // namespace guavatrail
