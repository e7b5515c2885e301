// Defines EntryCall, the state of one call at an entry node, for the sources of EntryProxy.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "downstream_request.h"
#include "event_loop.h"
#include "http_headers.h"
#include "http_query.h"
#include "order_key.h"
#include "peer_call.h"
#include "stream_relay.h"
#include "work_tag.h"

namespace guavatrail {

// Most serving nodes that one call is sent to.
inline constexpr int kMaxAttemptsPerCall = 6;
// Serving nodes that are asked for a free slot before the request waits at one of them.
inline constexpr int kOffers = 2;
// Nodes that may find the wait too long before the call is refused: the first of them was the one
// with the shortest wait of those that had been asked for a slot, so more would say the same.
inline constexpr int kMaxQueueRefusals = 1;
inline constexpr int64_t kUsualRetryAfterMs = 100;

// One try of a call on one serving node.
struct EntryAttempt {
  std::string node;
  int64_t start_us = 0;
  bool reached_server = true;  // Unless the serving node said that it did not.
  bool is_refused = false;     // Not run there, or tried elsewhere instead: its body is dropped.
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
  std::string service;
  std::string route;
  std::string last_node;        // That the call was sent to.
  std::string last_reason;      // Why the last try did not succeed; empty when it did.
  uint64_t config_version = 0;  // In force when the call came.
  WorkTag work;
  int64_t deadline_us = 0;
  std::optional<OrderKey> key;
  std::set<std::string> tried;
  int tries_started = 0;
  int offers_made = 0;
  int queue_refusals = 0;  // By nodes at which the request would have waited too long.
  // Nodes without a free slot, and how long the request would wait there.
  std::vector<std::pair<int64_t, std::string>> busy;
  int attempts = kMaxAttemptsPerCall;  // Most servers that may get the request.
  int servers_reached = 0;             // Servers that got it, or may have.
  int64_t objective_ms = 0;            // 0: none but the deadline.
  bool may_have_run = false;
  bool is_answered = false;  // The answer has begun or been decided.
  bool is_observed = false;
  bool is_removed = false;
  bool is_late = false;
  int status = 0;  // Of the relayed answer.
  int64_t retry_after_ms = kUsualRetryAfterMs;
  std::unique_ptr<DownstreamRequest> downstream;
  StreamRelay relay;
  std::list<std::unique_ptr<EntryAttempt>> tries;
  std::unique_ptr<HttpQuery> query;  // For a key or a fence.
  Timer deadline_timer;
  Timer hedge_timer;
};

}  // namespace guavatrail
