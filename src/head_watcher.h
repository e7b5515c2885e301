// Defines HeadWatcher, which reads config/head once or watches it for changes, with backoff when
// the platform fails.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "config_store.h"
#include "delivery.h"
#include "event_loop.h"
#include "metrics.h"
#include "platform_client.h"
#include "random_source.h"

namespace guavatrail {

class HeadWatcher {
 public:
  struct Handlers {
    // The head was read; its object version never decreases between calls.
    std::function<void(const HeadObject& head)> on_head;
    // The platform answered that the head has not changed.
    std::function<void()> on_unchanged;
    std::function<void()> on_failure;
  };

  // `watch_ms` is the longest duration of one watch request.
  HeadWatcher(EventLoop& loop, PlatformClient& client, RandomSource& random, Metrics& metrics,
              int64_t watch_ms, Handlers handlers);

  // Turns watching for changes on or off.
  void SetWatching(bool watching);
  bool watching() const { return m_watching; }
  // Reads the head once, unless a call is in progress or a retry is scheduled.
  void ReadOnce();

 private:
  void StartCall();
  void OnRead(tl::expected<HeadObject, StoreError> read);
  void OnWatch(tl::expected<std::optional<PlatformObject>, PlatformError> answer);
  void OnHead(const HeadObject& head);
  void OnStaleHead();
  void OnFailure(const std::string& reason);
  void StartNextCall();

  EventLoop& m_loop;
  PlatformClient& m_client;
  RandomSource& m_random;
  Metrics& m_metrics;
  int64_t m_watch_ms;
  Handlers m_handlers;
  bool m_watching = false;
  bool m_busy = false;
  // The first call is a plain read, so that a missing head is known at once and not after a watch.
  bool m_has_read = false;
  uint64_t m_object_version = 0;
  Backoff m_backoff;
  Timer m_retry;
  // Expires on destruction, so that later answers are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavatrail
