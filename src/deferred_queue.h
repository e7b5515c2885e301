// Defines DeferredQueue, which runs functions on the event loop after the current callback has
// returned.
#pragma once

#include <functional>
#include <vector>

#include "event_loop.h"

namespace guavatrail {

// libevent objects must not be freed inside their own callbacks, so their owners post the release
// here. Destroying the queue drops the functions that have not run yet.
class DeferredQueue {
 public:
  explicit DeferredQueue(EventLoop& loop) : m_timer(loop, [this] { RunAll(); }) {}

  void Post(std::function<void()> function) {
    m_functions.push_back(std::move(function));
    if (!m_timer.IsPending()) m_timer.Start(std::chrono::microseconds(0));
  }

 private:
  void RunAll() {
    std::vector<std::function<void()>> functions;
    functions.swap(m_functions);
    for (auto& function : functions) function();
  }

  std::vector<std::function<void()>> m_functions;
  Timer m_timer;
};

}  // namespace guavatrail
