// Defines FakeStore, a hand-written stand-in of the users' metadata store, spoken to as their pages
// say, that fails as a test tells it.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "downstream_request.h"
#include "event_loop.h"

namespace guavatrail {

class FakeStore {
 public:
  enum class Mode {
    kHealthy,
    kUnavailable,  // 503, nothing done.
    kRateLimited,  // 429, nothing done.
    kNoAnswer,     // No answer, nothing done.
    kAnswerLost    // Writes are done and not answered.
  };

  explicit FakeStore(EventLoop& loop);

  uint16_t port() const { return m_listener.port(); }
  void SetMode(Mode mode) { m_mode = mode; }
  // Lists at most `objects` at a time, and calls `sent` after each page that more follow.
  void SetPageSize(size_t objects, std::function<void()> sent) {
    m_page_objects = objects;
    m_on_page_sent = std::move(sent);
  }
  // Writes as the operator or another node would.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  // Takes an object away without a word from its owner, as a lapse does.
  void Remove(const std::string& kind, const std::string& name);
  // Forgets the history, and cuts off waiting watches.
  void Compact();
  // Leaves the waiting watches of a kind, or of all, unanswered for good, as a connection that has
  // gone silent does.
  void BlackholeWatches(const std::string& kind = "");
  // Carries out a write that was sent earlier once more, as a delayed one would be. Returns whether
  // its condition still held.
  bool ReplayWrite(size_t number);

  const nlohmann::json* Find(const std::string& kind, const std::string& name) const;
  uint64_t revision() const { return m_revision; }
  int calls() const { return m_calls; }
  // Readings of a whole kind.
  int list_calls(const std::string& kind) const {
    auto it = m_list_calls.find(kind);
    return it == m_list_calls.end() ? 0 : it->second;
  }
  int writes() const { return static_cast<int>(m_writes.size()); }
  size_t open_watches() const { return m_watches.size(); }
  size_t OpenWatches(const std::string& kind) const;

 private:
  struct Object {
    nlohmann::json value;  // With metadata, spec and status.
    uint64_t revision = 0;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };
  struct Watch {
    std::string kind;
    uint64_t revision = 0;
    std::unique_ptr<DownstreamRequest> request;
    std::unique_ptr<Timer> timer;
    bool is_done = false;
  };
  struct Write {
    evhttp_cmd_type method;
    std::string kind;
    std::string name;
    nlohmann::json body;
    uint64_t expected_revision = 0;  // 0: none.
  };
  struct Result {
    int status = 200;
    nlohmann::json body;
  };

  void OnRequest(std::unique_ptr<DownstreamRequest> request);
  void OnList(std::unique_ptr<DownstreamRequest> request, const std::string& kind);
  void OnWatch(std::unique_ptr<DownstreamRequest> request, const std::string& kind,
               uint64_t revision, int64_t wait_ms);
  Result Apply(const Write& write);
  void Store(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Erase(const std::string& kind, const std::string& name);
  void RecordChange(const std::string& kind, const nlohmann::json& object, bool removed);
  nlohmann::json EventsSince(const std::string& kind, uint64_t revision) const;
  void AnswerWatches(bool all);
  void Reply(std::unique_ptr<DownstreamRequest> request, int status, const nlohmann::json& body);

  EventLoop& m_loop;
  HttpListener m_listener;
  PendingReplies m_replies;
  Mode m_mode = Mode::kHealthy;
  uint64_t m_revision = 7;
  uint64_t m_compacted_revision = 0;  // History up to here is gone.
  int m_calls = 0;
  size_t m_page_objects = 0;  // 0: all at once.
  std::function<void()> m_on_page_sent;
  std::map<std::string, int> m_list_calls;
  std::map<std::string, std::map<std::string, Object>> m_kinds;
  std::vector<Change> m_history;
  std::list<std::unique_ptr<Watch>> m_watches;
  std::vector<std::unique_ptr<DownstreamRequest>> m_unanswered;
  std::vector<Write> m_writes;
};

}  // namespace guavatrail
