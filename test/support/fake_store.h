// Defines FakeStore, an in-process stand-in for the users' metadata store. It implements the HTTP
// API of their documentation and injects the failures that a test asks for.
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
#include "http_listener.h"
#include "pending_replies.h"

namespace guavatrail {

class FakeStore {
 public:
  enum class Mode {
    kHealthy,
    kUnavailable,  // Answers with 503; writes have no effect.
    kRateLimited,  // Answers with 429; writes have no effect.
    kNoAnswer,     // Does not answer; writes have no effect.
    kAnswerLost    // Applies writes without answering.
  };

  // The state of the store at a moment.
  struct Copy;

  explicit FakeStore(EventLoop& loop);

  uint16_t port() const { return m_listener.port(); }
  void SetMode(Mode mode) { m_mode = mode; }
  // Limits list pages to `objects` objects and calls `sent` after every page but the last.
  void SetPageSize(size_t objects, std::function<void()> sent) {
    m_page_objects = objects;
    m_on_page_sent = std::move(sent);
  }
  // Writes an object as an operator or another node would.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  // Writes an object whose spec is sent as `text`, which need not be valid JSON.
  void PutText(const std::string& kind, const std::string& name, const std::string& text);
  // Deletes an object without a request from its owner, as an expiry does.
  void Remove(const std::string& kind, const std::string& name);
  // Discards the history of changes and cuts off open watches.
  void Compact();
  // The state to which Restore returns.
  std::shared_ptr<const Copy> TakeCopy() const;
  // Comes back from a copy: what was written since is lost, its revisions are given out again, and
  // the era rises by one. Open watches are cut off.
  void Restore(const Copy& copy);
  // Never answers the open watches of `kind` (empty: of all kinds), as on a connection whose
  // peer has become unreachable.
  void BlackholeWatches(const std::string& kind = "");
  // Applies the write with index `number` again, as a delayed duplicate would. Returns whether its
  // condition still held.
  bool ReplayWrite(size_t number);

  const nlohmann::json* Find(const std::string& kind, const std::string& name) const;
  // The status of an object; null if there is no object.
  const nlohmann::json* FindStatus(const std::string& kind, const std::string& name) const;
  // The names of the objects of a kind.
  std::vector<std::string> NamesOf(const std::string& kind) const;
  uint64_t revision() const { return m_revision; }
  uint64_t era() const { return m_era; }
  int calls() const { return m_calls; }
  // Number of list requests for `kind`.
  int list_calls(const std::string& kind) const { return CountOf(m_list_calls, kind); }
  // Number of watches of `kind` that allowed stale data, and of those that did not.
  int stale_watches(const std::string& kind) const { return CountOf(m_stale_watches, kind); }
  int exact_watches(const std::string& kind) const { return CountOf(m_exact_watches, kind); }
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
    uint64_t expected_revision = 0;  // 0: any revision.
    bool is_status = false;          // Replaces the status and not the spec.
  };
  struct Result {
    int status = 200;
    nlohmann::json body;
  };

  static int CountOf(const std::map<std::string, int>& counts, const std::string& kind) {
    auto it = counts.find(kind);
    return it == counts.end() ? 0 : it->second;
  }
  void OnRequest(std::unique_ptr<DownstreamRequest> request);
  void OnList(std::unique_ptr<DownstreamRequest> request, const std::string& kind);
  void OnWatch(std::unique_ptr<DownstreamRequest> request, const std::string& kind,
               uint64_t revision, int64_t wait_ms);
  Result Apply(const Write& write);
  void Store(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void StoreStatus(const std::string& kind, const std::string& name, const nlohmann::json& status);
  void Erase(const std::string& kind, const std::string& name);
  void RecordChange(const std::string& kind, const nlohmann::json& object, bool removed);
  nlohmann::json EventsSince(const std::string& kind, uint64_t revision) const;
  void AnswerWatches(bool include_expired);
  std::string TextOf(const nlohmann::json& body) const;
  void Reply(std::unique_ptr<DownstreamRequest> request, int status, const nlohmann::json& body);

  EventLoop& m_loop;
  HttpListener m_listener;
  PendingReplies m_replies;
  Mode m_mode = Mode::kHealthy;
  uint64_t m_era = 1;
  uint64_t m_revision = 7;
  uint64_t m_compacted_revision = 0;  // Changes up to this revision were discarded.
  int m_calls = 0;
  size_t m_page_objects = 0;  // 0: unlimited.
  std::function<void()> m_on_page_sent;
  std::map<std::string, int> m_list_calls;
  std::map<std::string, int> m_stale_watches;
  std::map<std::string, int> m_exact_watches;
  std::map<std::string, std::map<std::string, Object>> m_kinds;
  std::vector<Change> m_history;
  std::list<std::unique_ptr<Watch>> m_watches;
  std::vector<std::unique_ptr<DownstreamRequest>> m_unanswered;
  std::vector<Write> m_writes;
  std::map<std::string, std::string> m_texts;  // By the string that stands for them in a spec.
};

}  // namespace guavatrail
