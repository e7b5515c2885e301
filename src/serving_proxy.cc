#include "serving_proxy.h"

#include <glog/logging.h>

#include <algorithm>

#include "deadline.h"
#include "port_budget.h"
#include "request_fingerprint.h"
#include "serving_call.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
constexpr int64_t kDefaultDeadlineMs = 30'000;
constexpr std::chrono::milliseconds kQueueCheckPeriod{20};
constexpr std::string_view kDefaultWork = "unnamed;importance=1;short;once";

AdmissionPolicy MakeAdmission(const Settings& settings) {
  if (settings.calls.admission == "unlimited") {
    return UnlimitedAdmission({.concurrency = static_cast<int>(settings.server.connections)});
  }
  return SlotAdmission(
      {.slots = static_cast<int>(settings.server.slots),
       .reserved_short_slots = static_cast<int>(settings.server.reserved_short_slots),
       .queue_limit = static_cast<int>(settings.calls.queue_limit),
       .has_adaptive_concurrency = settings.calls.concurrency == "adaptive"});
}

WorkTag WorkOf(const DownstreamRequest& request) {
  const std::string* text = FindHeader(request.headers(), kWorkHeader);
  std::optional<WorkTag> work = ParseWorkTag(text == nullptr ? kDefaultWork : *text);
  return work ? *work : *ParseWorkTag(kDefaultWork);
}

int64_t DeadlineOf(const DownstreamRequest& request) {
  int64_t default_us = request.arrival_us() + kDefaultDeadlineMs * kUsPerMs;
  return DeadlineFromHeader(request, kDeadlineHeader).value_or(default_us);
}

}  // namespace

ServingProxy::ServingProxy(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                           Metrics& metrics, RandomSource&, ExternalProtocol protocol)
    : m_loop(loop),
      m_protocol(std::move(protocol)),
      m_name(settings.node.name),
      m_service(settings.node.service),
      m_metrics(metrics),
      m_admission(MakeAdmission(settings)),
      m_has_adaptive_concurrency(settings.calls.concurrency == "adaptive"),
      m_crash_detector(
          loop, settings.server.ip, static_cast<uint16_t>(settings.server.port),
          [this](uint64_t id) { return IsRunning(id); },
          [this](const ServerLifetime& server, const std::vector<RunningRequest>& running) {
            OnServerCrashed(server, running);
          }),
      m_orders(settings.node.name, incarnation),
      m_pool(loop, {.ip = settings.server.ip,
                    .port = static_cast<uint16_t>(settings.server.port),
                    .max_connections = static_cast<size_t>(settings.server.connections),
                    .receive_buffer_bytes = BudgetOf(settings).upstream_receive_bytes,
                    .allows_close_delimited_answers = m_protocol.allows_close_delimited_answers}),
      m_listener(loop, [this](std::unique_ptr<DownstreamRequest> r) { OnRequest(std::move(r)); }),
      m_ip(settings.listen.ip),
      m_configured_port(static_cast<uint16_t>(settings.listen.peer_port)),
      m_replies(loop),
      m_queue_timer(loop, [this] { ExpireQueued(); }),
      m_gate_timer(loop, [this] { RefuseQueue(); }),
      m_deferred(loop) {
  m_listener.SetPortLimits(BudgetOf(settings).peer);
  m_listener.SetMetrics(metrics, "peer");
  m_replies.SetEmptyHandler([this] { CheckIdle(); });
}

ServingProxy::~ServingProxy() = default;

tl::expected<void, ProxyError> ServingProxy::Listen() {
  auto listening = m_listener.Listen(m_ip, m_configured_port);
  if (!listening) return tl::make_unexpected(ProxyError{"peer port: " + listening.error()});
  return {};
}

void ServingProxy::SetMemory(std::shared_ptr<RequestMemory> memory) {
  m_memory = memory;
  m_listener.SetMemory(std::move(memory));
}

void ServingProxy::StartDrain(std::function<void()> idle) {
  m_draining = true;
  m_on_idle = std::move(idle);
  LOG(INFO) << "event=drain_started node=" << m_name << " calls=" << m_calls.size();
  m_deferred.Post([this] { CheckIdle(); });
}

void ServingProxy::OnRequest(std::unique_ptr<DownstreamRequest> request) {
  if (request->path().starts_with(kInternalPathPrefix)) {
    OnInternalPath(std::move(request));
    return;
  }
  OnServerStatement(*request);
  if (!TakeLocalBody(request)) return;
  const std::string* service = FindHeader(request->headers(), kServiceHeader);
  if (service != nullptr && *service != m_service) {
    RefuseRequest(std::move(request), kReasonWrongService, kDrainRetryAfterMs);
    return;
  }
  WorkTag work = WorkOf(*request);
  if (work.mode == RunMode::kKeyed) {
    OnOrder(std::move(request), work);
  } else if (m_draining) {
    RefuseRequest(std::move(request), kReasonDraining, kDrainRetryAfterMs);
  } else if (!m_gate.is_open) {
    RefuseRequest(std::move(request), m_gate.reason, kDrainRetryAfterMs);
  } else if (m_end_us && DeadlineOf(*request) > *m_end_us) {
    RefuseRequest(std::move(request), kReasonStopping, kDrainRetryAfterMs);
  } else if (auto retry_after_ms =
                 QuarantineRetryAfterMs(m_blame, *request, WorkspaceTagIn(request->headers()).name);
             retry_after_ms && !IsTrial(*request)) {
    RefuseRequest(std::move(request), kReasonQuarantined, *retry_after_ms);
  } else if (IsContainedHere(*request)) {
    RefuseRequest(std::move(request), kReasonContained, kDrainRetryAfterMs);
  } else {
    Admit(std::move(request), work, 0);
  }
}

