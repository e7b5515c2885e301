// Defines FakePlatform, an in-process HTTP server that implements the platform's object API and
// injects faults, for tests of code that runs on the same event loop.
#pragma once

#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop.h"

namespace guavatrail {

enum class Fault {
  kNone,
  kRequestLost,   // The request is lost.
  kAnswerLost,    // The write takes effect; the answer is lost.
  kWriteDelayed,  // The write takes effect after `write_delay`; the answer is lost.
  kUnavailable,   // The answer is 503; a write has no effect.
  kStale,         // A read returns the version before the current one.
};

class FakePlatform {
 public:
  // Called for each request with its method ("GET", "PUT") and key.
  using FaultRule = std::function<Fault(std::string_view method, std::string_view key)>;

  explicit FakePlatform(EventLoop& loop);
  ~FakePlatform();

  uint16_t port() const { return m_port; }
  void SetFaultRule(FaultRule rule) { m_rule = std::move(rule); }
  std::chrono::milliseconds write_delay{30};

  // Access without HTTP, for the test.
  std::optional<std::string> Value(const std::string& key) const;
  uint64_t Version(const std::string& key) const;
  void Put(const std::string& key, const std::string& value);
  uint64_t requests() const { return m_requests; }
  uint64_t Requests(const std::string& key) const;

 private:
  struct Watch {
    evhttp_request* request;
    std::string key;
    uint64_t after;
    std::unique_ptr<Timer> expiry;
  };

  static void OnRequest(evhttp_request* request, void* self);
  void Handle(evhttp_request* request);
  void HandleRead(evhttp_request* request, const std::string& key, Fault fault);
  void HandleWrite(evhttp_request* request, const std::string& key, Fault fault);
  void HandleList(evhttp_request* request, const std::string& prefix);
  void AddWatch(evhttp_request* request, const std::string& key, uint64_t after, int64_t wait_ms);
  void CompleteWatches(const std::string& key);
  void RemoveWatch(evhttp_request* request);
  // Applies a conditional write and returns the HTTP status.
  int Write(const std::string& key, const std::string& value, const std::string& if_match,
            const std::string& if_none_match);
  void Answer(evhttp_request* request, int status, const std::string& body, uint64_t version);
  void Drop(evhttp_request* request);
  void After(std::chrono::microseconds delay, std::function<void()> action);

  EventLoop& m_loop;
  evhttp* m_http = nullptr;
  uint16_t m_port = 0;
  FaultRule m_rule;
  uint64_t m_requests = 0;
  std::map<std::string, uint64_t> m_requests_by_key;
  // All versions of each object; the first element is version 1.
  std::map<std::string, std::vector<std::string>> m_objects;
  std::vector<std::unique_ptr<Watch>> m_watches;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace guavatrail
