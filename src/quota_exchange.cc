#include "quota_exchange.h"

#include <glog/logging.h>

#include <set>
#include <utility>

#include "quota_codec.h"

namespace guavatrail {

namespace {

// A coordinator that has not replied by then is taken for failed. Its reply still counts if it
// arrives while it is valid.
constexpr std::chrono::milliseconds kSilence{300};
constexpr std::chrono::milliseconds kRequestTimeout{1'000};
constexpr size_t kMaxReplyBytes = 1'048'576;
constexpr std::string_view kNoCoordinator = "none";

}  // namespace

QuotaExchange::QuotaExchange(EventLoop& loop, std::string node, PeerClient& peers, Metrics& metrics,
                             RandomSource& random)
    : m_loop(loop),
      m_node(std::move(node)),
      m_peers(peers),
      m_random(random),
      m_enforcer(m_node, random.Next(), random),
      m_endpoints(std::make_shared<const EndpointList>()),
      m_replies(loop),
      m_sent(metrics.GetCounter("quota_reports_sent_total")),
      m_failures(metrics.GetCounter("quota_report_failures_total")),
      m_handled(metrics.GetCounter("quota_reports_handled_total")),
      m_group(metrics.GetGauge("quota_group")),
      m_limited(metrics.GetGauge("quota_limited_workspaces")),
      m_timer(loop, [this] { OnTimer(); }) {}

void QuotaExchange::SetTable(const ConfigTable& table) {
  bool had_quotas = m_enforcer.has_quotas();
  m_enforcer.SetQuotas(table.workspaces(), EventLoop::NowUs());
  m_ledger.SetQuotas(table.workspaces());
  if (!m_enforcer.has_quotas()) {
    m_timer.Cancel();
    m_pending.clear();
  } else if (!had_quotas) {
    ApplyEndpoints();
    m_timer.Start(std::chrono::microseconds(0));
  }
}

void QuotaExchange::SetEndpoints(std::shared_ptr<const EndpointList> endpoints) {
  bool is_first = m_endpoints->all().empty();
  m_endpoints = std::move(endpoints);
  if (!m_enforcer.has_quotas()) return;
  ApplyEndpoints();
  // The limits that hold for a node without a coordinator end with the first reply.
  if (is_first) m_timer.Start(std::chrono::microseconds(0));
}

void QuotaExchange::ApplyEndpoints() {
  std::set<std::string> nodes = {m_node};
  for (const Endpoint& endpoint : m_endpoints->all()) nodes.insert(endpoint.node);
  m_known_nodes = nodes.size();
  m_enforcer.SetNodeCount(m_known_nodes);
  m_ledger.SetNodes(std::move(nodes));
  m_selector.SetEndpoints(*m_endpoints);
}

void QuotaExchange::OnTimer() {
  int64_t period_us = QuotaPeriodUs(m_known_nodes);
  // Nodes that have started together do not report at the same time for long.
  int64_t jitter_us = static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(period_us / 10)));
  m_timer.Start(std::chrono::microseconds(period_us - jitter_us));
  int64_t now_us = EventLoop::NowUs();
  QuotaReport report = m_enforcer.MakeReport(now_us);
  for (const std::string& target : m_selector.Targets(now_us)) Send(target, report);
  LogCoordinator();
}

void QuotaExchange::Send(const std::string& target, const QuotaReport& report) {
  if (target == m_node) {
    OnReply(target, report.time_us, m_ledger.OnReport(report, report.time_us));
    m_limited.Set(static_cast<double>(m_ledger.limited()));
    return;
  }
  // Reports are cumulative, so the next one also tells what a skipped one would have.
  const Endpoint* endpoint = m_endpoints->FindNode(target);
  if (endpoint != nullptr && m_pending.count(target) == 0) SendTo(*endpoint, report);
}

