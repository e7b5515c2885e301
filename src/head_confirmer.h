// Defines HeadConfirmer, which proves by a conditional write of the same bytes that a head that was
// read is the current one. A read may be stale; a conditional write on a passed version fails.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "config_store.h"
#include "platform_client.h"
#include "random_source.h"

namespace guavatrail {

// When a node without its keepers' answers has the head confirmed, in ms after its start: first the
// watchers, then the others unless they have heard of a confirmation from after their start, spread
// to about 100 writes a second. `jitter` is a random number that stays the same over a lifetime.
int64_t ConfirmAfterMs(bool is_watcher, size_t members, uint64_t jitter);
// Delay in ms until a confirmation that failed is tried again.
int64_t ConfirmRepeatMs(RandomSource& random);

class HeadConfirmer {
 public:
  struct Handlers {
    // The head at `version` was current at some time after `sent_ms` (monotonic).
    std::function<void(uint64_t version, int64_t sent_ms)> on_confirmed;
    // The head has changed; it must be read again.
    std::function<void()> on_changed;
    // No answer or a refusal.
    std::function<void()> on_failure;
  };

  HeadConfirmer(PlatformClient& client, Handlers handlers)
      : m_client(client), m_handlers(std::move(handlers)) {}

  // One write at a time; a call while one is under way changes nothing.
  void Confirm(const HeadObject& object);
  bool is_busy() const { return m_busy; }

 private:
  void OnWritten(uint64_t version, int64_t sent_ms, const tl::expected<uint64_t, PlatformError>& r);

  PlatformClient& m_client;
  Handlers m_handlers;
  bool m_busy = false;
  // Answers that arrive after destruction are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavatrail
