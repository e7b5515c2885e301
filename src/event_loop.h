// Defines EventLoop, the single-threaded event loop of a process, and Timer.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "loop_pass.h"

namespace guavatrail {

// Owns one libevent base. Not thread-safe: everything runs on the thread that calls Run(). The
// process ignores SIGPIPE from the creation of the first one on.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return m_base.get(); }

  // Runs until Stop() is called.
  void Run();
  void Stop();
  // Stops after `delay`, even when events are still pending.
  void StopAfter(std::chrono::milliseconds delay);

  // From now on calls `observer` after each pass of Run() that had a callback; null: calls nothing.
  void SetPassObserver(std::function<void(const LoopPass&)> observer) {
    m_pass_observer = std::move(observer);
  }
  // To be called first in each callback from libevent.
  void BeginCallback(LoopWork work) { m_pass_timer.BeginCallback(work, NowUs()); }

  // Calls `handler` on the loop whenever `signal_number` arrives.
  void OnSignal(int signal_number, std::function<void()> handler);

  // Monotonic time in microseconds, including the time for which the VM was suspended.
  static int64_t NowUs();
  // Wall-clock time in milliseconds since the Unix epoch.
  static int64_t WallMs();

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  struct SignalHandler;
  void EndPass();

  std::unique_ptr<event_base, BaseDeleter> m_base;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
  PassTimer m_pass_timer;
  std::function<void(const LoopPass&)> m_pass_observer;
};

// A timer on an event loop; destroying it cancels it. The handler may restart, cancel or destroy
// its own timer.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> handler);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // (Re)starts the timer to fire once after `delay`.
  void Start(std::chrono::microseconds delay);
  void Cancel();
  bool IsPending() const;

 private:
  struct EventDeleter {
    void operator()(event* e) const { event_free(e); }
  };
  struct Callback {
    EventLoop& loop;
    std::function<void()> handler;
  };
  // Shared, so that a handler that destroys its own timer stays valid until it returns.
  std::shared_ptr<Callback> m_callback;
  std::unique_ptr<event, EventDeleter> m_event;
};

}  // namespace guavatrail
