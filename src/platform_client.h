// Defines PlatformClient, an asynchronous client of the platform's object API over HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "event_loop.h"

struct evhttp_connection;

namespace guavatrail {

// An object with its value and the version to which conditional updates refer.
struct PlatformObject {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

struct PlatformError {
  enum class Code {
    kNotFound,     // No such object.
    kConflict,     // The precondition failed; nothing was written.
    kTooLarge,     // The value exceeds the platform's limit; nothing was written.
    kHistoryGone,  // The platform no longer has the changes since the given revision.
    kUnavailable,  // The platform refused before acting (outage, rate limit); nothing was written.
    // No answer, or an unexpected HTTP status: a write may have taken effect, or may do so later.
    kUnknown,
  };
  Code code = Code::kUnknown;
  std::string message;
};

std::string_view ToString(PlatformError::Code code);

// The largest value that the platform stores, in bytes.
inline constexpr size_t kPlatformValueLimit = 1'000'000;

// Each request uses a connection of its own, so requests do not wait for each other. Handlers run
// on the loop, never inside the call that starts the request. Destroying the client drops pending
// handlers.
class PlatformClient {
 public:
  struct Options {
    std::string ip;
    uint16_t port = 0;
    std::chrono::milliseconds timeout{2000};
  };
  template <typename T>
  using Handler = std::function<void(tl::expected<T, PlatformError>)>;

  PlatformClient(EventLoop& loop, Options options);
  ~PlatformClient();

  // Queries.
  void Read(std::string_view key, Handler<PlatformObject> handler);
  // Answers as soon as the object's version exceeds `after`, or with nullopt after `wait`.
  void Watch(std::string_view key, uint64_t after, std::chrono::milliseconds wait,
             Handler<std::optional<PlatformObject>> handler);
  // Lists the keys that start with `prefix`, in order.
  void List(std::string_view prefix, Handler<std::vector<std::string>> handler);

  // Commands; the result is the object's new version.
  void Create(std::string_view key, std::string_view value, Handler<uint64_t> handler);
  void Update(std::string_view key, std::string_view value, uint64_t expected_version,
              Handler<uint64_t> handler);
  void Remove(std::string_view key, uint64_t expected_version, Handler<uint64_t> handler);

  // Number of requests sent, for metrics.
  uint64_t calls() const { return m_calls; }

 private:
  struct Request;
  struct Reply;
  void Send(std::unique_ptr<Request> request);
  // Schedules a connection to be freed after the callback of its request has returned.
  void Discard(evhttp_connection* connection);
  void FreeDiscarded();

  EventLoop& m_loop;
  Options m_options;
  uint64_t m_calls = 0;
  // Open requests, so that the destructor can free them. Each owns itself until it finishes.
  std::vector<Request*> m_open;
  std::vector<evhttp_connection*> m_discarded;
  Timer m_free_discarded;
};

}  // namespace guavatrail
