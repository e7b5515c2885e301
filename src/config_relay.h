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
#include "random_source.h"
#include "table_referrals.h"

namespace guavatrail {

// A follower asks its source for a configuration newer than its own. The source answers as soon as
// it has one, or after a short wait (long polling), and states how long ago the platform confirmed
// its configuration. Request and answer also carry the endpoint revision that each side knows; see
// endpoint_relay.h. A source that is already sending whole tables refers the follower to another
// node that holds the table; see table_referrals.h.
class ConfigRelay {
 public:
  struct Hooks {
    // Called with a newer table that was received from another node.
    std::function<void(std::shared_ptr<const ConfigTable>)> adopt;
    // Called when this node starts (true) or stops (false) following the platform itself.
    std::function<void(bool)> watch_platform;
    // Returns the endpoint revision that this node knows.
    std::function<uint64_t()> endpoint_revision = [] { return uint64_t{0}; };
    // Returns the endpoint revision that it will know after the updates already requested.
    std::function<uint64_t()> expected_endpoint_revision = [] { return uint64_t{0}; };
    // Called when `source` has answered and knows the endpoints at `revision`.
    std::function<void(const Endpoint& source, uint64_t revision)> source_has_endpoints =
        [](const Endpoint&, uint64_t) {};
  };

  // `peers` must outlive the relay.
  ConfigRelay(EventLoop& loop, Candidate self, PeerClient& peers, Metrics& metrics,
              RandomSource& random, Hooks hooks, ConfigSourcePolicy::Options options = {});

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
  void Confirm();
  // Records that a call to the platform has failed.
  void PlatformLost();
  // Answers a request of another node, possibly after a wait.
  void Answer(std::unique_ptr<DownstreamRequest> request);

  // Query: whether this node knows which node to follow, or that it is to follow the platform.
  bool has_role() const { return m_policy.has_role(); }

 private:
  // Versions that a requester already has.
  struct Known {
    uint64_t version = 0;
    uint64_t endpoint_revision = 0;
  };
  // A request to another node that may still be answered.
  struct Question {
    std::string node;
    uint64_t known = 0;        // Own version in the request; a change in the answer starts from it.
    bool is_referred = false;  // The source referred this node to it.
    std::unique_ptr<HttpQuery> query;
  };
  // A request of another node that waits for a change.
  struct Waiting {
    std::unique_ptr<DownstreamRequest> request;
    Known known;
    std::unique_ptr<Timer> timer;
  };

  void Step();
  ConfigSource SourceNow() const;
  bool IsPlatformSilent() const;
  bool HasNewsFor(const Known& known) const;
  void Ask(const std::string& node, bool is_referred);
  void AskAgain(const Question& question, const HttpReply& reply);
  void OnOverdue();
  void OnReply(uint64_t number, const std::optional<HttpReply>& reply);
  bool TakeReply(const Question& question, const std::optional<HttpReply>& reply);
  void SourceFailed(const Question& question);
  void AnswerNow(std::unique_ptr<DownstreamRequest> request, const Known& known);
  void NoteHolder(std::string_view node);
  void AnswerTable(std::unique_ptr<DownstreamRequest> request, HeaderList headers);
  void EncodeOnce();
  const std::string* ChangeFrom(uint64_t known);
  std::shared_ptr<const ConfigTable> TableIn(const HttpReply& reply);
  void AnswerWaiting();
  void Forget(uint64_t waiting);
  uint64_t version() const { return m_table == nullptr ? 0 : m_table->version(); }

  EventLoop& m_loop;
  RandomSource& m_random;
  Hooks m_hooks;
  std::string m_name;
  ConfigSourcePolicy m_policy;
  PeerClient& m_peers;
  std::shared_ptr<const EndpointList> m_endpoints;
  std::shared_ptr<const ConfigTable> m_table;
  std::string m_encoded;  // Encoded m_table; empty until it is first needed.
  std::string m_digest;   // Digest of m_encoded.
  // The previous tables, newest first, each with the encoded change from it to m_table. The change
  // is encoded when it is first requested.
  struct Former {
    std::shared_ptr<const ConfigTable> table;
    std::string change;
  };
  std::deque<Former> m_former;
  int64_t m_confirmed_us = 0;
  bool m_is_running = false;
  ConfigSource m_source = FromPlatform{};
  std::map<uint64_t, Question> m_open;
  uint64_t m_next_question = 1;
  int64_t m_started_us = 0;
  bool m_has_lost_source = false;  // The last request had no answer in time, or a stale one.
  uint64_t m_current = 0;          // The request that is not overdue yet; 0: none.
  std::map<uint64_t, Waiting> m_waiting;
  uint64_t m_next_waiting = 1;
  TableReferrals m_referrals;
  std::string m_holder;          // Node of the last referral, to be asked next; empty: none.
  int m_referrals_followed = 0;  // Since the last request to the source itself.
  PendingReplies m_replies;
  Counter& m_questions;
  Counter& m_failures;
  Timer m_timer;
  Timer m_overdue_timer;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
