#include "suspect_relay.h"

#include <glog/logging.h>

#include "suspect_codec.h"

namespace guavatrail {

namespace {

constexpr std::chrono::milliseconds kPeriod{1'000};
constexpr std::chrono::milliseconds kRequestTimeout{1'000};
// Processes whose starts are closer than this may have been started together.
constexpr std::chrono::milliseconds kMinAgeDifference{1'000};
constexpr int64_t kUsPerMs = 1000;
constexpr size_t kMaxReplyBytes = 262'144;

}  // namespace

SuspectRelay::SuspectRelay(EventLoop& loop, const NodeSettings& node, PeerClient& peers,
                           CrashBlame& blame, CrashContainment& containment, Metrics& metrics,
                           RandomSource& random, Handler handler)
    : m_loop(loop),
      m_name(node.name),
      m_service(node.service),
      m_peers(peers),
      m_blame(blame),
      m_containment(containment),
      m_random(random),
      m_handler(std::move(handler)),
      m_endpoints(std::make_shared<const EndpointList>()),
      m_replies(loop),
      m_sent(metrics.GetCounter("suspect_messages_total")),
      m_failures(metrics.GetCounter("suspect_message_failures_total")),
      m_containment_gauge(metrics.GetGauge("crash_containment_active")),
      m_timer(loop, [this] { OnTimer(); }) {
  m_timer.Start(kPeriod);
}

void SuspectRelay::SetEndpoints(std::shared_ptr<const EndpointList> endpoints) {
  m_endpoints = std::move(endpoints);
}

std::vector<const Endpoint*> SuspectRelay::OtherNodes(std::string_view service) const {
  std::vector<const Endpoint*> nodes;
  for (const Endpoint& endpoint : m_endpoints->all()) {
    bool is_wanted = service.empty() || endpoint.service == service;
    if (is_wanted && endpoint.node != m_name) nodes.push_back(&endpoint);
  }
  return nodes;
}

const Endpoint* SuspectRelay::RandomOf(std::span<const Endpoint* const> nodes) {
  return nodes.empty() ? nullptr : nodes[m_random.Below(nodes.size())];
}

void SuspectRelay::Announce(std::span<const std::string> fingerprints) {
  int64_t now_us = EventLoop::NowUs();
  for (const std::string& fingerprint : fingerprints) {
    bool is_for_all = m_blame.ConcernsAllNodes(fingerprint, now_us);
    for (const Endpoint* node : OtherNodes(is_for_all ? std::string_view() : m_service)) {
      m_receivers[node->node].unsent.insert(fingerprint);
    }
  }
  SendUnsent();
}

// A node that is no longer listed needs no news; a former receiver without any is dropped.
void SuspectRelay::SendUnsent() {
  for (auto it = m_receivers.begin(); it != m_receivers.end();) {
    auto& [node, receiver] = *it;
    const Endpoint* endpoint = m_endpoints->FindNode(node);
    if (receiver.query == nullptr && (endpoint == nullptr || receiver.unsent.empty())) {
      it = m_receivers.erase(it);
      continue;
    }
    if (receiver.query == nullptr) Send(*endpoint, receiver);
    ++it;
  }
}

void SuspectRelay::Send(const Endpoint& endpoint, Receiver& receiver) {
  int64_t now_us = EventLoop::NowUs();
  receiver.in_flight = std::move(receiver.unsent);
  receiver.unsent.clear();
  std::vector<CrashSuspect> suspects;
  for (const std::string& fingerprint : receiver.in_flight) {
    if (auto suspect = m_blame.Find(fingerprint, now_us)) suspects.push_back(std::move(*suspect));
  }
  m_sent.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_POST,
                          .uri = kSuspectsPath,
                          .headers = {{kNodeHeader, m_name}},
                          .body = std::make_shared<const std::string>(Encode(std::move(suspects)))};
  receiver.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(endpoint), std::move(request), kRequestTimeout,
      [this, node = endpoint.node](const std::optional<HttpReply>& reply) { OnReply(node, reply); },
      kMaxReplyBytes);
}

// What could not be delivered is sent again by the timer.
void SuspectRelay::OnReply(const std::string& node, const std::optional<HttpReply>& reply) {
  Receiver& receiver = m_receivers.at(node);
  std::unique_ptr<HttpQuery> query = std::move(receiver.query);
  std::set<std::string> in_flight = std::move(receiver.in_flight);
  receiver.in_flight.clear();
  if (!reply || reply->status != kHttpOk) {
    m_failures.Add();
    receiver.unsent.merge(in_flight);
    return;
  }
  m_has_reply = true;
  Learn(reply->body, node);
}

void SuspectRelay::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  std::string source(HeaderValue(request->headers(), kNodeHeader));
  Learn(*request->body(), source);
  std::string body = Encode(m_blame.Suspects(EventLoop::NowUs()));
  request->BypassPacing();
  m_replies.ReplyIfItFits(std::move(request), {}, body);
}

void SuspectRelay::Learn(std::string_view bytes, std::string_view source) {
  auto message = DecodeSuspects(bytes);
  if (!message) {
    LOG_EVERY_N(WARNING, 100) << "event=suspects_unreadable source=" << source << " error=\""
                              << message.error().message << "\"";
    return;
  }
  EndContainment(message->complete_for_ms, source);
  std::vector<std::string> learned = m_blame.Merge(message->suspects, EventLoop::NowUs());
  if (!learned.empty()) m_handler(learned, source);
}

int64_t SuspectRelay::UptimeMs() const { return (EventLoop::NowUs() - m_start_us) / kUsPerMs; }

std::string SuspectRelay::Encode(std::vector<CrashSuspect> suspects) const {
  bool is_complete = !m_containment.IsActive(EventLoop::NowUs());
  return EncodeSuspects(
      {.suspects = std::move(suspects), .complete_for_ms = is_complete ? UptimeMs() : 0});
}

// What a process of an earlier start knows has not been lost. Processes that started at about the
// same time as this one may have lost the same.
void SuspectRelay::EndContainment(int64_t complete_for_ms, std::string_view source) {
  if (!m_containment.IsActive(EventLoop::NowUs())) return;
  if (complete_for_ms < UptimeMs() + kMinAgeDifference.count()) return;
  LOG(INFO) << "event=containment_ended source=" << source << " complete_for_ms=" << complete_for_ms
            << " uptime_ms=" << UptimeMs();
  m_containment.End();
}

void SuspectRelay::OnTimer() {
  m_timer.Start(kPeriod);
  int64_t now_us = EventLoop::NowUs();
  m_blame.Expire(now_us);
  if (!m_has_reply) AskAtStart();
  bool is_containing = m_containment.IsActive(now_us);
  m_containment_gauge.Set(is_containing ? 1 : 0);
  if (is_containing) ExchangeWithRandomNode();
  if (m_blame.QuarantinedCount(now_us) > 0) ExchangeWithRandomNode();
  SendUnsent();
}

// The process may be the successor of one that knew of suspects.
void SuspectRelay::AskAtStart() {
  std::vector<const Endpoint*> nodes = OtherNodes(m_service);
  if (nodes.empty()) nodes = OtherNodes({});
  if (const Endpoint* node = RandomOf(nodes)) Exchange(*node);
}

void SuspectRelay::ExchangeWithRandomNode() {
  if (const Endpoint* node = RandomOf(OtherNodes({}))) Exchange(*node);
}

// Sends all suspects; the reply contains all that the other node knows.
void SuspectRelay::Exchange(const Endpoint& endpoint) {
  Receiver& receiver = m_receivers[endpoint.node];
  if (receiver.query != nullptr) return;
  for (const CrashSuspect& suspect : m_blame.Suspects(EventLoop::NowUs())) {
    receiver.unsent.insert(suspect.fingerprint);
  }
  Send(endpoint, receiver);
}

}  // namespace guavatrail