void QuotaExchange::SendTo(const Endpoint& endpoint, const QuotaReport& report) {
  m_sent.Add();
  const std::string& target = endpoint.node;
  UpstreamRequest request{.method = EVHTTP_REQ_POST,
                          .uri = kQuotaPath,
                          .headers = {{kNodeHeader, m_node}},
                          .body = std::make_shared<const std::string>(EncodeQuotaReport(report))};
  Pending& pending = m_pending[target];
  pending.sent_us = report.time_us;
  pending.silence = std::make_unique<Timer>(
      m_loop, [this, target, sent_us = report.time_us] { OnSilence(target, sent_us); });
  pending.silence->Start(kSilence);
  pending.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(endpoint), std::move(request), kRequestTimeout,
      [this, target](const std::optional<HttpReply>& answer) { OnAnswer(target, answer); },
      kMaxReplyBytes);
}

void QuotaExchange::OnAnswer(const std::string& target, const std::optional<HttpReply>& answer) {
  auto it = m_pending.find(target);
  if (it == m_pending.end()) return;
  Pending pending = std::move(it->second);
  m_pending.erase(it);
  std::optional<QuotaReply> reply;
  if (answer && answer->status == kHttpOk) {
    if (auto decoded = DecodeQuotaReply(answer->body)) {
      reply = std::move(*decoded);
    } else {
      LOG_EVERY_N(WARNING, 100) << "event=quota_reply_unreadable source=" << target << " error=\""
                                << decoded.error().message << "\"";
    }
  }
  if (reply) {
    OnReply(target, pending.sent_us, *reply);
  } else {
    m_failures.Add();
    OnSilence(target, pending.sent_us);
  }
}

void QuotaExchange::OnReply(const std::string& target, int64_t sent_us, const QuotaReply& reply) {
  int64_t now_us = EventLoop::NowUs();
  m_selector.OnReply(target, now_us);
  if (m_enforcer.OnReply(target, sent_us, reply, now_us)) m_selector.Follow(target);
  LogCoordinator();
}

void QuotaExchange::OnSilence(const std::string& target, int64_t sent_us) {
  if (!m_selector.OnSilence(target, sent_us)) return;
  Send(std::string(m_selector.current()), m_enforcer.MakeReport(EventLoop::NowUs()));
}

void QuotaExchange::LogCoordinator() {
  bool is_coordinated = m_enforcer.IsCoordinated(EventLoop::NowUs());
  m_group.Set(is_coordinated ? m_enforcer.group() : 0);
  std::string_view coordinator = is_coordinated ? m_enforcer.coordinator() : kNoCoordinator;
  if (m_logged_coordinator == coordinator) return;
  LOG(INFO) << "event=quota_coordinator coordinator=" << coordinator
            << " before=" << m_logged_coordinator.value_or(std::string(kNoCoordinator))
            << " group=" << m_enforcer.group() << " nodes=" << m_known_nodes;
  m_logged_coordinator = std::string(coordinator);
}

void QuotaExchange::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  request->BypassPacing();
  auto report = DecodeQuotaReport(*request->body());
  if (!report) {
    LOG_EVERY_N(WARNING, 100) << "event=quota_report_unreadable source="
                              << HeaderValue(request->headers(), kNodeHeader) << " error=\""
                              << report.error().message << "\"";
    m_replies.Reply(std::move(request), kHttpBadRequest, {});
    return;
  }
  // A reply without limits would let the node admit all requests.
  if (!m_enforcer.has_quotas() || !m_ledger.HasRoomFor(report->node)) {
    m_replies.Reply(std::move(request), kHttpServiceUnavailable, {});
    return;
  }
  m_handled.Add();
  QuotaReply reply = m_ledger.OnReport(*report, EventLoop::NowUs());
  m_limited.Set(static_cast<double>(m_ledger.limited()));
  m_replies.ReplyIfItFits(std::move(request), {}, EncodeQuotaReply(reply));
}

}  // namespace guavatrail
