// The part of ServingProxy that sends requests to the backend server and streams its answers.
#include <event2/buffer.h>
#include <glog/logging.h>

#include <algorithm>

#include "request_fingerprint.h"
#include "serving_call.h"
#include "serving_proxy.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// The server may close an idle connection at the moment a request is written. Work that must not be
// repeated reuses only connections idle for less than this time.
constexpr std::chrono::milliseconds kNonRepeatableMaxIdle{1'000};
constexpr std::chrono::milliseconds kDefaultMaxIdle{60'000};
// The entry node ends an answer at its timeout. It has not done so if it is hung or unreachable.
constexpr int64_t kAnswerTimeoutGraceMs = 100;
// The head of a refusal is sufficient. Its body is awaited for this long, so that the connection
// can be reused.
constexpr std::chrono::milliseconds kRefusalBodyTimeout{100};
// Keyed orders may run for this long after the entry node was sent an unknown outcome or
// disconnected, so that a repeated request with the same key gets the outcome.
constexpr std::chrono::milliseconds kOrderGracePeriod{30'000};

}  // namespace

void ServingProxy::Run(Call& call) {
  // The request may have been quarantined while it was queued.
  if (auto retry_after_ms = QuarantineRetryAfterMs(m_blame, *call.downstream, call.workspace.name);
      retry_after_ms && !IsTrial(*call.downstream)) {
    Refuse(call, *retry_after_ms, kReasonQuarantined);
    Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
    return;
  }
  call.phase = Call::Phase::kRunning;
  call.start_us = EventLoop::NowUs();
  call.server = m_gate.server;
  m_metrics.GetHistogram("serving_queue_wait_us")
      .Record(call.start_us - call.downstream->arrival_us());
  Send(call, call.work.mode == RunMode::kRepeatable ? kDefaultMaxIdle : kNonRepeatableMaxIdle);
}

void ServingProxy::Send(Call& call, std::chrono::milliseconds max_idle) {
  UpstreamRequest request{.method = call.downstream->method(),
                          .uri = call.downstream->target(),
                          .headers = ServerHeaders(call),
                          .body = call.downstream->body(),
                          .max_idle = max_idle};
  const std::string& id_header = m_protocol.request_id_header;
  if (const std::string* id = FindHeader(request.headers, id_header); id != nullptr) {
    request.id_header = id_header;
    request.id = *id;
  }
  call.exchange = m_pool.Send(std::move(request),
                              {.head = [this, &call](const AnswerHead& h) { OnHead(call, h); },
                               .data = [this, &call](evbuffer* d) { OnData(call, d); },
                               .done = [this, &call](ExchangeResult e) { OnDone(call, e); }});
}

void ServingProxy::OnHead(Call& call, const AnswerHead& head) {
  call.server_status = head.status;
  OnServerNotice(call, head);
  if (IsRefusal(head)) {
    call.refusal = head.status == kHttpMisdirected ? kReasonWrongServer : kReasonServerFull;
    call.timer.Start(kRefusalBodyTimeout);
    return;
  }
  HeaderList headers = head.headers;
  RemoveNodeHeaders(headers);
  int64_t server_us = EventLoop::NowUs() - call.start_us;
  std::string kind(m_kind_labels.Of(call.work.name));
  m_metrics.GetHistogram("server_answer_us", "kind=\"" + kind + "\"").Record(server_us);
  if (call.is_keyed()) call.answer = {head.status, headers, ""};
  if (!call.is_attached()) return;
  int64_t left_us = std::max<int64_t>(0, call.timeout_us - EventLoop::NowUs());
  call.timer.Start(std::chrono::microseconds(left_us + kAnswerTimeoutGraceMs * kUsPerMs));
  for (auto& [name, value] : NodeHeaders(kOutcomeAnswered, call.request_id)) {
    SetHeader(headers, name, value);
  }
  SetHeader(headers, kServerTimeHeader, std::to_string(server_us));
  SetHeader(headers, kQueueTimeHeader,
            std::to_string(call.start_us - call.downstream->arrival_us()));
  call.relay.Begin(*call.exchange, head, headers);
}

void ServingProxy::OnData(Call& call, evbuffer* data) {
  if (!call.refusal.empty()) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  if (call.is_keyed() && call.is_storable) {
    size_t length = evbuffer_get_length(data);
    size_t old = call.answer.body.size();
    call.is_storable = old + length <= m_orders.ledger().limits().answer_bytes;
    if (call.is_storable) {
      call.answer.body.resize(old + length);
      evbuffer_copyout(data, call.answer.body.data() + old, length);
    }
  }
  if (call.is_attached()) {
    call.relay.Data(data);
  } else {
    evbuffer_drain(data, evbuffer_get_length(data));
  }
}

void ServingProxy::OnDone(Call& call, ExchangeResult result) {
  RecordServerResult(call, result);
  if (result == ExchangeResult::kBroken) OnBrokenOff(call);
  if (result == ExchangeResult::kComplete) OnServerAnswer(call);
  if (!call.refusal.empty()) {
    OnServerRefusal(call);
    return;
  }
  // A request that may have reached the server is sent again here only if it is repeatable and the
  // protocol allows it. Otherwise the entry node decides whether it may reach a server twice.
  bool is_safe = result == ExchangeResult::kNotSent ||
                 (call.work.mode == RunMode::kRepeatable && m_protocol.retries_after_close);
  call.may_have_been_sent = call.may_have_been_sent || result == ExchangeResult::kBroken;
  if (result != ExchangeResult::kComplete && is_safe && !call.is_retry && !call.relay.has_begun() &&
      call.is_attached()) {
    // The server may have closed an idle connection at the moment the request was written.
    call.is_retry = true;
    if (call.may_have_been_sent) RateLimitOf(m_admission).OnSent(EventLoop::NowUs());
    Send(call, std::chrono::milliseconds(0));
    return;
  }
  call.phase = Call::Phase::kEnded;
  call.timer.Cancel();
  int64_t now_us = EventLoop::NowUs();
  if (call.is_keyed()) FinishOrder(call, result);
  if (call.relay.has_begun()) {
    if (result == ExchangeResult::kComplete) {
      m_answer_sizes.Add(call.work.name, call.relay.body_bytes());
    }
    LogEnd(call, kOutcomeAnswered, result == ExchangeResult::kComplete ? "none" : "broken");
    if (call.is_attached()) call.relay.End(result);
  } else if (!call.may_have_been_sent) {
    AnswerNotRun(call, kReasonUnreachable, kDrainRetryAfterMs);
    if (m_observer.on_unreachable) m_observer.on_unreachable(call.server.id);
  } else {
    AnswerUnknown(call, kHttpBadGateway);
  }
  Apply(result == ExchangeResult::kComplete
            ? Finish(m_admission, call.id, now_us - call.start_us, now_us)
            : Cancel(m_admission, call.id, now_us));
  ReportLoad();
  RemoveIfEnded(call);
}

void ServingProxy::FinishOrder(Call& call, ExchangeResult result) {
  OrderLedger& ledger = m_orders.ledger();
  if (result == ExchangeResult::kNotSent) {
    ledger.FinishNotRun(call.serial);
  } else if (result == ExchangeResult::kBroken) {
    ledger.FinishUnknown(call.serial);
  } else if (call.is_storable) {
    ledger.FinishAnswered(call.serial, std::move(call.answer));
  } else {
    ledger.FinishUnstored(call.serial, call.answer.status);
  }
}

// Called at the deadline, at the timeout of an answer that has begun, and when the time for the
// body of a refusal or the grace period of an order is over.
void ServingProxy::OnTimer(Call& call) {
  if (call.phase == Call::Phase::kQueued) {
    Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
    Refuse(call, kDrainRetryAfterMs, kReasonOverload);
    return;
  }
  if (!call.refusal.empty()) {
    call.exchange.reset();
    OnServerRefusal(call);
    return;
  }
  if (call.relay.has_begun() && call.is_attached()) {
    OnAnswerTimeout(call);
    return;
  }
  bool runs_on = call.is_keyed() && call.exchange->may_have_been_sent();
  if (call.runs_detached || !runs_on) {
    Abort(call, AbortCause::kServerTimeout);
    return;
  }
  call.timer.Start(kOrderGracePeriod);
  AnswerUnknown(call, kHttpGatewayTimeout);
  call.runs_detached = true;
}

// A keyed order loses only its connection to the entry node: OnDownstreamEnd lets it run on.
void ServingProxy::OnAnswerTimeout(Call& call) {
  if (call.is_keyed()) {
    call.relay.End(ExchangeResult::kBroken);
  } else {
    Abort(call, TimeoutCauseOf(call));
  }
}

ServingProxy::AbortCause ServingProxy::TimeoutCauseOf(const Call& call) {
  return call.exchange->is_paused() ? AbortCause::kCallerSlow : AbortCause::kServerTimeout;
}

// The entry node closes the connection of an answer at its timeout, shortly before this node would.
ServingProxy::AbortCause ServingProxy::CloseCauseOf(const Call& call) {
  bool is_timeout = call.relay.has_begun() && call.timeout_us <= EventLoop::NowUs();
  return is_timeout ? TimeoutCauseOf(call) : AbortCause::kDownstreamClosed;
}

std::string_view ServingProxy::ReasonOf(AbortCause cause) {
  switch (cause) {
    case AbortCause::kServerTimeout:
      return kReasonAnswerTimeout;
    case AbortCause::kCallerSlow:
      return kReasonCallerSlow;
    case AbortCause::kDownstreamClosed:
      return kReasonCallerLeft;
  }
  return "";
}

void ServingProxy::CountTimeout(AbortCause cause) {
  std::string labels = "reason=\"" + std::string(ReasonOf(cause)) + "\"";
  m_metrics.GetCounter("serving_answers_timed_out_total", labels).Add();
}

// Aborts a running call. Closing its connection cancels it at the server.
void ServingProxy::Abort(Call& call, AbortCause cause) {
  if (call.phase != Call::Phase::kRunning) return;
  call.phase = Call::Phase::kEnded;
  call.timer.Cancel();
  bool not_run = !call.may_have_been_sent && !call.exchange->may_have_been_sent();
  bool is_overdue = cause == AbortCause::kServerTimeout;
  if (is_overdue && !not_run) RecordTimeout(call);
  call.exchange.reset();
  if (call.is_keyed())
    FinishOrder(call, not_run ? ExchangeResult::kNotSent : ExchangeResult::kBroken);
  if (call.relay.has_begun()) {
    LogEnd(call, kOutcomeAnswered, ReasonOf(cause));
    if (cause != AbortCause::kDownstreamClosed) CountTimeout(cause);
    if (call.is_attached()) call.relay.End(ExchangeResult::kBroken);
  } else if (not_run) {
    AnswerNotRun(call, kReasonOverload, kDrainRetryAfterMs);
  } else {
    AnswerUnknown(call, kHttpGatewayTimeout);
  }
  Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
  ReportLoad();
  RemoveIfEnded(call);
}

void ServingProxy::OnDownstreamEnd(Call& call, bool written) {
  if (!written && call.phase == Call::Phase::kQueued) {
    call.phase = Call::Phase::kEnded;
    if (call.is_keyed()) m_orders.ledger().FinishNotRun(call.serial);
    Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
    ReportLoad();
  } else if (!written && call.phase == Call::Phase::kRunning) {
    if (call.is_keyed()) {
      // The order continues, so that a repeated request with its key gets the answer.
      call.exchange->ResumeReading();
      if (!call.runs_detached) call.timer.Start(kOrderGracePeriod);
      call.runs_detached = true;
    } else {
      Abort(call, CloseCauseOf(call));
    }
  }
  RemoveIfEnded(call);
}

}  // namespace guavatrail
