// Defines SuspectRelay, by which nodes tell each other of the requests that are suspected of
// crashing backend servers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "crash_blame.h"
#include "crash_containment.h"
#include "downstream_request.h"
#include "endpoint.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"
#include "random_source.h"
#include "settings.h"

namespace guavatrail {

// A suspect is told to the nodes of the service whose server has crashed, and a request in
// quarantine, or cleared of it, to all nodes, until each has confirmed it. While requests are in
// quarantine, each node compares what it knows with that of a random node once a second, so that a
// node which was cut off learns of them too; a node that has started asks others of its service.
class SuspectRelay {
 public:
  // The fingerprints of which more is known than before, and the node that knew it.
  using Handler =
      std::function<void(const std::vector<std::string>& fingerprints, std::string_view source)>;

  SuspectRelay(EventLoop& loop, const NodeSettings& node, PeerClient& peers, CrashBlame& blame,
               CrashContainment& containment, Metrics& metrics, RandomSource& random,
               Handler handler);
  SuspectRelay(const SuspectRelay&) = delete;
  SuspectRelay& operator=(const SuspectRelay&) = delete;

  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints);
  // Tells other nodes what this node knows of these suspects.
  void Announce(std::span<const std::string> fingerprints);
  // Handles what another node tells, and replies with what this node knows.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

 private:
  struct Receiver {
    std::set<std::string> unsent;     // Suspects that the node is still to be told of.
    std::set<std::string> in_flight;  // Suspects of the query.
    std::unique_ptr<HttpQuery> query;
  };

  void OnTimer();
  void AskAtStart();
  void ExchangeWithRandomNode();
  void Exchange(const Endpoint& endpoint);
  void SendUnsent();
  void Send(const Endpoint& endpoint, Receiver& receiver);
  void OnReply(const std::string& node, const std::optional<HttpReply>& reply);
  void Learn(std::string_view bytes, std::string_view source);
  void EndContainment(int64_t complete_for_ms, std::string_view source);
  std::string Encode(std::vector<CrashSuspect> suspects) const;
  int64_t UptimeMs() const;
  std::vector<const Endpoint*> OtherNodes(std::string_view service) const;
  const Endpoint* RandomOf(std::span<const Endpoint* const> nodes);

  EventLoop& m_loop;
  std::string m_name;
  std::string m_service;
  PeerClient& m_peers;
  CrashBlame& m_blame;
  CrashContainment& m_containment;
  int64_t m_start_us = EventLoop::NowUs();
  RandomSource& m_random;
  Handler m_handler;
  std::shared_ptr<const EndpointList> m_endpoints;
  PendingReplies m_replies;
  std::map<std::string, Receiver> m_receivers;  // By node.
  bool m_has_reply = false;                     // Another node has replied since the start.
  Counter& m_sent;
  Counter& m_failures;
  Gauge& m_containment_gauge;
  Timer m_timer;
};

}  // namespace guavatrail
