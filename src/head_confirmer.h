// Defines HeadConfirmer, which verifies that a head read from the platform is current by writing
// the same bytes back conditionally. A read may be stale, but a conditional write on an outdated
// version fails.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "config_store.h"
#include "platform_client.h"
#include "random_source.h"

namespace guavatrail {

// Delay in ms after its start until a node that has no answers of its acceptors confirms the head.
// Watchers go first. Other nodes follow unless they have learned of a confirmation made after their
// start, spread to about 100 writes per second. `jitter` is a random number that is constant over
// the lifetime of the process.
int64_t ConfirmationDelayMs(bool is_watcher, size_t members, uint64_t jitter);
// Delay in ms before a failed confirmation is retried.
int64_t ConfirmationRetryDelayMs(RandomSource& random);

class HeadConfirmer {
 public:
  struct Handlers {
    // The head at `version` was current at some time after `sent_ms` (monotonic clock).
    std::function<void(uint64_t version, int64_t sent_ms)> on_confirmed;
    // The head has changed and must be read again.
    std::function<void()> on_changed;
    // The platform did not answer or refused the write.
    std::function<void()> on_failure;
  };

  HeadConfirmer(PlatformClient& client, Handlers handlers)
      : m_client(client), m_handlers(std::move(handlers)) {}

  // Starts a confirming write, unless one is already in progress.
  void Confirm(const HeadObject& object);
  bool is_busy() const { return m_busy; }

 private:
  void OnWritten(uint64_t version, int64_t sent_ms, const tl::expected<uint64_t, PlatformError>& r);

  PlatformClient& m_client;
  Handlers m_handlers;
  bool m_busy = false;
  // Expires on destruction, so that later answers are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavatrail
