#include "entry_proxy.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cinttypes>

#include "deadline.h"
#include "entry_call.h"
#include "percent_encoding.h"
#include "port_budget.h"
#include "request_fingerprint.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// Time after the deadline for the arrival of an answer that a serving node sends at the deadline.
constexpr int64_t kDeadlineGraceMs = 50;
// Retry-After of requests that are refused because this node is starting or draining, or because no
// service of their route has a weight.
constexpr int64_t kNoTableRetryAfterMs = 1'000;

bool IsSafeMethod(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_OPTIONS;
}

// A request with a safe method for an order kind carries no order, so it needs no key; but it is
// not repeated either.
RunMode ModeOf(const WorkKind& kind, evhttp_cmd_type method) {
  if (kind.idempotent) return RunMode::kRepeatable;
  bool is_keyed = kind.key == KeyMode::kRequired && !IsSafeMethod(method);
  return is_keyed ? RunMode::kKeyed : RunMode::kOnce;
}

// Routes of several hosts may have the same label.
std::string LogNameOf(const Route& route) {
  return route.label.empty() ? route.name : route.label + "@" + PercentEncode(route.host);
}

std::string HexPrefix(std::string_view node, uint64_t random) {
  std::array<char, 20> hex{};
  std::snprintf(hex.data(), hex.size(), "%016" PRIx64, random);
  return std::string(node) + "-" + hex.data() + "-";
}

}  // namespace

EntryProxy::EntryProxy(EventLoop& loop, const Settings& settings, MeshView view, Metrics& metrics,
                       RandomSource& random, CallObserver observer, ExternalProtocol protocol)
    : m_loop(loop),
      m_name(settings.node.name),
      m_service(settings.node.service),
      m_ip(settings.listen.ip),
      m_configured_port(static_cast<uint16_t>(settings.listen.caller_port)),
      m_advertised_ip(AdvertisedIp(settings)),
      m_peer_port(static_cast<uint16_t>(settings.listen.peer_port)),
      m_view(std::move(view)),
      m_metrics(metrics),
      m_observer(std::move(observer)),
      m_picker(settings, random),
      m_peers(loop, settings.listen.ip, BudgetOf(settings).upstream_receive_bytes),
      m_id_prefix(HexPrefix(settings.node.name, random.Next())),
      m_listener(loop, [this](std::unique_ptr<DownstreamRequest> r) { OnRequest(std::move(r)); }),
      m_replies(loop),
      m_protocol(std::move(protocol)),
      m_random(random),
      m_quota_refusals(metrics),
      m_deferred(loop) {
  m_listener.SetPortLimits(BudgetOf(settings).caller);
  m_listener.SetMetrics(metrics, "caller");
  m_listener.SetOverlapPredicate([this](const RequestTarget& t) { return MayOverlap(t); });
  m_replies.SetEmptyHandler([this] { CheckIdle(); });
}

EntryProxy::~EntryProxy() = default;

tl::expected<void, ProxyError> EntryProxy::Listen() {
  auto listening = m_listener.Listen(m_ip, m_configured_port);
  if (!listening) return tl::make_unexpected(ProxyError{"caller port: " + listening.error()});
  return {};
}

void EntryProxy::StartDrain(std::function<void()> idle) {
  m_draining = true;
  m_on_idle = std::move(idle);
  m_deferred.Post([this] { CheckIdle(); });
}

void EntryProxy::CheckIdle() {
  if (!m_draining || !is_idle() || !m_on_idle) return;
  std::function<void()> idle = std::move(m_on_idle);
  m_on_idle = nullptr;
  idle();
}

void EntryProxy::SetLimits(const CallerLimits& limits) {
  HttpLimits http;
  if (limits.max_head_bytes > 0) http.max_head_bytes = static_cast<size_t>(limits.max_head_bytes);
  if (limits.max_body_bytes > 0) http.max_body_bytes = static_cast<size_t>(limits.max_body_bytes);
  if (limits.read_timeout_ms > 0) {
    http.read_timeout = std::chrono::milliseconds(limits.read_timeout_ms);
  }
  if (limits.idle_timeout_ms > 0) {
    http.idle_timeout = std::chrono::milliseconds(limits.idle_timeout_ms);
  }
  m_listener.SetLimits(http);
}

void EntryProxy::RefuseRequest(std::unique_ptr<DownstreamRequest> request, int status,
                               std::string_view reason, int64_t retry_after_ms) {
  HeaderList headers = {{kOutcomeHeader, kOutcomeNotRun}, {kReasonHeader, std::string(reason)}};
  bool may_try_later = status == kHttpServiceUnavailable || status == kHttpTooManyRequests;
  if (may_try_later) SetRetryAfterFor(headers, retry_after_ms);
  FilterNodeHeaders(headers);
  EchoRequestId(*request, headers);
  LOG(INFO) << "event=request_refused id=" << CallerRequestId(*request)
            << " path=" << request->path() << " status=" << status << " reason=" << reason;
  m_metrics.GetCounter("entry_refused_total", "reason=\"" + std::string(reason) + "\"").Add();
  m_replies.Reply(std::move(request), status, headers);
}

