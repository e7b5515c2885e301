// Defines Publisher, which publishes release notes by executing the decisions of publish_decision.h
// through a platform client.
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

// The note was accepted in this run.
struct Published {
  uint64_t version = 0;
};
// The note was accepted before this run wrote anything.
struct AlreadyPublished {
  uint64_t version = 0;
};
// The note was not accepted, and no pending write of it can still take effect.
struct PublishRefused {
  std::string reason;
  std::string conflicting_note;  // Empty when no other note is the reason.
};
// The platform did not answer in time. Publishing again is safe: the id identifies the note.
struct PublishUnknown {
  std::string how_to_find_out;
  // Whether this run has sent an update of the head. An earlier run may have sent one in any case.
  bool head_update_sent = false;
};
using PublishResult = std::variant<Published, AlreadyPublished, PublishRefused, PublishUnknown>;

class Publisher {
 public:
  struct Options {
    // The outcome is reported as unknown after this time.
    std::chrono::milliseconds timeout{20'000};
    // Delay before the first retry; doubles with jitter up to the longest delay.
    std::chrono::milliseconds first_retry{20};
    std::chrono::milliseconds longest_retry{1'000};
  };

  Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random, Options options);
  Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random);
  ~Publisher();

  // Publishes a note; an invalid or too large one is refused. Calls `done` once, on the loop,
  // unless the publisher is destroyed first.
  void Publish(const ReleaseNote& note, std::function<void(PublishResult)> done);

 private:
  class Publication;
  EventLoop& m_loop;
  PlatformClient& m_client;
  RandomSource& m_random;
  Options m_options;
  // The table as last read; later reads need only the notes after it.
  std::shared_ptr<const ConfigTable> m_table;
  std::vector<std::shared_ptr<Publication>> m_publications;
};

}  // namespace guavatrail
