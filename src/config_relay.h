// Defines ConfigRelay, which distributes the configuration between nodes and notifies them that
// endpoints have changed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config_source.h"
#include "config_table.h"
#include "downstream_request.h"
#include "endpoint.h"
#include "event_loop.h"
#include "http_query.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"
#include "random_source.h"
#include "store_revision.h"
#include "table_referrals.h"

namespace guavatrail {

// A follower asks its source for a configuration newer than its own. The source answers as soon as
// it has one, or after a short wait (long polling), and states how long ago the platform confirmed
// its configuration. Request and answer also carry the endpoint revision that each side knows; see
// endpoint_relay.h. A source that has an older configuration than a follower requests that of the
// follower. A source that is already sending whole tables refers the follower to another
// node that holds the table; see table_referrals.h.
class ConfigRelay {
 public:
  struct Callbacks {
    // Called with a newer table that was received from another node.
    std::function<void(std::shared_ptr<const ConfigTable>)> on_newer_table;
    // Called when this node starts (true) or stops (false) following the platform itself.
    std::function<void(bool)> watch_platform;
    // Returns the endpoint revision that this node knows.
    std::function<StoreRevision()> endpoint_revision = [] { return StoreRevision(); };
    // Returns the endpoint revision that it will know after the updates already requested.
    std::function<StoreRevision()> requested_endpoint_revision = [] { return StoreRevision(); };
    // Called when `source` has answered and knows the endpoints at `revision`.
    std::function<void(const Endpoint& source, StoreRevision revision)>
        on_source_endpoint_revision = [](const Endpoint&, StoreRevision) {};
  };

  // `peers` must outlive the relay.
  ConfigRelay(EventLoop& loop, Candidate self, PeerClient& peers, Metrics& metrics,
              RandomSource& random, Callbacks callbacks, ConfigSourcePolicy::Options options = {});

  // Commands.
  // Call when the endpoints are known or known to be unavailable: a starting node takes the
  // configuration from another node if it can.
  void Start();
  void Stop();
  // Sets the known endpoints and answers the followers that wait for a newer revision.
  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints);
  // Sets the table in force, whichever source it came from.
  void SetTable(std::shared_ptr<const ConfigTable> table);
  // Records that the platform has just confirmed that the table in force is current.
  void OnPlatformConfirmation();
  // Records that a call to the platform has failed.
  void OnPlatformFailure();
  // Answers a request of another node, possibly after a wait.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

  // Query: whether this node knows which node to follow, or that it is to follow the platform.
  bool has_source() const { return m_policy.has_source(); }

 private:
  // Versions that a requester already has.
  struct RequesterState {
    uint64_t version = 0;
    StoreRevision endpoint_revision;
  };
  // A request to another node that may still be answered.
  struct PendingRequest {
    std::string node;
    uint64_t known = 0;  // Own version in the request; a change in the answer starts from it.
    // The node is not the source of this node, but known to have a table that this node lacks.
    bool is_referred = false;
    std::unique_ptr<HttpQuery> query;
  };
  // A request of another node that waits for a change.
  struct LongPoll {
    std::unique_ptr<DownstreamRequest> request;
    RequesterState known;
    std::unique_ptr<Timer> timer;
  };

  void FollowPlatform(bool on);
  void PollSource();
  void CompareTable();
  ConfigSource CurrentSource() const;
  bool IsPlatformSilent() const;
  bool HasUpdateFor(const RequesterState& known) const;
  void SendRequest(const std::string& node, bool is_referred);
  void FollowReferral(const PendingRequest& pending, const HttpReply& reply);
  void OnRequestOverdue();
  void OnReply(uint64_t number, const std::optional<HttpReply>& reply);
  bool HandleReply(const PendingRequest& pending, const std::optional<HttpReply>& reply);
  void RecordSourceFailure(const PendingRequest& pending);
  void SendAnswer(std::unique_ptr<DownstreamRequest> request, const RequesterState& known);
  void RecordTableHolder(std::string_view node);
  void RequestNewerTable(std::string_view requester);
  void SendTableOrReferral(std::unique_ptr<DownstreamRequest> request, HeaderList headers);
  void EnsureEncoded();
  const std::string* EncodedChangeFrom(uint64_t known);
  std::shared_ptr<const ConfigTable> DecodeTableFrom(const HttpReply& reply);
  void AnswerLongPolls();
  void RemoveLongPoll(uint64_t number);
  uint64_t version() const { return m_table == nullptr ? 0 : m_table->version(); }

  EventLoop& m_loop;
  RandomSource& m_random;
  Callbacks m_callbacks;
  std::string m_name;
  ConfigSourcePolicy m_policy;
  PeerClient& m_peers;
  std::shared_ptr<const EndpointList> m_endpoints;
  std::shared_ptr<const ConfigTable> m_table;
  std::string m_encoded;  // Encoded m_table; empty until it is first needed.
  std::string m_digest;   // Digest of m_encoded.
  // The previous tables, newest first, each with the encoded change from it to m_table. The change
  // is encoded when it is first requested.
  struct PreviousTable {
    std::shared_ptr<const ConfigTable> table;
    std::string change;
  };
  std::deque<PreviousTable> m_previous_tables;
  int64_t m_platform_confirmed_us = 0;
  bool m_is_running = false;
  int m_comparisons_left = 0;  // See CompareTable.
  ConfigSource m_source = FromPlatform{};
  std::map<uint64_t, PendingRequest> m_pending_requests;
  uint64_t m_next_request = 1;
  int64_t m_started_us = 0;
  bool m_has_lost_source = false;  // The last request had no answer in time, or a stale one.
  uint64_t m_current_request = 0;  // The request that is not overdue yet; 0: none.
  std::map<uint64_t, LongPoll> m_long_polls;
  uint64_t m_next_long_poll = 1;
  TableReferrals m_referrals;
  std::string m_referred_node;   // Node of the last referral, to be asked next; empty: none.
  int m_referrals_followed = 0;  // Since the last request to the source itself.
  PendingReplies m_replies;
  Counter& m_request_counter;
  Counter& m_failure_counter;
  Timer m_timer;
  Timer m_overdue_timer;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
