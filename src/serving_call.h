// Defines ServingProxy::Call, the state of one request at a serving node, and what the sources of
// ServingProxy read from requests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "deadline.h"
#include "serving_proxy.h"
#include "stream_relay.h"

namespace guavatrail {

// How long a refused sender is asked to stay away while a node takes no work.
inline constexpr int64_t kDrainRetryAfterMs = 100;

struct ServingProxy::Call {
  enum class Phase {
    kQueued,
    kRunning,  // Holds a slot.
    kEnded,    // Left the admission policy.
  };

  Call(EventLoop& loop, std::unique_ptr<DownstreamRequest> request, std::function<void()> on_timer)
      : downstream(std::move(request)), relay(*downstream), timer(loop, std::move(on_timer)) {}

  bool is_keyed() const { return serial != 0; }
  // Whether the answer still goes to the sender of the request.
  bool is_attached() const { return !downstream->has_ended() && !is_given_up; }

  uint64_t id = 0;
  uint64_t serial = 0;  // Of keyed orders; 0 otherwise.
  std::string request_id;
  int64_t retry_after_ms = 0;  // Of a refusal.
  int64_t wait_ms = 0;         // Predicted when an offer was refused.
  std::string server_id;       // That the request was sent to.
  int server_status = 0;       // Of the server's answer; 0 before it has come.
  WorkTag work;
  Phase phase = Phase::kQueued;
  int64_t deadline_us = 0;
  int64_t start_us = 0;
  bool is_open_ended = false;  // The answer that has begun states no length.
  bool is_given_up = false;    // The sender was told that the outcome is unknown.
  bool is_second_try = false;
  std::string refusal;  // The backend server turned the request away, and why; else empty.
  bool may_have_been_sent = false;  // An earlier try may have reached the server.
  StoredAnswer answer;              // Of keyed orders.
  bool is_storable = true;
  std::unique_ptr<DownstreamRequest> downstream;
  StreamRelay relay;
  std::unique_ptr<Exchange> exchange;
  Timer timer;  // The deadline; while an answer is streamed, the check for a stalled server.
};

inline std::string RequestIdOf(const DownstreamRequest& request) {
  return std::string(HeaderValue(request.headers(), kRequestIdHeader));
}

// The end, in monotonic microseconds, of the time that the sender names in `header`; nothing when
// it names none.
inline std::optional<int64_t> EndOfTimeIn(const DownstreamRequest& request,
                                          std::string_view header) {
  constexpr int64_t kUsPerMs = 1000;
  std::optional<int64_t> ms = ParseDeadlineMs(HeaderValue(request.headers(), header));
  return ms ? std::optional<int64_t>(request.arrival_us() + *ms * kUsPerMs) : std::nullopt;
}

// 0 when the sender has named no objective.
inline int64_t ObjectiveOf(const DownstreamRequest& request) {
  return EndOfTimeIn(request, kObjectiveHeader).value_or(0);
}

inline std::string KeyOf(const DownstreamRequest& request) {
  return std::string(HeaderValue(request.headers(), kOrderKeyHeader));
}

}  // namespace guavatrail
