// Defines QuotaExchange, by which nodes keep the quotas of workspaces together: it reports to the
// coordinator of the quotas, and is the coordinator for the nodes that report to this one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config_table.h"
#include "coordinator_selector.h"
#include "downstream_request.h"
#include "endpoint.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"
#include "quota_enforcer.h"
#include "quota_ledger.h"
#include "random_source.h"

namespace guavatrail {

// Sends no messages while the configuration has no workspace with a quota.
class QuotaExchange {
 public:
  QuotaExchange(EventLoop& loop, std::string node, PeerClient& peers, Metrics& metrics,
                RandomSource& random);
  QuotaExchange(const QuotaExchange&) = delete;
  QuotaExchange& operator=(const QuotaExchange&) = delete;

  void SetTable(const ConfigTable& table);
  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints);
  // Handles the report of another node.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

  QuotaEnforcer& enforcer() { return m_enforcer; }

 private:
  // A report to which no reply has arrived.
  struct Pending {
    int64_t sent_us = 0;
    std::unique_ptr<HttpQuery> query;
    std::unique_ptr<Timer> silence;
  };

  void OnTimer();
  void Send(const std::string& target, const QuotaReport& report);
  void SendTo(const Endpoint& endpoint, const QuotaReport& report);
  void OnAnswer(const std::string& target, const std::optional<HttpReply>& answer);
  void OnReply(const std::string& target, int64_t sent_us, const QuotaReply& reply);
  void OnSilence(const std::string& target, int64_t sent_us);
  void ApplyEndpoints();
  void LogCoordinator();

  EventLoop& m_loop;
  std::string m_node;
  PeerClient& m_peers;
  RandomSource& m_random;
  QuotaEnforcer m_enforcer;
  QuotaLedger m_ledger;
  CoordinatorSelector m_selector;
  std::shared_ptr<const EndpointList> m_endpoints;
  size_t m_known_nodes = 1;
  PendingReplies m_replies;
  std::map<std::string, Pending> m_pending;  // By node.
  std::optional<std::string> m_logged_coordinator;
  Counter& m_sent;
  Counter& m_failures;
  Counter& m_handled;
  Gauge& m_group;
  Gauge& m_limited;
  Timer m_timer;
};

}  // namespace guavatrail
