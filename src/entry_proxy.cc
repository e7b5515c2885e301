#include "entry_proxy.h"

#include <event2/buffer.h>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cinttypes>

#include "deadline.h"
#include "entry_call.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// The serving node answers at the deadline; its answer needs this time to arrive.
constexpr int64_t kDeadlineGraceMs = 50;
constexpr int64_t kNoTableRetryAfterMs = 1'000;
constexpr int kServerError = 500;

bool IsSafeMethod(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_OPTIONS;
}

// A safe method of an order kind carries no order, but is not repeated either.
RunMode ModeOf(const WorkKind& kind, evhttp_cmd_type method) {
  if (kind.idempotent) return RunMode::kRepeatable;
  bool is_keyed = kind.key == KeyMode::kRequired && !IsSafeMethod(method);
  return is_keyed ? RunMode::kKeyed : RunMode::kOnce;
}

CallOutcome OutcomeOf(int status, bool is_late) {
  if (status == kHttpServiceUnavailable || status == kHttpTooManyRequests) {
    return CallOutcome::kRefused;
  }
  if (status >= kServerError) return CallOutcome::kUnknown;
  return is_late ? CallOutcome::kLate : CallOutcome::kGood;
}

// Whether a refusal came from the backend server, and not from the node beside it.
bool HasReachedServer(const AnswerHead& head) {
  std::string_view reason = HeaderValue(head.headers, kReasonHeader);
  return reason == kReasonServerFull || reason == kReasonWrongServer;
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
      m_view(std::move(view)),
      m_metrics(metrics),
      m_observer(std::move(observer)),
      m_picker(settings, random),
      m_peers(loop, settings.listen.ip),
      m_id_prefix(HexPrefix(settings.node.name, random.Next())),
      m_listener(loop, [this](std::unique_ptr<DownstreamRequest> r) { OnRequest(std::move(r)); }),
      m_replies(loop),
      m_protocol(std::move(protocol)),
      m_random(random),
      m_deferred(loop) {
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

void EntryProxy::RefuseAtOnce(std::unique_ptr<DownstreamRequest> request, int status,
                              std::string_view reason) {
  HeaderList headers = {{kOutcomeHeader, kOutcomeNotRun}, {kReasonHeader, std::string(reason)}};
  if (status == kHttpServiceUnavailable) SetRetryAfter(headers, kNoTableRetryAfterMs);
  HideNodeHeaders(headers);
  EchoRequestId(*request, headers);
  LOG(INFO) << "event=request_refused id=" << CallerIdOf(*request) << " path=" << request->path()
            << " status=" << status << " reason=" << reason;
  m_metrics.GetCounter("entry_refused_total", "reason=\"" + std::string(reason) + "\"").Add();
  m_replies.Reply(std::move(request), status, headers);
}

void EntryProxy::OnRequest(std::unique_ptr<DownstreamRequest> request) {
  if (m_draining) {
    RefuseAtOnce(std::move(request), kHttpServiceUnavailable, kReasonDraining);
    return;
  }
  std::shared_ptr<const ConfigTable> table = m_view.table();
  if (table == nullptr) {
    RefuseAtOnce(std::move(request), kHttpServiceUnavailable, "starting");
    return;
  }
  // The nodes' own paths are for nodes only.
  bool is_own_path = request->path().starts_with(kOwnPathPrefix);
  const Route* route = is_own_path ? nullptr : table->MatchRoute(request->path(), request->host());
  const WorkKind* kind = route == nullptr ? nullptr : table->FindWorkKind(route->work);
  if (kind == nullptr) {
    RefuseAtOnce(std::move(request), kHttpNotFound, "no_route");
    return;
  }
  int64_t deadline_ms = kind->deadline_ms;
  if (const std::string* text = FindHeader(request->headers(), m_protocol.deadline_header);
      text != nullptr) {
    std::optional<int64_t> remaining = ParseDeadlineMs(*text);
    if (!remaining) {
      RefuseAtOnce(std::move(request), kHttpBadRequest, "bad_deadline");
      return;
    }
    deadline_ms = std::min(deadline_ms, *remaining);
  }
  int64_t deadline_us = request->arrival_us() + deadline_ms * kUsPerMs;
  Begin(std::move(request), *route, *kind, table->version(), deadline_us);
}

void EntryProxy::Begin(std::unique_ptr<DownstreamRequest> request, const Route& route,
                       const WorkKind& kind, uint64_t version, int64_t deadline_us) {
  uint64_t id = m_next_id++;
  RunMode mode = ModeOf(kind, request->method());
  auto owned = std::make_unique<EntryCall>(
      m_loop, std::move(request), [this, id] { OnDeadline(*m_calls.at(id)); },
      [this, id] { Hedge(*m_calls.at(id)); });
  EntryCall& call = *owned;
  m_calls[id] = std::move(owned);
  call.id = id;
  call.request_id = m_id_prefix + std::to_string(id);
  call.service = m_shares.Choose(route, m_random);
  call.route = route.name;
  call.config_version = version;
  call.attempts = kind.attempts;
  call.objective_ms = kind.objective_ms;
  call.work = {kind.name, kind.importance, kind.is_short, mode};
  call.deadline_us = deadline_us;
  call.downstream->SetEndHandler([this, &call](bool written) { OnDownstreamEnd(call, written); });
  int64_t now_us = EventLoop::NowUs();
  m_picker.SetEndpoints(m_view.endpoints(), now_us);
  m_picker.OnCall(call.service);
  if (deadline_us <= now_us) {
    AnswerNotRun(call, kUsualRetryAfterMs);
    return;
  }
  call.deadline_timer.Start(
      std::chrono::microseconds(deadline_us - now_us + kDeadlineGraceMs * kUsPerMs));
  if (mode == RunMode::kKeyed) {
    BeginKeyed(call);
  } else {
    StartNext(call);
  }
}

void EntryProxy::OnHead(EntryCall& call, EntryAttempt& t, const AnswerHead& head) {
  int64_t now_us = EventLoop::NowUs();
  m_picker.OnAnswerHeaders(call.service, t.node, head.headers, now_us);
  t.is_refused = HasOutcome(head.headers, kOutcomeNotRun) || call.is_answered;
  if (t.is_refused) {
    int64_t retry_after_ms = HeaderNumber(head.headers, kRetryAfterMsHeader);
    if (retry_after_ms > 0) call.retry_after_ms = retry_after_ms;
    call.status = head.status;
    t.reached_server = HasReachedServer(head);
    std::string_view reason = HeaderValue(head.headers, kReasonHeader);
    call.last_reason = reason.empty() ? "refused" : reason;
    if (reason == kReasonOverload) ++call.queue_refusals;
    int64_t wait_ms = HeaderNumber(head.headers, kWaitMsHeader);
    if (wait_ms > 0) call.busy.emplace_back(wait_ms, t.node);
    // A node that is not draining may issue another key.
    bool is_draining = reason == kReasonDraining;
    if (call.work.mode == RunMode::kKeyed && !is_draining) call.tried.erase(t.node);
    return;
  }
  if ((IsShed(call, head) || IsBrokenOff(call, head)) && MoveElsewhere(call, t)) return;
  call.is_answered = true;
  call.last_reason.clear();
  if (HasOutcome(head.headers, kOutcomeUnknown)) {
    call.may_have_run = true;
    call.last_reason = head.status == kHttpGatewayTimeout ? "deadline" : "broken";
  }
  call.status = head.status;
  if (head.content_length) m_answer_sizes.Add(call.work.name, *head.content_length);
  call.is_late = now_us > call.deadline_us;
  call.deadline_timer.Cancel();
  call.hedge_timer.Cancel();
  EndOtherTries(call, &t);
  int64_t server_us = HeaderNumber(head.headers, kServerTimeHeader);
  if (HasOutcome(head.headers, kOutcomeAnswered) && server_us > 0) {
    m_picker.OnAnswer(call.service, call.work.name, t.node, server_us, now_us - t.start_us, now_us);
    int64_t waited_us = server_us + HeaderNumber(head.headers, kQueueTimeHeader);
    m_metrics.GetHistogram("call_added_us", "kind=\"" + call.work.name + "\"")
        .Record(now_us - call.downstream->arrival_us() - waited_us);
  }
  HeaderList headers = head.headers;
  HideNodeHeaders(headers);
  call.relay.Begin(t.peer->exchange(), head, headers);
}

// The server itself turned away a request that may be repeated.
bool EntryProxy::IsShed(const EntryCall& call, const AnswerHead& head) const {
  // Where servers say themselves that a request was not run, any other answer is theirs to give.
  return m_protocol.not_run_header.empty() && head.status == kHttpServiceUnavailable &&
         call.work.mode == RunMode::kRepeatable;
}

// The server broke off, and the request may run on another one as well.
bool EntryProxy::IsBrokenOff(const EntryCall& call, const AnswerHead& head) const {
  return HasOutcome(head.headers, kOutcomeUnknown) && head.status == kHttpBadGateway &&
         call.work.mode == RunMode::kRepeatable && call.servers_reached + 1 < call.attempts;
}

// Starts a try on another server in place of `t`, whose answer is then dropped.
bool EntryProxy::MoveElsewhere(EntryCall& call, EntryAttempt& t) {
  if (call.tries_started >= kMaxAttemptsPerCall) return false;
  const Endpoint* server =
      m_picker.Pick(call.service, call.tried, false, false, EventLoop::NowUs());
  if (server == nullptr || !m_picker.TakeRetry(call.service)) return false;
  t.is_refused = true;
  call.may_have_run = true;
  m_metrics.GetCounter("retries_total", "kind=\"" + call.work.name + "\"").Add();
  return StartTry(call, server, false);
}

void EntryProxy::EndTry(EntryCall& call, EntryAttempt& t) {
  t.is_ended = true;
  m_picker.OnCallEnded(t.node);
  // The try may be in one of its own handlers.
  m_deferred.Post([this, id = call.id, raw = &t] {
    auto it = m_calls.find(id);
    if (it == m_calls.end()) return;
    std::erase_if(it->second->tries, [raw](const auto& entry) { return entry.get() == raw; });
  });
}

void EntryProxy::EndOtherTries(EntryCall& call, const EntryAttempt* winner) {
  for (auto& t : call.tries) {
    if (t.get() == winner || t->is_ended) continue;
    call.may_have_run = call.may_have_run || t->peer->may_have_been_sent();
    t->peer.reset();
    EndTry(call, *t);
  }
}

void EntryProxy::OnDone(EntryCall& call, EntryAttempt& t, ExchangeResult end) {
  bool was_relayed = !t.is_refused && call.relay.has_begun();
  if (!t.is_refused && end != ExchangeResult::kComplete) {
    call.last_reason = t.peer->was_silent()              ? "silent"
                       : end == ExchangeResult::kNotSent ? "not_sent"
                                                         : "broken";
  }
  if (t.peer->was_silent()) m_metrics.GetCounter("silent_connections_total").Add();
  EndTry(call, t);
  if (end != ExchangeResult::kComplete)
    m_picker.OnFailure(call.service, t.node, EventLoop::NowUs());
  if (was_relayed) {
    bool whole = end == ExchangeResult::kComplete;
    Observe(call, whole ? OutcomeOf(call.status, call.is_late) : CallOutcome::kIncomplete);
    call.relay.End(end);
    return;
  }
  if (call.is_answered) return;
  if (t.reached_server && end != ExchangeResult::kNotSent) ++call.servers_reached;
  if (t.is_refused) {
    OnRefused(call);
    return;
  }
  call.may_have_run = call.may_have_run || end == ExchangeResult::kBroken;
  if (call.work.mode == RunMode::kKeyed) {
    FenceOrder(call);
    return;
  }
  Retry(call);
}

// Sends the call to another server, where that cannot make it run twice.
void EntryProxy::Retry(EntryCall& call) {
  bool is_other_running = std::any_of(call.tries.begin(), call.tries.end(),
                                      [](const auto& other) { return !other->is_ended; });
  if (is_other_running) return;
  if (MayTryAgain(call)) {
    m_metrics.GetCounter("retries_total", "kind=\"" + call.work.name + "\"").Add();
    StartNext(call);
  } else {
    AnswerFailed(call, kHttpBadGateway);
  }
}

// A try that no server saw costs no server anything; any other is taken from the budget.
bool EntryProxy::MayTryAgain(EntryCall& call) {
  bool is_safe = call.work.mode == RunMode::kRepeatable || !call.may_have_run;
  if (!is_safe || call.tries_started >= kMaxAttemptsPerCall) return false;
  if (call.deadline_us <= EventLoop::NowUs()) return false;
  if (call.queue_refusals >= kMaxQueueRefusals) return false;
  if (call.servers_reached == 0) return true;
  return call.servers_reached < call.attempts && m_picker.TakeRetry(call.service);
}

// A serving node did not run the request, and for a keyed order never will.
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

// The serving node has not answered in time, so it is hung or cannot be reached.
void EntryProxy::OnDeadline(EntryCall& call) {
  if (call.is_answered) return;
  call.last_reason = "deadline";
  bool was_sent = !call.tries.empty();
  EndOtherTries(call, nullptr);
  if (call.work.mode == RunMode::kKeyed && was_sent) {
    FenceOrder(call);
  } else {
    AnswerFailed(call, kHttpGatewayTimeout);
  }
}

void EntryProxy::OnDownstreamEnd(EntryCall& call, bool written) {
  // A caller that has left cancels the work; a keyed order runs on at its serving node.
  if (!written && !call.is_observed) {
    call.last_reason = "caller_left";
    LogCall(call, CallOutcome::kIncomplete);
    call.is_observed = true;
  }
  call.is_answered = true;
  EndOtherTries(call, nullptr);
  Remove(call);
}

void EntryProxy::Remove(EntryCall& call) {
  if (call.is_removed) return;
  call.is_removed = true;
  call.deadline_timer.Cancel();
  call.hedge_timer.Cancel();
  // The call may be in one of its own callbacks.
  m_deferred.Post([this, id = call.id] {
    m_calls.erase(id);
    CheckIdle();
  });
}

}  // namespace guavatrail