// Whether a request is idempotent under the configuration in force.
bool EntryProxy::MayOverlap(const RequestTarget& target) const {
  std::shared_ptr<const ConfigTable> table = m_view.table();
  if (m_draining || table == nullptr || target.path.starts_with(kInternalPathPrefix)) return false;
  const Route* route = table->MatchRoute(target.path, target.authority);
  const WorkKind* kind = route == nullptr ? nullptr : table->FindWorkKind(route->work);
  return kind != nullptr && ModeOf(*kind, target.method) == RunMode::kRepeatable;
}

void EntryProxy::OnRequest(std::unique_ptr<DownstreamRequest> request) {
  if (size_t ahead = request->requests_ahead(); ahead > 0) {
    m_metrics.GetCounter("pipelined_requests_total", "ahead=\"" + std::to_string(ahead) + "\"")
        .Add();
  }
  if (m_draining) {
    RefuseRequest(std::move(request), kHttpServiceUnavailable, kReasonDraining,
                  kNoTableRetryAfterMs);
    return;
  }
  std::shared_ptr<const ConfigTable> table = m_view.table();
  if (table == nullptr) {
    RefuseRequest(std::move(request), kHttpServiceUnavailable, "starting", kNoTableRetryAfterMs);
    return;
  }
  // Internal paths are not accessible to callers.
  bool is_internal_path = request->path().starts_with(kInternalPathPrefix);
  const Route* route =
      is_internal_path ? nullptr : table->MatchRoute(request->path(), request->authority());
  const WorkKind* kind = route == nullptr ? nullptr : table->FindWorkKind(route->work);
  if (kind == nullptr) {
    RefuseRequest(std::move(request), kHttpNotFound, "no_route");
    return;
  }
  auto workspace = IdentifyCaller(*table, *route, request->headers(), m_protocol.api_key_header);
  if (!workspace) {
    RefuseRequest(std::move(request), kHttpUnauthorized, ToString(workspace.error()));
    return;
  }
  if (!ShareChooser::HasService(*route)) {
    RefuseRequest(std::move(request), kHttpServiceUnavailable, "no_weight", kNoTableRetryAfterMs);
    return;
  }
  int64_t deadline_ms = kind->deadline_ms;
  if (const std::string* text = FindHeader(request->headers(), m_protocol.deadline_header);
      text != nullptr) {
    std::optional<int64_t> remaining = ParseDeadlineMs(*text);
    if (!remaining) {
      RefuseRequest(std::move(request), kHttpBadRequest, "bad_deadline");
      return;
    }
    deadline_ms = std::min(deadline_ms, *remaining);
  }
  int64_t deadline_us = request->arrival_us() + deadline_ms * kUsPerMs;
  if (m_end_us && deadline_us + kDeadlineGraceMs * kUsPerMs > *m_end_us) {
    RefuseRequest(std::move(request), kHttpServiceUnavailable, kReasonStopping,
                  kNoTableRetryAfterMs);
    return;
  }
  std::string trial_fingerprint;
  if (IsQuarantined(request, *workspace, trial_fingerprint)) return;
  if (IsAboveQuota(request, *workspace)) {
    if (!trial_fingerprint.empty()) m_trials->OnNotRun(trial_fingerprint, EventLoop::NowUs());
    return;
  }
  StartCall(std::move(request), {.table = *table,
                                 .route = *route,
                                 .kind = *kind,
                                 .workspace = *workspace,
                                 .deadline_us = deadline_us,
                                 .trial_fingerprint = std::move(trial_fingerprint)});
}

// Whether a request in quarantine is to run as a trial. If not, it may make this node claim one.
bool EntryProxy::IsTrial(const std::string& fingerprint) {
  if (m_trials == nullptr) return false;
  switch (m_trials->OnRequest(fingerprint, EventLoop::NowUs())) {
    case QuarantineTrials::Decision::kRefuse:
      return false;
    case QuarantineTrials::Decision::kClaim:
      m_claim_trial(fingerprint);
      return false;
    case QuarantineTrials::Decision::kRun:
      return true;
  }
  return false;
}

// Refuses the request if it is in quarantine. Sets `trial_fingerprint` instead if it is to run as a
// trial.
bool EntryProxy::IsQuarantined(std::unique_ptr<DownstreamRequest>& request,
                               const Workspace* workspace, std::string& trial_fingerprint) {
  if (m_blame == nullptr || m_blame->empty()) return false;
  std::string fingerprint = QuarantineFingerprintOf(*m_blame, *request, TagOf(workspace).name);
  auto retry_after_ms = m_blame->RetryAfterMs(fingerprint, EventLoop::NowUs());
  if (!retry_after_ms) return false;
  if (IsTrial(fingerprint)) {
    trial_fingerprint = std::move(fingerprint);
    return false;
  }
  LOG(INFO) << "event=request_in_quarantine id=" << CallerRequestId(*request)
            << " fingerprint=" << fingerprint << " retry_after_ms=" << *retry_after_ms;
  RefuseRequest(std::move(request), kHttpServiceUnavailable, kReasonQuarantined, *retry_after_ms);
  return true;
}

// Refuses the request if its workspace is above its quota.
bool EntryProxy::IsAboveQuota(std::unique_ptr<DownstreamRequest>& request,
                              const Workspace* workspace) {
  if (m_quotas == nullptr || workspace == nullptr) return false;
  int64_t now_us = EventLoop::NowUs();
  auto admitted = m_quotas->Admit(workspace->name, now_us);
  if (admitted) return false;
  int64_t retry_after_ms = admitted.error().retry_after_ms;
  m_quota_refusals.Record(workspace->name, retry_after_ms, now_us);
  RefuseRequest(std::move(request), kHttpTooManyRequests, kReasonQuota, retry_after_ms);
  return true;
}

void EntryProxy::StartCall(std::unique_ptr<DownstreamRequest> request, const CallTerms& terms) {
  const WorkKind& kind = terms.kind;
  uint64_t id = m_next_id++;
  RunMode mode = ModeOf(kind, request->method());
  auto owned = std::make_unique<EntryCall>(
      m_loop, std::move(request), [this, id] { OnDeadline(*m_calls.at(id)); },
      [this, id] { SendHedge(*m_calls.at(id)); });
  EntryCall& call = *owned;
  m_calls[id] = std::move(owned);
  call.id = id;
  call.request_id = m_id_prefix + std::to_string(id);
  call.service = m_shares.Choose(terms.route, m_random);
  call.route = LogNameOf(terms.route);
  call.config_version = terms.table.version();
  call.is_trial = !terms.trial_fingerprint.empty();
  call.max_attempts = call.is_trial ? 1 : kind.attempts;
  call.objective_ms = kind.objective_ms;
  call.work = {kind.name, kind.importance, kind.is_short, mode};
  call.workspace = TagOf(terms.workspace);
  call.requires_api_keys = terms.table.requires_api_keys();
  call.deadline_us = terms.deadline_us;
  call.timeout_us = call.downstream->arrival_us() + kind.deadline_ms * kUsPerMs;
  call.downstream->SetEndHandler([this, &call](bool written) { OnDownstreamEnd(call, written); });
  int64_t now_us = EventLoop::NowUs();
  m_picker.SetEndpoints(m_view.endpoints(), now_us);
  m_picker.OnCall(call.service);
  LimitToShard(call);
  if (call.is_trial) StartTrial(call, terms.trial_fingerprint);
  if (call.deadline_us <= now_us) {
    AnswerNotRun(call, kDefaultRetryAfterMs);
    return;
  }
  StartDeadlineTimer(call, call.deadline_us);
  if (mode == RunMode::kKeyed) {
    StartKeyedCall(call);
  } else {
    StartNextAttempt(call);
  }
}

void EntryProxy::StartTrial(EntryCall& call, const std::string& fingerprint) {
  call.fingerprint = fingerprint;
  LOG(WARNING) << "event=quarantine_trial fingerprint=" << call.fingerprint
               << " id=" << CallerRequestId(*call.downstream) << " try_id=" << call.request_id;
  m_metrics.GetCounter("quarantine_trials_total").Add();
}

void EntryProxy::StartDeadlineTimer(EntryCall& call, int64_t end_us) {
  int64_t left_us = std::max<int64_t>(0, end_us - EventLoop::NowUs());
  call.deadline_timer.Start(std::chrono::microseconds(left_us + kDeadlineGraceMs * kUsPerMs));
}

void EntryProxy::LimitToShard(EntryCall& call) {
  int64_t now_us = EventLoop::NowUs();
  if (m_containment == nullptr || !m_containment->IsActive(now_us)) return;
  call.fingerprint = FingerprintOf(*call.downstream);
  if (!m_containment->IsContained(call.fingerprint, now_us)) return;
  Shard shard = ShardOf(call.fingerprint, m_picker.endpoints(), call.service);
  call.excluded_nodes.insert(shard.other_nodes.begin(), shard.other_nodes.end());
}

void EntryProxy::OnDownstreamEnd(EntryCall& call, bool written) {
  // A disconnected caller cancels the call, except for a keyed order, which its serving node
  // continues to run.
  if (!written && !call.is_recorded) {
    call.last_reason = kReasonCallerLeft;
    LogCall(call, CallOutcome::kIncomplete);
    call.is_recorded = true;
  }
  call.is_answered = true;
  CancelOtherAttempts(call, nullptr);
  Remove(call);
}

void EntryProxy::Remove(EntryCall& call) {
  if (call.is_removed) return;
  call.is_removed = true;
  call.deadline_timer.Cancel();
  call.hedge_timer.Cancel();
  // Deferred, since the call may be running one of its own callbacks.
  m_deferred.Post([this, id = call.id] {
    m_calls.erase(id);
    CheckIdle();
  });
}

}  // namespace guavatrail
