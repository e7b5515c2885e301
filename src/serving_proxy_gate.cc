// The part of ServingProxy that controls which work reaches the backend server: the gate, refusals
// by the node because of the gate or the link, and refusals by the server.
#include <glog/logging.h>

#include <algorithm>

#include "deadline.h"
#include "server_statement.h"
#include "serving_call.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// The limit of a server in use may change twice a second for as long as the server is at it.
constexpr int64_t kConcurrencyLogPeriodUs = 5'000'000;

}  // namespace

void ServingProxy::SetServer(const ServerLifetime& server) {
  if (m_gate.server == server) return;
  CloseGate(kReasonNoServer, std::chrono::milliseconds(0));
  m_failures = FailureRate();
  EndLimit();
  if (auto* admission = std::get_if<SlotAdmission>(&m_admission)) admission->OnNewServer();
  m_gate = {false, server, kReasonNoServer};
}

void ServingProxy::OpenGate(const ServerLifetime& server, int slots) {
  if (m_gate.is_leaving && m_gate.server == server) return;
  SetServer(server);
  bool is_new = !m_gate.is_open;
  m_gate = {true, server, ""};
  m_gate_timer.Cancel();
  if (auto* admission = std::get_if<SlotAdmission>(&m_admission)) admission->SetSlots(slots);
  if (is_new) LOG(INFO) << "event=gate_opened server=" << server.id << " slots=" << slots;
}

void ServingProxy::CloseGate(std::string_view reason, std::chrono::milliseconds queue_time) {
  if (m_gate.is_open) {
    LOG(INFO) << "event=gate_closed server=" << m_gate.server.id << " reason=" << reason
              << " queued=" << LoadOf(m_admission).queued
              << " in_service=" << LoadOf(m_admission).in_service;
  }
  // Reports of a server that is leaving close the gate again and again. They give the queue no more
  // time.
  int64_t now_us = EventLoop::NowUs();
  int64_t queue_end_us = now_us + queue_time.count() * kUsPerMs;
  if (!m_gate.is_open) queue_end_us = std::min(queue_end_us, m_gate.queue_end_us);
  m_gate.is_open = false;
  m_gate.reason = reason;
  m_gate.queue_end_us = queue_end_us;
  m_gate_timer.Start(std::chrono::microseconds(std::max<int64_t>(0, queue_end_us - now_us)));
}

// Refuses the requests that are still queued when the queue time of a closed gate has expired, so
// that they are sent to other nodes.
void ServingProxy::RefuseQueue() {
  if (m_gate.is_open) return;
  std::vector<uint64_t> queued;
  for (const auto& [id, call] : m_calls) {
    if (call->phase == Call::Phase::kQueued) queued.push_back(id);
  }
  for (uint64_t id : queued) {
    Call& call = *m_calls.at(id);
    Apply(Cancel(m_admission, id, EventLoop::NowUs()));
    Refuse(call, kDrainRetryAfterMs, m_gate.reason);
  }
}

// Refuses the request and returns false if it names a body that this process does not hold.
bool ServingProxy::TakeLocalBody(std::unique_ptr<DownstreamRequest>& request) {
  const std::string* token = FindHeader(request->headers(), kLocalBodyHeader);
  if (token == nullptr) return true;
  SharedBody body = m_local_bodies == nullptr ? nullptr : m_local_bodies->Take(*token);
  if (body == nullptr) {
    RefuseRequest(std::move(request), kReasonBodyGone, kDrainRetryAfterMs);
    return false;
  }
  request->SetBody(std::move(body));
  return true;
}

void ServingProxy::RefuseRequest(std::unique_ptr<DownstreamRequest> request,
                                 std::string_view reason, int64_t retry_after_ms) {
  HeaderList headers = NodeHeaders(kOutcomeNotRun, RequestIdOf(*request));
  SetHeader(headers, kReasonHeader, reason);
  SetRetryAfter(headers, retry_after_ms);
  LOG(INFO) << "event=served id=" << HeaderValue(request->headers(), m_protocol.request_id_header)
            << " try_id=" << RequestIdOf(*request) << " outcome=" << kOutcomeNotRun
            << " reason=" << reason << " server=" << m_gate.server.id
            << " gate_open=" << m_gate.is_open << " retry_after_ms=" << retry_after_ms;
  m_metrics.GetCounter("serving_refused_total", "reason=\"" + std::string(reason) + "\"").Add();
  m_replies.Reply(std::move(request), kHttpServiceUnavailable, headers);
}

