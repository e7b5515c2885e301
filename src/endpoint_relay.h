// Defines EndpointRelay, which takes what has changed in the endpoints from other nodes, and gives
// it to them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "downstream_request.h"
#include "endpoint_directory.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"

namespace guavatrail {

// Followers learn from the answers of ConfigRelay that their source knows a newer state, and then
// ask it for the changes since their own. A late or lost answer does no harm: the next answer of
// the source names its state again.
class EndpointRelay {
 public:
  // Receives what the node `source` knows.
  using Handler = std::function<void(const std::string& source, const EndpointUpdate&)>;

  // `peers` must outlive the relay.
  EndpointRelay(EventLoop& loop, PeerClient& peers, const EndpointDirectory& directory,
                Metrics& metrics, Handler handler);

  // Commands.
  // `source` knows the endpoints at `revision`.
  void OnSourceRevision(const Endpoint& source, uint64_t revision);
  // Answers a question of another node.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

  // Query: the revision that this node knows, or will when the open question has its answer.
  uint64_t expected_revision() const;

 private:
  void OnReply(const std::string& node, const std::optional<HttpReply>& reply);
  void EndQuestion();

  EventLoop& m_loop;
  const EndpointDirectory& m_directory;
  Handler m_handler;
  PeerClient& m_peers;
  std::unique_ptr<HttpQuery> m_query;
  uint64_t m_asked_revision = 0;  // That the answer will have; 0: no question is open.
  PendingReplies m_replies;
  Counter& m_questions;
  Counter& m_failures;
  Timer m_retry_timer;
};

}  // namespace guavatrail