void ServingProxy::Admit(std::unique_ptr<DownstreamRequest> request, const WorkTag& work,
                         uint64_t serial) {
  uint64_t id = m_next_id++;
  auto owned =
      std::make_unique<Call>(m_loop, std::move(request), [this, id] { OnTimer(*m_calls.at(id)); });
  Call& call = *owned;
  m_calls[id] = std::move(owned);
  call.id = id;
  call.serial = serial;
  call.work = work;
  call.request_id = RequestIdOf(*call.downstream);
  call.deadline_us = DeadlineOf(*call.downstream);
  call.timeout_us =
      std::max(call.deadline_us,
               DeadlineFromHeader(*call.downstream, kTimeoutHeader).value_or(call.deadline_us));
  if (!call.request_id.empty()) m_by_request_id[call.request_id] = &call;
  if (serial != 0) m_by_serial[serial] = &call;
  call.downstream->SetEndHandler([this, &call](bool written) { OnDownstreamEnd(call, written); });
  int64_t now_us = EventLoop::NowUs();
  if (m_containment != nullptr && m_containment->IsActive(now_us)) {
    call.fingerprint = FingerprintOf(*call.downstream);
  }
  bool is_offer = FindHeader(call.downstream->headers(), kOfferHeader) != nullptr;
  if (auto wait_ms = LinkWaitMs(call, is_offer)) {
    call.wait_ms = *wait_ms;
    Refuse(call, *wait_ms, is_offer ? kReasonBusy : kReasonOverload);
    return;
  }
  call.workspace = WorkspaceTagIn(call.downstream->headers());
  AdmissionDecision decision = Arrive(m_admission,
                                      {.id = id,
                                       .importance = work.importance,
                                       .is_short = work.is_short,
                                       .deadline_us = call.deadline_us,
                                       .arrival_us = call.downstream->arrival_us(),
                                       .objective_us = ObjectiveUs(*call.downstream),
                                       .workspace = call.workspace,
                                       .kind = work.name,
                                       .is_offer = is_offer},
                                      now_us);
  call.timer.Start(std::chrono::microseconds(std::max<int64_t>(0, call.deadline_us - now_us)));
  if (decision.is_above_share) m_metrics.GetCounter("serving_above_share_total").Add();
  Apply({.refuse = decision.evicted});
  if (decision.action == AdmissionDecision::Action::kRun) Run(call);
  if (decision.action == AdmissionDecision::Action::kQueue) ExpireQueued();
  if (decision.action == AdmissionDecision::Action::kRefuse) {
    call.wait_ms = decision.wait_ms;
    Refuse(call, decision.retry_after_ms, is_offer ? kReasonBusy : kReasonOverload);
  }
  ReportLoad();
}

void ServingProxy::Apply(const AdmissionChanges& changes) {
  for (const AdmissionRefusal& refusal : changes.refuse) {
    auto it = m_calls.find(refusal.id);
    if (it != m_calls.end()) Refuse(*it->second, refusal.retry_after_ms, kReasonOverload);
  }
  for (uint64_t id : changes.start) {
    auto it = m_calls.find(id);
    if (it != m_calls.end()) Run(*it->second);
  }
}

void ServingProxy::ExpireQueued() {
  Apply(Expire(m_admission, EventLoop::NowUs()));
  if (LoadOf(m_admission).queued > 0) m_queue_timer.Start(kQueueCheckPeriod);
  ReportLoad();
}

// Refuses a call of which no byte has been sent to the server.
void ServingProxy::Refuse(Call& call, int64_t retry_after_ms, std::string_view reason) {
  EndNotRun(call, retry_after_ms, reason);
  RemoveIfEnded(call);
}

// Ends a call that has not run, with a refusal.
void ServingProxy::EndNotRun(Call& call, int64_t retry_after_ms, std::string_view reason) {
  call.phase = Call::Phase::kEnded;
  call.timer.Cancel();
  if (call.is_keyed()) m_orders.ledger().FinishNotRun(call.serial);
  AnswerNotRun(call, reason, retry_after_ms);
}

void ServingProxy::RemoveIfEnded(Call& call) {
  if (call.phase != Call::Phase::kEnded || !call.downstream->has_ended()) return;
  auto by_id = m_by_request_id.find(call.request_id);
  if (by_id != m_by_request_id.end() && by_id->second == &call) m_by_request_id.erase(by_id);
  m_by_serial.erase(call.serial);
  // Deferred, since the call may be running one of its own callbacks.
  m_deferred.Post([this, id = call.id] {
    m_calls.erase(id);
    CheckIdle();
  });
}

void ServingProxy::CheckIdle() {
  if (!m_draining || !m_calls.empty() || !m_replies.empty() || !m_on_idle) return;
  LOG(INFO) << "event=drain_finished node=" << m_name;
  std::function<void()> idle = std::move(m_on_idle);
  m_on_idle = nullptr;
  idle();
}

}  // namespace guavatrail
