// How EntryProxy places a call: which serving node gets it next, and as what.
#include <event2/buffer.h>
#include <glog/logging.h>

#include <algorithm>

#include "deadline.h"
#include "entry_call.h"
#include "entry_proxy.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// A large answer goes to another data centre when it would wait longer than this in its own.
constexpr int64_t kLongLocalWaitMs = 600;
// A wait in another data centre counts for this much more than one in this.
constexpr double kRemoteWaitFactor = 1.3;
// Requests that must not be repeated take connections used within this time; see ServingProxy.
constexpr std::chrono::milliseconds kFreshIdle{1'000};
constexpr std::chrono::milliseconds kUsualIdle{60'000};

}  // namespace

// Places the call on a server that it has not been tried on.
void EntryProxy::StartNext(EntryCall& call) {
  bool is_repeatable = call.work.mode == RunMode::kRepeatable;
  // A large answer costs the links between data centres more than a short wait costs its caller.
  bool is_large = m_answer_sizes.TypicalBytes(call.work.name) > LinkPacer::kLargeBytes;
  bool is_offer = call.offers_made < kOffers || (is_large && WaitsLong(call));
  bool stays_local = is_large && call.offers_made < kOffers;
  const Endpoint* server = nullptr;
  if (is_offer || call.busy.empty()) {
    server = m_picker.Pick(call.service, call.tried, is_repeatable && call.tried.empty(),
                           stays_local, EventLoop::NowUs());
    // The data centre has no more servers of the service.
    if (server == nullptr && stays_local && WaitsLong(call)) {
      server = m_picker.Pick(call.service, call.tried, false, false, EventLoop::NowUs());
    }
  }
  if (server == nullptr) {
    server = LeastBusy(call);
    is_offer = false;
  }
  if (StartTry(call, server, is_offer)) {
    PlanHedge(call);
  } else {
    // All servers of the service are known to be leaving, or none is known.
    if (call.last_reason.empty()) call.last_reason = kReasonNoServer;
    AnswerFailed(call, kHttpBadGateway);
  }
}

// Whether a large answer had better come from another data centre than wait where it was offered.
bool EntryProxy::WaitsLong(const EntryCall& call) {
  if (call.busy.empty() || call.offers_made > kOffers) return false;
  return std::min_element(call.busy.begin(), call.busy.end())->first > kLongLocalWaitMs;
}

// The node at which the request would wait least, of those that had no free slot. A remote one must
// be clearly better.
const Endpoint* EntryProxy::LeastBusy(EntryCall& call) const {
  auto cost_of = [this](const std::pair<int64_t, std::string>& busy) {
    auto wait_ms = static_cast<double>(busy.first);
    return m_picker.IsLocal(busy.second) ? wait_ms : kRemoteWaitFactor * wait_ms;
  };
  while (!call.busy.empty()) {
    auto least =
        std::min_element(call.busy.begin(), call.busy.end(),
                         [&](const auto& a, const auto& b) { return cost_of(a) < cost_of(b); });
    const Endpoint* server = m_picker.endpoints().FindNode(least->second);
    call.busy.erase(least);
    if (server != nullptr && server->service == call.service) return server;
  }
  return nullptr;
}

bool EntryProxy::StartTry(EntryCall& call, const Endpoint* server, bool is_offer) {
  if (server == nullptr) return false;
  ++call.tries_started;
  if (is_offer) ++call.offers_made;
  call.tried.insert(server->node);
  auto owned = std::make_unique<EntryAttempt>();
  EntryAttempt& t = *owned;
  t.node = server->node;
  call.last_node = server->node;
  t.start_us = EventLoop::NowUs();
  call.tries.push_back(std::move(owned));
  m_picker.OnCallSent(t.node, t.start_us);
  std::string try_id = call.request_id + "." + std::to_string(call.tries_started);
  UpstreamRequest request = RequestFor(call, *server, is_offer);
  SetHeader(request.headers, kRequestIdHeader, try_id);
  t.peer = std::make_unique<PeerCall>(
      m_loop, m_peers.PoolOf(*server), std::move(request), try_id,
      PeerCall::Handlers{.head = [this, &call, &t](const AnswerHead& h) { OnHead(call, t, h); },
                         .data =
                             [&call, &t](evbuffer* data) {
                               if (t.is_refused) {
                                 evbuffer_drain(data, evbuffer_get_length(data));
                               } else {
                                 call.relay.Data(data);
                               }
                             },
                         .done = [this, &call, &t](ExchangeResult e) { OnDone(call, t, e); }});
  return true;
}

int64_t EntryProxy::ObjectiveUsOf(const EntryCall& call) const {
  return call.downstream->arrival_us() + call.objective_ms * kUsPerMs;
}

UpstreamRequest EntryProxy::RequestFor(const EntryCall& call, const Endpoint& server,
                                       bool is_offer) const {
  HeaderList headers = call.downstream->headers();
  RemoveNodeHeaders(headers);
  SetHeader(headers, kDeadlineHeader, FormatDeadlineMs(call.deadline_us, EventLoop::NowUs()));
  SetHeader(headers, kWorkHeader, FormatWorkTag(call.work));
  SetHeader(headers, kServiceHeader, call.service);
  if (is_offer) SetHeader(headers, kOfferHeader, "1");
  if (call.objective_ms > 0) {
    SetHeader(headers, kObjectiveHeader, FormatDeadlineMs(ObjectiveUsOf(call), EventLoop::NowUs()));
  }
  if (!m_protocol.caller_service_header.empty()) {
    SetHeader(headers, m_protocol.caller_service_header, m_service);
  }
  uint64_t incarnation = call.key ? call.key->incarnation : server.incarnation;
  SetHeader(headers, kIncarnationHeader, std::to_string(incarnation));
  return {.method = call.downstream->method(),
          .uri = call.downstream->target(),
          .headers = std::move(headers),
          .body = call.downstream->body(),
          .max_idle = call.work.mode == RunMode::kRepeatable ? kUsualIdle : kFreshIdle};
}

void EntryProxy::PlanHedge(EntryCall& call) {
  if (call.work.mode != RunMode::kRepeatable || call.tries_started > 1) return;
  std::optional<int64_t> delay_us =
      m_picker.HedgeDelayUs(call.service, call.work.name, EventLoop::NowUs());
  if (delay_us) call.hedge_timer.Start(std::chrono::microseconds(*delay_us));
}

void EntryProxy::Hedge(EntryCall& call) {
  if (call.is_answered || call.tries_started != 1 || call.attempts < 2) return;
  // A large answer sent twice would take from the links what others wait for.
  if (m_answer_sizes.TypicalBytes(call.work.name) > LinkPacer::kLargeBytes) return;
  int64_t now_us = EventLoop::NowUs();
  const Endpoint* server = m_picker.Pick(call.service, call.tried, false, false, now_us);
  if (server == nullptr || !m_picker.TakeHedge(call.service, now_us)) return;
  m_metrics.GetCounter("hedges_total", "kind=\"" + call.work.name + "\"").Add();
  LOG(INFO) << "event=hedge id=" << call.request_id << " kind=" << call.work.name
            << " first_node=" << call.last_node << " node=" << server->node
            << " ms=" << (now_us - call.downstream->arrival_us()) / kUsPerMs;
  // An offer: a hedge takes a free slot, and never a place in a queue.
  StartTry(call, server, true);
}

}  // namespace guavatrail
