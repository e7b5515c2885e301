#include "event_loop.h"

#include <glog/logging.h>

#include <csignal>
#include <ctime>

namespace guavatrail {

struct EventLoop::SignalHandler {
  std::function<void()> handler;
  event* signal_event = nullptr;
  ~SignalHandler() {
    if (signal_event != nullptr) event_free(signal_event);
  }
};

EventLoop::EventLoop() {
  // libevent writes without MSG_NOSIGNAL. A connection that its peer has closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  CHECK(config != nullptr) << "event_config_new failed";
  // The coarse clock of the default configuration is off by up to 4 ms, which is more than the
  // latency that the mesh may add to a call.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // Without the change list each read and write of a connection costs up to three epoll_ctl calls,
  // which were half of all system calls of a node under load. The change list misses the closing of
  // a descriptor while a duplicate of it stays open, which does not occur in this process.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  m_base.reset(event_base_new_with_config(config));
  event_config_free(config);
  CHECK(m_base != nullptr) << "event_base_new_with_config failed";
}

EventLoop::~EventLoop() { m_signals.clear(); }

void EventLoop::Run() {
  do {
    event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    EndPass();
  } while (event_base_got_break(m_base.get()) == 0 && event_base_got_exit(m_base.get()) == 0);
}

void EventLoop::EndPass() {
  if (!m_pass_timer.is_running()) return;
  LoopPass pass = m_pass_timer.EndPass(NowUs());
  if (m_pass_observer) m_pass_observer(pass);
}

void EventLoop::Stop() { event_base_loopbreak(m_base.get()); }

void EventLoop::StopAfter(std::chrono::milliseconds delay) {
  timeval tv{};
  tv.tv_sec = delay.count() / 1000;
  tv.tv_usec = delay.count() % 1000 * 1000;
  event_base_loopexit(m_base.get(), &tv);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> handler) {
  auto entry = std::make_unique<SignalHandler>();
  entry->handler = std::move(handler);
  auto callback = [](evutil_socket_t, short, void* arg) {
    static_cast<SignalHandler*>(arg)->handler();
  };
  entry->signal_event = evsignal_new(m_base.get(), signal_number, callback, entry.get());
  CHECK(entry->signal_event != nullptr) << "evsignal_new failed";
  event_add(entry->signal_event, nullptr);
  m_signals.push_back(std::move(entry));
}

int64_t EventLoop::NowUs() {
  // The steady clock stops while the VM is suspended, but deadlines keep running.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

int64_t EventLoop::WallMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Timer::Timer(EventLoop& loop, std::function<void()> handler)
    : m_callback(std::make_shared<Callback>(Callback{loop, std::move(handler)})) {
  auto on_timer = [](evutil_socket_t, short, void* arg) {
    std::shared_ptr<Callback> callback = *static_cast<std::shared_ptr<Callback>*>(arg);
    callback->loop.BeginCallback(LoopWork::kTimer);
    callback->handler();
  };
  m_event.reset(evtimer_new(loop.base(), on_timer, &m_callback));
  CHECK(m_event != nullptr) << "evtimer_new failed";
}

Timer::~Timer() = default;

void Timer::Start(std::chrono::microseconds delay) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval tv{};
  tv.tv_sec = delay.count() / kMicrosecondsPerSecond;
  tv.tv_usec = delay.count() % kMicrosecondsPerSecond;
  evtimer_add(m_event.get(), &tv);
}

void Timer::Cancel() { evtimer_del(m_event.get()); }

bool Timer::IsPending() const { return evtimer_pending(m_event.get(), nullptr) != 0; }

}  // namespace guavatrail
