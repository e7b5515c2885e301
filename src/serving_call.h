// Defines ServingProxy::Call, the state of a request at a serving node, and functions that read the
// headers of such a request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "caller_identity.h"
#include "deadline.h"
#include "server_notice.h"
#include "serving_proxy.h"
#include "stream_relay.h"

namespace guavatrail {

// Retry-After of a refusal for which admission predicts no wait, mostly because the node or its
// server accepts no work.
inline constexpr int64_t kDrainRetryAfterMs = 100;
inline constexpr int kFirstServerError = 500;
// Logged and reported in metrics where the backend server names no limit.
inline constexpr double kNoLimit = -1;

struct ServingProxy::Call {
  enum class Phase {
    kQueued,
    kRunning,  // Occupies a slot.
    kEnded,    // Removed from the admission policy.
  };

  Call(EventLoop& loop, std::unique_ptr<DownstreamRequest> request, std::function<void()> on_timer)
      : downstream(std::move(request)), relay(*downstream), timer(loop, std::move(on_timer)) {}

  bool is_keyed() const { return serial != 0; }
  // Whether the entry node still waits for the answer.
  bool is_attached() const { return !downstream->has_ended() && !runs_detached; }

  uint64_t id = 0;
  uint64_t serial = 0;  // Ledger number of a keyed order; 0: not a keyed order.
  std::string request_id;
  std::string fingerprint;     // Only known during a containment; see crash_containment.h.
  int64_t retry_after_ms = 0;  // Sent with a refusal.
  int64_t wait_ms = 0;         // Predicted wait, sent with a refused offer.
  ServerLifetime server;       // Backend server that the request was sent to.
  int server_status = 0;       // Status of the server's answer; 0 until it has arrived.
  ServerNotice notice;         // Of the server's answer.
  WorkTag work;
  WorkspaceTag workspace;
  Phase phase = Phase::kQueued;
  int64_t deadline_us = 0;  // The answer must have begun by then.
  int64_t timeout_us = 0;   // The answer must be complete by then.
  int64_t start_us = 0;
  // An order that runs on although its answer is no longer awaited: the entry node was sent an
  // unknown outcome or has disconnected.
  bool runs_detached = false;
  bool is_retry = false;
  std::string refusal;              // Reason of a refusal by the backend server; else empty.
  bool may_have_been_sent = false;  // An earlier attempt may have reached the server.
  StoredAnswer answer;              // Answer to a keyed order, for the ledger.
  bool is_storable = true;          // The answer fits in the ledger.
  std::unique_ptr<DownstreamRequest> downstream;
  StreamRelay relay;
  std::unique_ptr<Exchange> exchange;
  Timer timer;  // Deadline; once the answer has begun, its timeout.
};

inline std::string RequestIdOf(const DownstreamRequest& request) {
  return std::string(HeaderValue(request.headers(), kRequestIdHeader));
}

// The end, in monotonic microseconds, of the time span in milliseconds that `header` contains;
// nullopt if it is absent or invalid.
inline std::optional<int64_t> DeadlineFromHeader(const DownstreamRequest& request,
                                                 std::string_view header) {
  constexpr int64_t kUsPerMs = 1000;
  std::optional<int64_t> ms = ParseDeadlineMs(HeaderValue(request.headers(), header));
  return ms ? std::optional<int64_t>(request.arrival_us() + *ms * kUsPerMs) : std::nullopt;
}

// The end of the latency objective in monotonic microseconds; 0 if the request has none.
inline int64_t ObjectiveUs(const DownstreamRequest& request) {
  return DeadlineFromHeader(request, kObjectiveHeader).value_or(0);
}

inline bool IsTrial(const DownstreamRequest& request) {
  return FindHeader(request.headers(), kTrialHeader) != nullptr;
}

inline std::string OrderKeyText(const DownstreamRequest& request) {
  return std::string(HeaderValue(request.headers(), kOrderKeyHeader));
}

}  // namespace guavatrail
