// Defines EntryCall and EntryAttempt, the internal state of EntryProxy for a call and for each
// attempt to run it on a serving node.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caller_identity.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_headers.h"
#include "http_query.h"
#include "order_key.h"
#include "peer_call.h"
#include "stream_relay.h"
#include "work_tag.h"

namespace guavatrail {

// Maximum number of requests to serving nodes for a call, including offers, hedges and requests for
// an order key. A node that refused an offer may get the call again.
inline constexpr int kMaxAttemptsPerCall = 6;
// Number of serving nodes that are offered the request, to run immediately or not at all, before it
// is queued at one of them. A call with a large answer and a long wait gets one more offer.
inline constexpr int kMaxOffers = 2;
// Number of overload refusals of a regular request after which the call is refused. Usually the
// predicted wait at the node is too long. One refusal is enough: the request is sent to the node
// with the shortest wait of those that refused an offer, so the others would refuse it too.
inline constexpr int kMaxQueueRefusals = 1;
inline constexpr int64_t kDefaultRetryAfterMs = 100;

// One attempt to run a call on a serving node.
struct EntryAttempt {
  std::string node;
  int64_t start_us = 0;
  // False if the serving node reports that the request did not reach a backend server.
  bool reached_server = true;
  // The node did not run the request, or its answer is not used because the call is already
  // answered or was retried on another node; the answer body is discarded.
  bool is_refused = false;
  bool is_ended = false;
  std::unique_ptr<PeerCall> peer;
};

struct EntryCall {
  EntryCall(EventLoop& loop, std::unique_ptr<DownstreamRequest> request,
            std::function<void()> deadline, std::function<void()> hedge)
      : downstream(std::move(request)),
        relay(*downstream),
        deadline_timer(loop, std::move(deadline)),
        hedge_timer(loop, std::move(hedge)) {}

  uint64_t id = 0;
  std::string request_id;
  // Only known during a containment and of a trial; see crash_containment.h, quarantine_trials.h.
  std::string fingerprint;
  bool is_trial = false;  // A request in quarantine that runs as a trial.
  std::string service;
  std::string route;
  std::string last_node;        // Serving node of the latest attempt.
  std::string last_reason;      // Why the latest attempt failed; empty if it succeeded.
  uint64_t config_version = 0;  // Version in force when the call arrived.
  WorkTag work;
  WorkspaceTag workspace;
  // Whether the configuration requires API keys, so that the headers of the caller that concern
  // keys and workspaces are not forwarded.
  bool requires_api_keys = false;
  int64_t deadline_us = 0;  // Of the caller, at most timeout_us: until then the answer must begin.
  int64_t timeout_us = 0;   // Of the work kind: until then the answer must be complete.
  std::optional<OrderKey> key;
  // Nodes that are not selected: those that were tried, except after a refused offer, and those
  // outside the shard of a contained request.
  std::set<std::string> excluded_nodes;
  int attempts_started = 0;
  int offers_made = 0;
  int queue_refusals = 0;  // Refusals by nodes where the wait would have been too long.
  // Predicted wait in milliseconds, and name, of the nodes that reported a wait with a refusal and
  // have not been selected by their wait since.
  std::vector<std::pair<int64_t, std::string>> busy_nodes;
  // Maximum number of servers that may receive the request.
  int max_attempts = kMaxAttemptsPerCall;
  int servers_reached = 0;   // Servers that received it or may have received it.
  int64_t objective_ms = 0;  // Latency objective; 0: only the deadline applies.
  bool may_have_run = false;
  bool is_answered = false;  // The answer has begun, or has been decided.
  bool is_recorded = false;  // The outcome has been recorded.
  bool is_removed = false;
  bool is_late = false;
  int status = 0;  // Status of the relayed answer.
  int64_t retry_after_ms = kDefaultRetryAfterMs;
  std::unique_ptr<DownstreamRequest> downstream;
  StreamRelay relay;
  std::list<std::unique_ptr<EntryAttempt>> active_attempts;
  std::unique_ptr<HttpQuery> query;  // Fetches an order key or fences an order.
  Timer deadline_timer;              // Once the answer has begun, its timeout.
  Timer hedge_timer;
};

}  // namespace guavatrail