// The time by which the link is behind, if a request with a large answer must be refused because of
// it; nullopt otherwise.
std::optional<int64_t> ServingProxy::LinkWaitMs(const Call& call, bool is_offer) const {
  if (m_pacer == nullptr) return std::nullopt;
  int64_t bytes = m_answer_sizes.TypicalBytes(call.work.name);
  if (bytes <= LinkPacer::kLargeBytes) return std::nullopt;
  int64_t now_us = EventLoop::NowUs();
  int64_t objective_us = ObjectiveUs(*call.downstream);
  int64_t end_us = objective_us > now_us ? objective_us : call.deadline_us;
  return m_pacer->backlog().RefusalWaitMs({.bytes = bytes,
                                           .pending_bytes = PendingAnswerBytes(call),
                                           .remaining_ms = (end_us - now_us) / kUsPerMs,
                                           .is_offer = is_offer});
}

// Expected bytes of large answers that have not begun, for requests accepted before `call`.
int64_t ServingProxy::PendingAnswerBytes(const Call& call) const {
  int64_t pending_bytes = 0;
  for (const auto& [id, other] : m_calls) {
    if (id == call.id || other->phase == Call::Phase::kEnded || other->relay.has_begun()) continue;
    int64_t bytes = m_answer_sizes.TypicalBytes(other->work.name);
    if (bytes > LinkPacer::kLargeBytes) pending_bytes += bytes;
  }
  return pending_bytes;
}

HeaderList ServingProxy::ServerHeaders(const Call& call) const {
  HeaderList headers = call.downstream->headers();
  RemoveNodeHeaders(headers);
  SetHeader(headers, m_protocol.deadline_header,
            FormatDeadlineMs(call.deadline_us, EventLoop::NowUs()));
  if (m_protocol.exposes_node_headers && !call.request_id.empty()) {
    SetHeader(headers, kRequestIdHeader, call.request_id);
  }
  if (!m_protocol.expected_server_header.empty()) {
    SetHeader(headers, m_protocol.expected_server_header, m_gate.server.id);
  }
  return headers;
}

// Whether the backend server states that it did not run the request, so that another may run it.
bool ServingProxy::IsRefusal(const AnswerHead& head) const {
  if (!m_protocol.expected_server_header.empty() && head.status == kHttpMisdirected) return true;
  if (m_protocol.not_run_header.empty()) return false;
  bool is_shed = head.status == kHttpServiceUnavailable || head.status == kHttpTooManyRequests;
  return is_shed && FindHeader(head.headers, m_protocol.not_run_header) != nullptr;
}

void ServingProxy::OnServerRefusal(Call& call) {
  EndNotRun(call, kDrainRetryAfterMs, call.refusal);
  Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
  ReportLoad();
  if (call.refusal == kReasonWrongServer && call.server == m_gate.server) {
    CloseGate(kReasonNoServer, std::chrono::milliseconds(0));
    if (m_observer.on_wrong_server) m_observer.on_wrong_server(call.server.id);
  }
  RemoveIfEnded(call);
}

// Evaluates what the backend server states about itself. An answer to a request that was sent to an
// earlier server says nothing about the current one, and a 421 comes from another server.
void ServingProxy::OnServerNotice(Call& call, const AnswerHead& head) {
  call.notice = ParseServerNotice(m_protocol, head.headers);
  if (call.server != m_gate.server || head.status == kHttpMisdirected) return;
  if (call.notice.is_leaving) OnServerLeaving("answer");
  // A limit that cannot be read neither replaces nor ends the one in force.
  if (call.notice.has_invalid_limit) return;
  ServerRateLimit& limit = RateLimitOf(m_admission);
  if (limit.OnAnswer(call.notice.limit_per_s, call.start_us, EventLoop::NowUs())) {
    OnLimitChanged("answer");
  }
}

