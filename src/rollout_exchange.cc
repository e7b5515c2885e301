#include "rollout_exchange.h"

#include <glog/logging.h>

namespace guavatrail {

namespace {

constexpr std::chrono::milliseconds kRequestTimeout{1'000};
// 32 work kinds with full histograms.
constexpr size_t kMaxReplyBytes = 16'384;

}  // namespace

RolloutExchange::RolloutExchange(EventLoop& loop, std::string name, PeerClient& peers,
                                 Metrics& metrics, Handlers handlers)
    : m_loop(loop),
      m_name(std::move(name)),
      m_peers(peers),
      m_handlers(std::move(handlers)),
      m_replies(loop),
      m_sent(metrics.GetCounter("rollout_messages_total")),
      m_failures(metrics.GetCounter("rollout_message_failures_total")) {}

void RolloutExchange::Send(const Endpoint& endpoint, const RolloutNotice& notice, bool is_urgent) {
  std::unique_ptr<HttpQuery>& query = m_queries[endpoint.node];
  if (query != nullptr && !is_urgent) return;
  m_sent.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_POST,
                          .uri = kRolloutPath,
                          .headers = {{kNodeHeader, m_name}},
                          .body = std::make_shared<const std::string>(EncodeNotice(notice))};
  query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(endpoint), std::move(request), kRequestTimeout,
      [this, node = endpoint.node](const std::optional<HttpReply>& reply) { OnReply(node, reply); },
      kMaxReplyBytes);
}

void RolloutExchange::OnReply(const std::string& node, const std::optional<HttpReply>& reply) {
  std::unique_ptr<HttpQuery> query = std::move(m_queries.at(node));
  m_queries.erase(node);
  if (!reply || reply->status != kHttpOk) {
    m_failures.Add();
    return;
  }
  auto report = DecodeReport(reply->body);
  if (report) {
    m_handlers.on_report(node, *report);
    return;
  }
  LOG_EVERY_N(WARNING, 100) << "event=rollout_report_unreadable source=" << node << " error=\""
                            << report.error().message << "\"";
}

void RolloutExchange::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  std::string source(HeaderValue(request->headers(), kNodeHeader));
  auto notice = DecodeNotice(*request->body());
  if (!notice) {
    LOG_EVERY_N(WARNING, 100) << "event=rollout_notice_unreadable source=" << source << " error=\""
                              << notice.error().message << "\"";
    m_replies.Reply(std::move(request), kHttpBadRequest, {});
    return;
  }
  std::string body = EncodeReport(m_handlers.on_notice(*notice, source));
  request->BypassPacing();
  m_replies.Reply(std::move(request), kHttpOk, {}, body);
}

}  // namespace guavatrail
