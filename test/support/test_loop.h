// Defines RunUntil, which runs an event loop until a condition holds or a time limit has passed.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>

#include "event_loop.h"

namespace guavatrail {

// Returns whether `condition` became true within `bound`.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& condition,
                     std::chrono::milliseconds bound = std::chrono::milliseconds(5000)) {
  int64_t end_us = EventLoop::NowUs() + bound.count() * 1000;
  Timer tick(loop, [] {});
  while (!condition()) {
    if (EventLoop::NowUs() > end_us) return false;
    // Polls, because the condition may change without an event, for example with the clock.
    tick.Start(std::chrono::milliseconds(2));
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
  return true;
}

// Runs the loop for `time`, for tests that check that something does not happen.
inline void RunFor(EventLoop& loop, std::chrono::milliseconds time) {
  RunUntil(
      loop, [] { return false; }, time);
}

}  // namespace guavatrail
