// Defines Publisher, which publishes release notes: it carries out the decisions of
// publish_decision.h over a platform client.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config_table.h"
#include "event_loop.h"
#include "platform_client.h"
#include "random_source.h"

namespace guavatrail {

// This run's note was accepted.
struct Published {
  uint64_t version = 0;
};
// The note was accepted before this run wrote anything.
struct AlreadyPublished {
  uint64_t version = 0;
};
// The note is not accepted and no write of it can take effect any more.
struct PublishRefused {
  std::string reason;
  std::string conflicting_note;  // Empty when no other note is the reason.
};
// The platform did not answer in time. Repeating the publication is safe: the id is the identity.
struct PublishUnknown {
  std::string how_to_find_out;
  // Whether this run has tried to change the head; an earlier run may have in any case.
  bool head_update_sent = false;
};
using PublishResult = std::variant<Published, AlreadyPublished, PublishRefused, PublishUnknown>;

class Publisher {
 public:
  struct Options {
    // Time after which the outcome is reported as unknown.
    std::chrono::milliseconds timeout{20'000};
    // Delay before the first retry; doubles up to the longest delay, with jitter.
    std::chrono::milliseconds first_retry{20};
    std::chrono::milliseconds longest_retry{1'000};
  };

  Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random, Options options);
  Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random);
  ~Publisher();

  // Publishes a valid note; `done` runs once, on the loop. Destroying the publisher drops it.
  void Publish(const ReleaseNote& note, std::function<void(PublishResult)> done);

 private:
  class Run;
  EventLoop& m_loop;
  PlatformClient& m_client;
  RandomSource& m_random;
  Options m_options;
  // The table that was read last; later reads need only the notes after it.
  std::shared_ptr<const ConfigTable> m_table;
  std::vector<std::shared_ptr<Run>> m_runs;
};

}  // namespace guavatrail
