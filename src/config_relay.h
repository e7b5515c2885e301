// Defines ConfigRelay, which passes the configuration on between nodes, and the news that endpoints
// have changed.
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

// A follower asks its source for anything newer than what it has; the source answers when it has
// it, or after a short wait, and says how long ago the platform confirmed what it has. Question and
// answer also name the revision of the endpoints that each side knows; see endpoint_relay.h.
// A source that has several whole tables to send names another node that holds the table, and the
// follower asks that one; see table_referrals.h.
class ConfigRelay {
 public:
  struct Callbacks {
    // A newer table came from another node.
    std::function<void(std::shared_ptr<const ConfigTable>)> on_newer_table;
    // Whether this node should follow the platform itself.
    std::function<void(bool)> watch_platform;
    // Revision of the endpoints that this node knows.
    std::function<uint64_t()> endpoint_revision = [] { return uint64_t{0}; };
    // The same, with what has been asked for.
    std::function<uint64_t()> requested_endpoint_revision = [] { return uint64_t{0}; };
    // The source knows the endpoints at this revision.
    std::function<void(const Endpoint& source, uint64_t revision)> on_source_endpoint_revision =
        [](const Endpoint&, uint64_t) {};
  };

  // `peers` must outlive the relay.
  ConfigRelay(EventLoop& loop, Candidate self, PeerClient& peers, Metrics& metrics,
              RandomSource& random, Callbacks hooks, ConfigSourcePolicy::Options options = {});

  // Commands.
  // To be called when the endpoints are known, or cannot be had: a node that starts takes the
  // configuration from another one if it can.
  void Start();
  void Stop();
  // The endpoints known now; those who wait for news of them are answered.
  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints);
  // The table in force, from whatever source.
  void SetTable(std::shared_ptr<const ConfigTable> table);
  // The platform has confirmed the table in force just now.
  void OnPlatformConfirmation();
  // A call to the platform has failed.
  void OnPlatformFailure();
  // Answers a question of another node.
  void HandleRequest(std::unique_ptr<DownstreamRequest> request);

  // Query: whether this node knows whom to ask, or that it is to follow the platform itself.
  bool has_source() const { return m_policy.has_source(); }

 private:
  // What an asker has.
  struct Known {
    uint64_t version = 0;
    uint64_t endpoint_revision = 0;
  };
  // One to another node that may still be answered.
  struct Question {
    std::string node;
    uint64_t known = 0;        // The version that the answer's change starts from.
    bool is_referred = false;  // The node was named by the source.
    std::unique_ptr<HttpQuery> query;
  };
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
  Callbacks m_hooks;
  std::string m_name;
  ConfigSourcePolicy m_policy;
  PeerClient& m_peers;
  std::shared_ptr<const EndpointList> m_endpoints;
  std::shared_ptr<const ConfigTable> m_table;
  std::string m_encoded;  // Of m_table; empty until somebody asks.
  std::string m_digest;   // Of m_encoded.
  // The last tables, newest first, and the encoded change from each to m_table as far as asked for.
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
  bool m_has_lost_source = false;  // The last question had no answer in time, or a stale one.
  uint64_t m_current = 0;          // The question that is not overdue yet; 0: none.
  std::map<uint64_t, Waiting> m_waiting;
  uint64_t m_next_waiting = 1;
  TableReferrals m_referrals;
  std::string m_holder;          // Named by a source, to be asked next; empty: none.
  int m_referrals_followed = 0;  // Since the source of this node was asked.
  PendingReplies m_replies;
  Counter& m_questions;
  Counter& m_failures;
  Timer m_timer;
  Timer m_overdue_timer;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
