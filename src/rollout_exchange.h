// Defines RolloutExchange, by which the owner of a rollout tells the nodes of the service how far
// it has come, and gets their counts in reply.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "downstream_request.h"
#include "endpoint.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"
#include "rollout_codec.h"

namespace guavatrail {

class RolloutExchange {
 public:
  struct Handlers {
    // Another node has replied to a notice.
    std::function<void(const std::string& node, const RolloutReport& report)> on_report;
    // Returns the reply to a notice of the owner.
    std::function<RolloutReport(const RolloutNotice& notice, std::string_view source)> on_notice;
  };

  RolloutExchange(EventLoop& loop, std::string name, PeerClient& peers, Metrics& metrics,
                  Handlers handlers);
  RolloutExchange(const RolloutExchange&) = delete;
  RolloutExchange& operator=(const RolloutExchange&) = delete;

  // Does nothing while an earlier notice to the node is unanswered, unless `is_urgent`: it is then
  // sent in place of the earlier one.
  void Send(const Endpoint& endpoint, const RolloutNotice& notice, bool is_urgent);
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

 private:
  void OnReply(const std::string& node, const std::optional<HttpReply>& reply);

  EventLoop& m_loop;
  std::string m_name;
  PeerClient& m_peers;
  Handlers m_handlers;
  PendingReplies m_replies;
  std::map<std::string, std::unique_ptr<HttpQuery>> m_queries;  // By node.
  Counter& m_sent;
  Counter& m_failures;
};

}  // namespace guavatrail
