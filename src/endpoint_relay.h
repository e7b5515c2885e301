// Defines EndpointRelay, which fetches endpoint updates from other nodes and serves them to others.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "downstream_request.h"
#include "endpoint_directory.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"

namespace guavatrail {

// A follower learns the endpoint revision of its source from the answers of ConfigRelay, and if
// it is newer, requests the changes since its own revision. Lost and late answers need no
// handling, since the next ConfigRelay answer carries the revision again.
class EndpointRelay {
 public:
  // Receives the updates fetched from the node `source`.
  using Handler = std::function<void(const std::string& source, const EndpointUpdate&)>;

  // `peers` must outlive the relay.
  EndpointRelay(EventLoop& loop, PeerClient& peers, const EndpointDirectory& directory,
                Metrics& metrics, Handler handler);

  // Commands.
  // Requests an update from `source`, which has the endpoints at `revision`, unless this node is up
  // to date or a request is in flight.
  void OnSourceRevision(const Endpoint& source, StoreRevision revision);
  // Responds to an update request of another node.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

  // Query: the revision that this node has, or will have after the request in flight.
  StoreRevision expected_revision() const;

 private:
  void OnReply(const std::string& node, const std::optional<HttpReply>& reply);
  void FinishRequest();
  void TakeOwnEra(EndpointUpdate& update) const;

  EventLoop& m_loop;
  const EndpointDirectory& m_directory;
  Handler m_handler;
  PeerClient& m_peers;
  std::unique_ptr<HttpQuery> m_query;
  std::optional<StoreRevision> m_requested_revision;  // Of the request in flight.
  PendingReplies m_replies;
  Counter& m_requests;
  Counter& m_failures;
  Timer m_retry_timer;
};

}  // namespace guavatrail
