// The part of EntryProxy that places calls: it selects the serving node of each attempt, and sends
// it as an offer, a regular request or a hedge.
#include <event2/buffer.h>
#include <glog/logging.h>

#include <algorithm>

#include "deadline.h"
#include "entry_call.h"
#include "entry_proxy.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// A call with a large answer is placed in another data centre if it would wait longer than this
// in the local one.
constexpr int64_t kLongLocalWaitMs = 600;
// Weight of a wait in another data centre relative to a wait in the local one.
constexpr double kRemoteWaitFactor = 1.3;
// Requests that must not be repeated reuse only connections idle for less than this time, since the
// peer may close an idle connection at the moment the request is written.
constexpr std::chrono::milliseconds kNonRepeatableMaxIdle{1'000};
constexpr std::chrono::milliseconds kDefaultMaxIdle{60'000};

}  // namespace

// Starts an attempt on a server that the call has not been sent to, or on the least busy one that
// has refused an offer.
void EntryProxy::StartNextAttempt(EntryCall& call) {
  bool is_repeatable = call.work.mode == RunMode::kRepeatable;
  // Large answers stay in the data centre: they cost the links between data centres more than a
  // short wait costs the caller.
  bool is_large = m_answer_sizes.TypicalBytes(call.work.name) > LinkPacer::kLargeBytes;
  bool is_offer = call.offers_made < kMaxOffers || (is_large && HasLongWait(call));
  bool stays_local = is_large && call.offers_made < kMaxOffers;
  const Endpoint* server = nullptr;
  if (is_offer || call.busy_nodes.empty()) {
    server = m_picker.Pick(call.service, call.excluded_nodes,
                           is_repeatable && call.excluded_nodes.empty(), stays_local,
                           EventLoop::NowUs());
    // The data centre has no other server of the service.
    if (server == nullptr && stays_local && HasLongWait(call)) {
      server = m_picker.Pick(call.service, call.excluded_nodes, false, false, EventLoop::NowUs());
    }
  }
  if (server == nullptr) {
    server = TakeLeastBusy(call);
    is_offer = false;
  }
  if (StartAttempt(call, server, is_offer)) {
    ScheduleHedge(call);
  } else {
    // No server of the service is known, or all known ones are leaving.
    if (call.last_reason.empty()) call.last_reason = kReasonNoServer;
    AnswerFailed(call, kHttpBadGateway);
  }
}

// Whether the call would wait long at all nodes that it was offered to, so that a large answer
// should come from another data centre.
bool EntryProxy::HasLongWait(const EntryCall& call) {
  if (call.busy_nodes.empty() || call.offers_made > kMaxOffers) return false;
  return std::min_element(call.busy_nodes.begin(), call.busy_nodes.end())->first > kLongLocalWaitMs;
}

// Removes and returns the node with the shortest wait of those that refused an offer. Waits in
// other data centres are weighted by kRemoteWaitFactor.
const Endpoint* EntryProxy::TakeLeastBusy(EntryCall& call) const {
  auto cost_of = [this](const std::pair<int64_t, std::string>& busy) {
    auto wait_ms = static_cast<double>(busy.first);
    return m_picker.IsLocal(busy.second) ? wait_ms : kRemoteWaitFactor * wait_ms;
  };
  while (!call.busy_nodes.empty()) {
    auto least =
        std::min_element(call.busy_nodes.begin(), call.busy_nodes.end(),
                         [&](const auto& a, const auto& b) { return cost_of(a) < cost_of(b); });
    const Endpoint* server = m_picker.endpoints().FindNode(least->second);
    call.busy_nodes.erase(least);
    if (server != nullptr && server->service == call.service) return server;
  }
  return nullptr;
}

bool EntryProxy::StartAttempt(EntryCall& call, const Endpoint* server, bool is_offer) {
  if (server == nullptr) return false;
  ++call.attempts_started;
  if (is_offer) ++call.offers_made;
  call.excluded_nodes.insert(server->node);
  auto owned = std::make_unique<EntryAttempt>();
  EntryAttempt& attempt = *owned;
  attempt.node = server->node;
  call.last_node = server->node;
  attempt.start_us = EventLoop::NowUs();
  call.active_attempts.push_back(std::move(owned));
  m_picker.OnCallSent(attempt.node, attempt.start_us);
  std::string attempt_id = call.request_id + "." + std::to_string(call.attempts_started);
  UpstreamRequest request = RequestFor(call, *server, is_offer);
  SetHeader(request.headers, kRequestIdHeader, attempt_id);
  attempt.peer = std::make_unique<PeerCall>(
      m_loop, m_peers.PoolOf(*server), std::move(request), attempt_id,
      PeerCall::Handlers{
          .head = [this, &call, &attempt](const AnswerHead& h) { OnHead(call, attempt, h); },
          .data =
              [&call, &attempt](evbuffer* data) {
                if (attempt.is_refused) {
                  evbuffer_drain(data, evbuffer_get_length(data));
                } else {
                  call.relay.Data(data);
                }
              },
          .done = [this, &call, &attempt](ExchangeResult e) { OnDone(call, attempt, e); }});
  return true;
}

int64_t EntryProxy::ObjectiveUsOf(const EntryCall& call) const {
  return call.downstream->arrival_us() + call.objective_ms * kUsPerMs;
}

// Replaces what the caller sent: its API key is a secret between it and the mesh, and it may not
// name a workspace.
void EntryProxy::SetWorkspaceHeaders(const EntryCall& call, HeaderList& headers) const {
  if (!call.requires_api_keys && !m_removes_identity_headers) return;
  RemoveHeader(headers, m_protocol.api_key_header);
  RemoveHeader(headers, m_protocol.workspace_header);
  if (call.workspace.name.empty()) return;
  SetHeader(headers, m_protocol.workspace_header, call.workspace.name);
  SetHeader(headers, kWorkspaceHeader, FormatWorkspaceTag(call.workspace));
}

// Checks the address as well, since an earlier process of the same name may still run elsewhere.
bool EntryProxy::IsOwnNode(const Endpoint& server) const {
  return server.node == m_name && server.ip == m_advertised_ip && server.peer_port == m_peer_port;
}

UpstreamRequest EntryProxy::RequestFor(const EntryCall& call, const Endpoint& server,
                                       bool is_offer) const {
  HeaderList headers = call.downstream->headers();
  RemoveNodeHeaders(headers);
  SetHeader(headers, kDeadlineHeader, FormatDeadlineMs(call.deadline_us, EventLoop::NowUs()));
  SetHeader(headers, kTimeoutHeader, FormatDeadlineMs(call.timeout_us, EventLoop::NowUs()));
  SetHeader(headers, kWorkHeader, FormatWorkTag(call.work));
  SetHeader(headers, kServiceHeader, call.service);
  if (is_offer) SetHeader(headers, kOfferHeader, "1");
  if (call.is_trial) SetHeader(headers, kTrialHeader, "1");
  std::string_view statement = m_picker.ServerStatementOf(server.node);
  if (!statement.empty()) SetHeader(headers, kServerStatementHeader, statement);
  if (call.objective_ms > 0) {
    SetHeader(headers, kObjectiveHeader, FormatDeadlineMs(ObjectiveUsOf(call), EventLoop::NowUs()));
  }
  SetWorkspaceHeaders(call, headers);
  if (!m_protocol.caller_service_header.empty()) {
    SetHeader(headers, m_protocol.caller_service_header, m_service);
  }
  uint64_t incarnation = call.key ? call.key->incarnation : server.incarnation;
  SetHeader(headers, kIncarnationHeader, std::to_string(incarnation));
  SharedBody body = call.downstream->body();
  if (m_local_bodies != nullptr && body->size() >= LocalBodies::kMinBytes && IsOwnNode(server)) {
    SetHeader(headers, kLocalBodyHeader, m_local_bodies->Offer(body));
    body = nullptr;
  }
  return {
      .method = call.downstream->method(),
      .uri = call.downstream->target(),
      .headers = std::move(headers),
      .body = std::move(body),
      .max_idle = call.work.mode == RunMode::kRepeatable ? kDefaultMaxIdle : kNonRepeatableMaxIdle};
}

void EntryProxy::ScheduleHedge(EntryCall& call) {
  if (call.work.mode != RunMode::kRepeatable || call.attempts_started > 1) return;
  std::optional<int64_t> delay_us =
      m_picker.HedgeDelayUs(call.service, call.work.name, EventLoop::NowUs());
  if (delay_us) call.hedge_timer.Start(std::chrono::microseconds(*delay_us));
}

void EntryProxy::SendHedge(EntryCall& call) {
  if (call.is_answered || call.attempts_started != 1 || call.max_attempts < 2) return;
  // A large answer sent twice would take link bandwidth from other answers.
  if (m_answer_sizes.TypicalBytes(call.work.name) > LinkPacer::kLargeBytes) return;
  int64_t now_us = EventLoop::NowUs();
  const Endpoint* server = m_picker.Pick(call.service, call.excluded_nodes, false, false, now_us);
  if (server == nullptr || !m_picker.TakeHedge(call.service, now_us)) return;
  m_metrics.GetCounter("hedges_total", "kind=\"" + call.work.name + "\"").Add();
  LOG(INFO) << "event=hedge id=" << call.request_id << " kind=" << call.work.name
            << " first_node=" << call.last_node << " node=" << server->node
            << " ms=" << (now_us - call.downstream->arrival_us()) / kUsPerMs;
  // Sent as an offer, so that a hedge uses only a free slot and never a place in a queue.
  StartAttempt(call, server, true);
}

}  // namespace guavatrail
