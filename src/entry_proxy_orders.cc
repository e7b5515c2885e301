// The part of EntryProxy that forwards keyed orders.
#include "entry_call.h"
#include "entry_proxy.h"

namespace guavatrail {

namespace {

constexpr std::chrono::milliseconds kFenceTimeout{500};
constexpr std::chrono::milliseconds kKeyTimeout{1'000};

}  // namespace

void EntryProxy::StartKeyedCall(EntryCall& call) {
  const std::string* text = FindHeader(call.downstream->headers(), kOrderKeyHeader);
  call.key = text == nullptr ? std::nullopt : ParseOrderKey(*text);
  // A key that no node can have issued belongs to no order, so nothing can have run under it.
  if (!call.key) {
    FetchKey(call);
    return;
  }
  const Endpoint* server = m_picker.endpoints().FindNode(call.key->node);
  if (server == nullptr) {
    AnswerUnknown(call, kHttpGatewayTimeout);
  } else if (server->service != call.service) {
    // The key belongs to an order of another service.
    FetchKey(call);
  } else {
    StartAttempt(call, server, false);
  }
}

// Responds with a new key, under which the caller can send the order.
void EntryProxy::FetchKey(EntryCall& call) {
  const Endpoint* server =
      m_picker.Pick(call.service, call.excluded_nodes, false, false, EventLoop::NowUs());
  if (server == nullptr || call.attempts_started >= kMaxAttemptsPerCall) {
    AnswerNotRun(call, call.retry_after_ms);
    return;
  }
  ++call.attempts_started;
  call.excluded_nodes.insert(server->node);
  call.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(*server),
      UpstreamRequest{.method = EVHTTP_REQ_POST, .uri = kOrderKeyPath}, kKeyTimeout,
      [this, &call, node = server->node](const std::optional<HttpReply>& reply) {
        OnKeyReply(call, node, reply);
      });
}

void EntryProxy::OnKeyReply(EntryCall& call, const std::string& node,
                            const std::optional<HttpReply>& reply) {
  if (call.is_answered) return;
  if (reply) m_picker.OnAnswerHeaders(call.service, node, reply->headers, EventLoop::NowUs());
  const std::string* key = reply ? FindHeader(reply->headers, kOrderKeyHeader) : nullptr;
  if (key == nullptr) {
    FetchKey(call);
    return;
  }
  call.is_recorded = true;
  HeaderList headers = {{kOutcomeHeader, kOutcomeNotRun}, {kOrderKeyHeader, *key}};
  Answer(call, kHttpPreconditionRequired, std::move(headers), CallOutcome::kGood);
}

// Handles an order that may have run or may still run. Only the node that the key is bound to knows
// this, and the order can be reported as not run only after that node has fenced the key.
void EntryProxy::FenceOrder(EntryCall& call) {
  const Endpoint* server = m_picker.endpoints().FindNode(call.key->node);
  if (server == nullptr) {
    AnswerUnknown(call, kHttpGatewayTimeout);
    return;
  }
  call.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(*server),
      UpstreamRequest{.method = EVHTTP_REQ_POST,
                      .uri = kFencePath,
                      .headers = {{kOrderKeyHeader, ToString(*call.key)}},
                      .max_idle = std::chrono::milliseconds(0)},
      kFenceTimeout,
      [this, &call](const std::optional<HttpReply>& reply) { OnFenceReply(call, reply); });
}

void EntryProxy::OnFenceReply(EntryCall& call, const std::optional<HttpReply>& reply) {
  if (call.is_answered) return;
  bool not_run = reply && reply->status == kHttpOk && HasOutcome(reply->headers, kOutcomeNotRun);
  if (not_run) {
    AnswerNotRun(call, call.retry_after_ms);
  } else {
    AnswerUnknown(call, kHttpGatewayTimeout);
  }
}

}  // namespace guavatrail