// Evaluates what an entry node knows from earlier answers of the backend server.
void ServingProxy::OnServerStatement(const DownstreamRequest& request) {
  const std::string* text = FindHeader(request.headers(), kServerStatementHeader);
  auto statement = text == nullptr ? std::nullopt : ParseServerStatement(*text);
  if (!statement || statement->server != m_gate.server) return;
  if (statement->is_leaving) OnServerLeaving("entry_node");
  if (!statement->limit_per_s) return;
  ServerRateLimit& limit = RateLimitOf(m_admission);
  if (limit.OnReported(*statement->limit_per_s, EventLoop::NowUs())) OnLimitChanged("entry_node");
}

// Ends the limit of a server whose place another one has taken.
void ServingProxy::EndLimit() {
  ServerRateLimit& limit = RateLimitOf(m_admission);
  bool had_limit = limit.limit_per_s().has_value();
  limit.Reset();
  if (had_limit) OnLimitChanged("new_server");
}

void ServingProxy::StateLeave(const ServerLifetime& server) {
  if (server == m_gate.server) OnServerLeaving("report");
}

void ServingProxy::OnServerLeaving(std::string_view source) {
  if (m_gate.is_leaving) return;
  m_gate.is_leaving = true;
  LOG(INFO) << "event=server_leaving server=" << m_gate.server.id << " source=" << source
            << " gate_open=" << m_gate.is_open;
  if (m_observer.on_leaving) m_observer.on_leaving(m_gate.server);
}

// Starts the queued requests whose turn has come under the new limit. Deferred, since a call may be
// running one of its own callbacks.
void ServingProxy::OnLimitChanged(std::string_view source) {
  double limit_per_s = LimitInForce();
  LOG(INFO) << "event=server_limit server=" << m_gate.server.id << " limit=" << limit_per_s
            << " source=" << source << " queued=" << LoadOf(m_admission).queued
            << " in_service=" << LoadOf(m_admission).in_service;
  m_metrics.GetGauge("server_limit_per_s").Set(limit_per_s);
  m_deferred.Post([this] { ExpireQueued(); });
}

void ServingProxy::ReportLoad() {
  AdmissionLoad load = LoadOf(m_admission);
  m_metrics.GetGauge("serving_in_service").Set(load.in_service);
  m_metrics.GetGauge("serving_queued").Set(load.queued);
  if (m_has_adaptive_concurrency) ReportConcurrency(load);
}

void ServingProxy::ReportConcurrency(const AdmissionLoad& load) {
  const auto* admission = std::get_if<SlotAdmission>(&m_admission);
  if (admission == nullptr) return;
  int limit = admission->concurrency_limit();
  if (limit != m_concurrency.limit) {
    m_metrics.GetGauge("concurrency_limit").Set(limit);
    if (m_concurrency.limit > 0) m_metrics.GetCounter("concurrency_limit_changes_total").Add();
    m_concurrency.limit = limit;
  }
  int64_t now_us = EventLoop::NowUs();
  if (limit == m_concurrency.logged_limit || now_us < m_concurrency.next_log_us) return;
  LOG(INFO) << "event=concurrency_limit server=" << m_gate.server.id << " limit=" << limit
            << " before=" << m_concurrency.logged_limit << " service_us=" << load.service_us
            << " queued=" << load.queued << " in_service=" << load.in_service;
  m_concurrency.logged_limit = limit;
  m_concurrency.next_log_us = now_us + kConcurrencyLogPeriodUs;
}

double ServingProxy::LimitInForce() const {
  return RateLimitOf(m_admission).limit_per_s().value_or(kNoLimit);
}

int64_t ServingProxy::LimitAgeMs(int64_t now_us) const {
  const ServerRateLimit& limit = RateLimitOf(m_admission);
  return limit.limit_per_s() ? (now_us - limit.named_us()) / kUsPerMs : 0;
}

// What entry nodes are to remember for this node; nullopt if there is nothing.
std::optional<std::string> ServingProxy::ServerStatementText() const {
  std::optional<double> limit_per_s = RateLimitOf(m_admission).limit_per_s();
  if (!limit_per_s && !m_gate.is_leaving) return std::nullopt;
  return FormatServerStatement(
      {.server = m_gate.server, .limit_per_s = limit_per_s, .is_leaving = m_gate.is_leaving});
}

}  // namespace guavatrail
