// The part of EntryProxy that generates its own answers and reports the outcome of calls.
#include <glog/logging.h>

#include "entry_call.h"
#include "entry_proxy.h"
#include "percent_encoding.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;

}  // namespace

void EntryProxy::FilterNodeHeaders(HeaderList& headers) const {
  if (!m_protocol.exposes_node_headers) RemoveNodeHeaders(headers);
}

std::string EntryProxy::CallerRequestId(const DownstreamRequest& request) const {
  return std::string(HeaderValue(request.headers(), m_protocol.request_id_header));
}

void EntryProxy::EchoRequestId(const DownstreamRequest& request, HeaderList& headers) const {
  std::string id = CallerRequestId(request);
  if (!id.empty()) SetHeader(headers, m_protocol.request_id_header, id);
}

// Fails a call that is not a keyed order.
void EntryProxy::AnswerFailed(EntryCall& call, int status) {
  if (call.may_have_run) {
    AnswerUnknown(call, status);
  } else {
    AnswerNotRun(call, call.retry_after_ms);
  }
}

void EntryProxy::SetRetryAfterFor(HeaderList& headers, int64_t retry_after_ms) const {
  if (m_protocol.has_fractional_retry_after) {
    SetFractionalRetryAfter(headers, retry_after_ms);
  } else {
    SetRetryAfter(headers, retry_after_ms);
  }
}

// The call does not count for the quota of its workspace, since it has not run.
void EntryProxy::ReturnQuota(EntryCall& call) {
  if (m_quotas == nullptr || call.workspace.name.empty() || call.is_answered) return;
  m_quotas->Return(call.workspace.name, EventLoop::NowUs());
}

void EntryProxy::AnswerNotRun(EntryCall& call, int64_t retry_after_ms) {
  ReturnQuota(call);
  if (call.is_trial && !call.is_answered) m_trials->OnNotRun(call.fingerprint, EventLoop::NowUs());
  HeaderList headers = {{kOutcomeHeader, kOutcomeNotRun}};
  SetRetryAfterFor(headers, retry_after_ms);
  Answer(call, kHttpServiceUnavailable, std::move(headers), CallOutcome::kRefused);
}

void EntryProxy::AnswerUnknown(EntryCall& call, int status) {
  Answer(call, status, {{kOutcomeHeader, kOutcomeUnknown}}, CallOutcome::kUnknown);
}

void EntryProxy::Answer(EntryCall& call, int status, HeaderList headers, CallOutcome outcome) {
  if (call.is_answered) return;
  call.is_answered = true;
  call.deadline_timer.Cancel();
  call.hedge_timer.Cancel();
  CancelOtherAttempts(call, nullptr);
  SetHeader(headers, kRequestIdHeader, call.request_id);
  FilterNodeHeaders(headers);
  EchoRequestId(*call.downstream, headers);
  call.status = status;
  call.downstream->Reply(status, headers, "");
  RecordOutcome(call, outcome);
}

void EntryProxy::RecordOutcome(EntryCall& call, CallOutcome outcome) {
  if (call.is_recorded) return;
  call.is_recorded = true;
  LogCall(call, outcome);
  std::string labels = "service=\"" + EscapeLabel(call.service) + "\",kind=\"" + call.work.name +
                       "\",outcome=\"" + std::string(ToString(outcome)) + "\"";
  m_metrics.GetCounter("calls_total", labels).Add();
  if (!m_observer) return;
  m_observer({.service = call.service,
              .kind = call.work.name,
              .outcome = outcome,
              .latency_us = EventLoop::NowUs() - call.downstream->arrival_us(),
              .body_bytes = call.relay.body_bytes()});
}

void EntryProxy::LogCall(const EntryCall& call, CallOutcome outcome) const {
  LOG(INFO) << "event=request id=" << CallerRequestId(*call.downstream)
            << " try_id=" << call.request_id << " route=" << call.route
            << " service=" << PercentEncode(call.service) << " workspace="
            << (call.workspace.name.empty() ? "none" : PercentEncode(call.workspace.name))
            << " outcome=" << ToString(outcome) << " status=" << call.status
            << " tries=" << call.attempts_started << " reached=" << call.servers_reached
            << " last_node=" << call.last_node
            << " reason=" << (call.last_reason.empty() ? "none" : call.last_reason)
            << " may_have_run=" << call.may_have_run << " config_version=" << call.config_version
            << " endpoints=" << m_picker.endpoints().OfService(call.service).size()
            << " ms=" << (EventLoop::NowUs() - call.downstream->arrival_us()) / kUsPerMs;
}

}  // namespace guavatrail
