// The part of EntryProxy that handles the results of attempts: it relays answers, retries calls,
// and ends calls at their deadline.
#include <algorithm>

#include "entry_call.h"
#include "entry_proxy.h"

namespace guavatrail {

namespace {

constexpr int kServerError = 500;

CallOutcome OutcomeOf(int status, bool is_late) {
  if (status == kHttpServiceUnavailable || status == kHttpTooManyRequests) {
    return CallOutcome::kRefused;
  }
  if (status >= kServerError) return CallOutcome::kUnknown;
  return is_late ? CallOutcome::kLate : CallOutcome::kGood;
}

// Whether a refusal came from the backend server rather than from its serving node.
bool HasReachedServer(const AnswerHead& head) {
  std::string_view reason = HeaderValue(head.headers, kReasonHeader);
  return reason == kReasonServerFull || reason == kReasonWrongServer;
}

}  // namespace

void EntryProxy::OnHead(EntryCall& call, EntryAttempt& attempt, const AnswerHead& head) {
  int64_t now_us = EventLoop::NowUs();
  m_picker.OnAnswerHeaders(call.service, attempt.node, head.headers, now_us);
  attempt.is_refused = HasOutcome(head.headers, kOutcomeNotRun) || call.is_answered;
  if (attempt.is_refused) {
    int64_t retry_after_ms = HeaderNumber(head.headers, kRetryAfterMsHeader);
    if (retry_after_ms > 0) call.retry_after_ms = retry_after_ms;
    call.status = head.status;
    attempt.reached_server = HasReachedServer(head);
    std::string_view reason = HeaderValue(head.headers, kReasonHeader);
    call.last_reason = reason.empty() ? "refused" : reason;
    // No other node would run a request in quarantine either.
    if (reason == kReasonOverload || reason == kReasonQuarantined) ++call.queue_refusals;
    int64_t wait_ms = HeaderNumber(head.headers, kWaitMsHeader);
    if (wait_ms > 0) call.busy_nodes.emplace_back(wait_ms, attempt.node);
    // The order may return to this node under a new key, unless the node is draining.
    bool is_draining = reason == kReasonDraining;
    if (call.work.mode == RunMode::kKeyed && !is_draining) call.excluded_nodes.erase(attempt.node);
    return;
  }
  if ((IsShedByServer(call, head) || IsRetryableFailure(call, head)) &&
      RetryOnAnotherServer(call, attempt))
    return;
  call.is_answered = true;
  call.last_reason.clear();
  if (HasOutcome(head.headers, kOutcomeUnknown)) {
    call.may_have_run = true;
    call.last_reason = head.status == kHttpGatewayTimeout ? "deadline" : "broken";
  }
  if (m_containment != nullptr && !call.fingerprint.empty() &&
      HasOutcome(head.headers, kOutcomeAnswered) && head.status < kHttpInternalError) {
    m_containment->OnAnswered(call.fingerprint, now_us);
  }
  call.status = head.status;
  call.is_late = now_us > call.deadline_us;
  StartDeadlineTimer(call, call.timeout_us);
  call.hedge_timer.Cancel();
  CancelOtherAttempts(call, &attempt);
  int64_t server_us = HeaderNumber(head.headers, kServerTimeHeader);
  if (HasOutcome(head.headers, kOutcomeAnswered) && server_us > 0) {
    m_picker.OnAnswer(call.service, call.work.name, attempt.node, server_us,
                      now_us - attempt.start_us, now_us);
    int64_t waited_us = server_us + HeaderNumber(head.headers, kQueueTimeHeader);
    m_metrics.GetHistogram("call_added_us", "kind=\"" + call.work.name + "\"")
        .Record(now_us - call.downstream->arrival_us() - waited_us);
  }
  HeaderList headers = head.headers;
  FilterNodeHeaders(headers);
  call.relay.Begin(attempt.peer->exchange(), head, headers);
}

// Whether the backend server shed a repeatable request.
bool EntryProxy::IsShedByServer(const EntryCall& call, const AnswerHead& head) const {
  // With a not_run_header, a server marks the requests that it did not run, and any other 503 is a
  // regular answer.
  return m_protocol.not_run_header.empty() && head.status == kHttpServiceUnavailable &&
         call.work.mode == RunMode::kRepeatable;
}

// Whether the backend server failed during a request that may be retried on another server.
bool EntryProxy::IsRetryableFailure(const EntryCall& call, const AnswerHead& head) const {
  return HasOutcome(head.headers, kOutcomeUnknown) && head.status == kHttpBadGateway &&
         call.work.mode == RunMode::kRepeatable && call.servers_reached + 1 < call.max_attempts;
}

// Starts an attempt on another server in place of `attempt`, whose answer is then discarded.
bool EntryProxy::RetryOnAnotherServer(EntryCall& call, EntryAttempt& attempt) {
  if (call.attempts_started >= kMaxAttemptsPerCall) return false;
  const Endpoint* server =
      m_picker.Pick(call.service, call.excluded_nodes, false, false, EventLoop::NowUs());
  if (server == nullptr || !m_picker.TakeRetry(call.service)) return false;
  attempt.is_refused = true;
  call.may_have_run = true;
  m_metrics.GetCounter("retries_total", "kind=\"" + call.work.name + "\"").Add();
  return StartAttempt(call, server, false);
}

void EntryProxy::FinishAttempt(EntryCall& call, EntryAttempt& attempt) {
  attempt.is_ended = true;
  m_picker.OnCallEnded(attempt.node);
  // Deferred, since the attempt may be running one of its own handlers.
  m_deferred.Post([this, id = call.id, raw = &attempt] {
    auto it = m_calls.find(id);
    if (it == m_calls.end()) return;
    std::erase_if(it->second->active_attempts,
                  [raw](const auto& entry) { return entry.get() == raw; });
  });
}

void EntryProxy::CancelOtherAttempts(EntryCall& call, const EntryAttempt* winner) {
  for (auto& attempt : call.active_attempts) {
    if (attempt.get() == winner || attempt->is_ended) continue;
    call.may_have_run = call.may_have_run || attempt->peer->may_have_been_sent();
    attempt->peer.reset();
    FinishAttempt(call, *attempt);
  }
}

void EntryProxy::OnDone(EntryCall& call, EntryAttempt& attempt, ExchangeResult result) {
  bool was_relayed = !attempt.is_refused && call.relay.has_begun();
  if (!attempt.is_refused && result != ExchangeResult::kComplete) {
    call.last_reason = attempt.peer->was_silent()           ? "silent"
                       : result == ExchangeResult::kNotSent ? "not_sent"
                                                            : "broken";
  }
  if (attempt.peer->was_silent()) m_metrics.GetCounter("silent_connections_total").Add();
  FinishAttempt(call, attempt);
  if (result != ExchangeResult::kComplete)
    m_picker.OnFailure(call.service, attempt.node, EventLoop::NowUs());
  if (was_relayed) {
    bool whole = result == ExchangeResult::kComplete;
    // A complete answer is delivered, however slowly the caller reads it.
    call.deadline_timer.Cancel();
    if (whole) m_answer_sizes.Add(call.work.name, call.relay.body_bytes());
    RecordOutcome(call, whole ? OutcomeOf(call.status, call.is_late) : CallOutcome::kIncomplete);
    call.relay.End(result);
    return;
  }
  if (call.is_answered) return;
  if (attempt.reached_server && result != ExchangeResult::kNotSent) ++call.servers_reached;
  if (attempt.is_refused) {
    OnRefused(call);
    return;
  }
  call.may_have_run = call.may_have_run || result == ExchangeResult::kBroken;
  if (call.work.mode == RunMode::kKeyed) {
    FenceOrder(call);
    return;
  }
  Retry(call);
}

// Retries the call on another server if the request is repeatable or cannot have run.
void EntryProxy::Retry(EntryCall& call) {
  bool is_other_running = std::any_of(call.active_attempts.begin(), call.active_attempts.end(),
                                      [](const auto& other) { return !other->is_ended; });
  if (is_other_running) return;
  if (CanRetry(call)) {
    m_metrics.GetCounter("retries_total", "kind=\"" + call.work.name + "\"").Add();
    StartNextAttempt(call);
  } else {
    AnswerFailed(call, kHttpBadGateway);
  }
}

// Attempts that reached no server put no load on servers and need no retry budget; others do.
bool EntryProxy::CanRetry(EntryCall& call) {
  bool is_safe = call.work.mode == RunMode::kRepeatable || !call.may_have_run;
  if (!is_safe || call.attempts_started >= kMaxAttemptsPerCall) return false;
  if (call.deadline_us <= EventLoop::NowUs()) return false;
  if (call.queue_refusals >= kMaxQueueRefusals) return false;
  if (call.servers_reached == 0) return true;
  return call.servers_reached < call.max_attempts && m_picker.TakeRetry(call.service);
}

// Handles a refusal: the serving node did not run the request, and if it is a keyed order, never
// will.
void EntryProxy::OnRefused(EntryCall& call) {
  if (call.work.mode == RunMode::kKeyed) {
    if (call.status == kHttpPreconditionRequired) {
      FetchKey(call);
    } else {
      AnswerNotRun(call, call.retry_after_ms);
    }
    return;
  }
  Retry(call);
}

// The serving node sends its own answer at the deadline, so it is hung or unreachable if none has
// arrived by the end of the grace period.
void EntryProxy::OnDeadline(EntryCall& call) {
  if (call.relay.has_begun()) {
    EndAnswerAtTimeout(call);
    return;
  }
  if (call.is_answered) return;
  call.last_reason = "deadline";
  bool was_sent = !call.active_attempts.empty();
  CancelOtherAttempts(call, nullptr);
  if (call.work.mode == RunMode::kKeyed && was_sent) {
    FenceOrder(call);
  } else {
    AnswerFailed(call, kHttpGatewayTimeout);
  }
}

// Closes the connection of the caller, who sees that the answer is incomplete. The end of the
// request then closes the connection to the serving node, which cancels the request at the backend
// server.
void EntryProxy::EndAnswerAtTimeout(EntryCall& call) {
  bool is_caller_slow = std::any_of(
      call.active_attempts.begin(), call.active_attempts.end(),
      [](const auto& attempt) { return !attempt->is_ended && attempt->peer->is_paused(); });
  call.last_reason = is_caller_slow ? kReasonCallerSlow : kReasonAnswerTimeout;
  m_metrics.GetCounter("answers_timed_out_total", "reason=\"" + call.last_reason + "\"").Add();
  RecordOutcome(call, CallOutcome::kIncomplete);
  call.relay.End(ExchangeResult::kBroken);
}

}  // namespace guavatrail
