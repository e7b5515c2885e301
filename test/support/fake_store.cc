#include "fake_store.h"

#include <algorithm>
#include <stdexcept>

namespace guavatrail {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/guavatrail/objects/";
constexpr std::string_view kStatusSuffix = "/status";

// Returns the value of query parameter `key`, or an empty string if it is absent.
std::string QueryValue(const std::string& target, const std::string& key) {
  size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::string rest = "&" + target.substr(query + 1);
  size_t at = rest.find("&" + key + "=");
  if (at == std::string::npos) return "";
  at += key.size() + 2;
  return rest.substr(at, rest.find('&', at) - at);
}

uint64_t NumberOr(const std::string& text, uint64_t otherwise) {
  return text.empty() ? otherwise : std::stoull(text);
}

}  // namespace

struct FakeStore::Copy {
  uint64_t revision = 0;
  uint64_t compacted_revision = 0;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Change> history;
};

FakeStore::FakeStore(EventLoop& loop)
    : m_loop(loop),
      m_listener(loop, [this](auto request) { OnRequest(std::move(request)); }),
      m_replies(loop) {
  if (!m_listener.Listen("127.0.0.1", 0)) throw std::runtime_error("FakeStore: cannot listen");
}

void FakeStore::Reply(std::unique_ptr<DownstreamRequest> request, int status, const json& body) {
  m_replies.Reply(std::move(request), status,
                  {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}},
                  body.is_null() ? "" : TextOf(body));
}

void FakeStore::OnRequest(std::unique_ptr<DownstreamRequest> request) {
  ++m_calls;
  if (m_mode == Mode::kNoAnswer) {
    m_unanswered.push_back(std::move(request));
    return;
  }
  if (m_mode == Mode::kUnavailable || m_mode == Mode::kRateLimited) {
    Reply(std::move(request), m_mode == Mode::kUnavailable ? 503 : 429, nullptr);
    return;
  }
  std::string path(request->path().substr(kPrefix.size()));
  size_t slash = path.find('/');
  std::string kind = path.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  bool is_status = name.ends_with(kStatusSuffix);
  if (is_status) name.resize(name.size() - kStatusSuffix.size());
  if (request->method() == EVHTTP_REQ_GET) {
    std::string watch = QueryValue(request->target(), "watch");
    if (watch.empty()) {
      ++m_list_calls[kind];
      OnList(std::move(request), kind);
      return;
    }
    bool is_stale = QueryValue(request->target(), "serializable") == "1";
    ++(is_stale ? m_stale_watches : m_exact_watches)[kind];
    auto wait_ms = static_cast<int64_t>(NumberOr(QueryValue(request->target(), "wait-ms"), 0));
    OnWatch(std::move(request), kind, std::stoull(watch), wait_ms);
    return;
  }
  Write write{request->method(),
              kind,
              name,
              json::parse(*request->body(), nullptr, false),
              NumberOr(QueryValue(request->target(), "rev"), 0),
              is_status};
  if (write.body.is_object() && write.body["metadata"].contains("rev")) {
    write.expected_revision = write.body["metadata"]["rev"].get<uint64_t>();
  }
  if (write.name.empty()) write.name = write.body["metadata"]["name"].get<std::string>();
  m_writes.push_back(write);
  Result result = Apply(write);
  if (m_mode == Mode::kAnswerLost) {
    m_unanswered.push_back(std::move(request));
  } else {
    Reply(std::move(request), result.status, result.body);
  }
}

FakeStore::Result FakeStore::Apply(const Write& write) {
  auto& objects = m_kinds[write.kind];
  auto it = objects.find(write.name);
  if (write.method == EVHTTP_REQ_POST) {
    if (it != objects.end()) return {409, it->second.value};
    Store(write.kind, write.name, write.body["spec"]);
    return {200, objects[write.name].value};
  }
  if (it == objects.end()) return {404, nullptr};
  if (write.expected_revision != 0 && write.expected_revision != it->second.revision) {
    return {409, it->second.value};
  }
  if (write.method == EVHTTP_REQ_DELETE) {
    json before = it->second.value;
    Erase(write.kind, write.name);
    return {200, before};
  }
  if (write.is_status) {
    if (it->second.value["status"] != write.body["status"]) {
      StoreStatus(write.kind, write.name, write.body["status"]);
    }
  } else if (it->second.value["spec"] != write.body["spec"]) {
    Store(write.kind, write.name, write.body["spec"]);
  }
  return {200, objects[write.name].value};
}

bool FakeStore::ReplayWrite(size_t number) { return Apply(m_writes.at(number)).status == 200; }

void FakeStore::PutText(const std::string& kind, const std::string& name, const std::string& text) {
  std::string placeholder = "text-" + std::to_string(m_texts.size());
  m_texts[json(placeholder).dump()] = text;
  Put(kind, name, placeholder);
}

std::string FakeStore::TextOf(const json& body) const {
  std::string text = body.dump();
  for (const auto& [placeholder, replacement] : m_texts) {
    for (size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + replacement.size())) {
      text.replace(at, placeholder.size(), replacement);
    }
  }
  return text;
}

void FakeStore::Put(const std::string& kind, const std::string& name, const json& spec) {
  Store(kind, name, spec);
}

void FakeStore::Remove(const std::string& kind, const std::string& name) { Erase(kind, name); }

void FakeStore::Store(const std::string& kind, const std::string& name, const json& spec) {
  Object& object = m_kinds[kind][name];
  // A write of the spec leaves the status.
  json status = object.value.is_object() ? object.value["status"] : json();
  object.revision = ++m_revision;
  object.value = {
      {"metadata", {{"name", name}, {"rev", m_revision}, {"finalizers", json::array()}}},
      {"spec", spec},
      {"status", status}};
  RecordChange(kind, object.value, false);
}

void FakeStore::StoreStatus(const std::string& kind, const std::string& name, const json& status) {
  Object& object = m_kinds[kind][name];
  object.revision = ++m_revision;
  object.value["metadata"]["rev"] = m_revision;
  object.value["status"] = status;
  RecordChange(kind, object.value, false);
}

void FakeStore::Erase(const std::string& kind, const std::string& name) {
  auto it = m_kinds[kind].find(name);
  if (it == m_kinds[kind].end()) return;
  json value = it->second.value;
  m_kinds[kind].erase(it);
  ++m_revision;
  RecordChange(kind, value, true);
}

void FakeStore::RecordChange(const std::string& kind, const json& object, bool removed) {
  m_history.push_back({m_revision, kind, {{"removed", removed}, {"object", object}}});
  AnswerWatches(false);
}

void FakeStore::OnList(std::unique_ptr<DownstreamRequest> request, const std::string& kind) {
  const auto& objects = m_kinds[kind];
  std::string after = QueryValue(request->target(), "after");
  json items = json::array();
  auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
  for (; it != objects.end(); ++it) {
    if (m_page_objects > 0 && items.size() == m_page_objects) break;
    items.push_back(it->second.value);
  }
  bool has_more = it != objects.end();
  Reply(std::move(request), 200,
        {{"items", items}, {"has-more", has_more}, {"current-rev", m_revision}});
  if (has_more && m_on_page_sent) m_on_page_sent();
}

json FakeStore::EventsSince(const std::string& kind, uint64_t revision) const {
  json events = json::array();
  for (const Change& change : m_history) {
    if (change.kind == kind && change.revision > revision) events.push_back(change.event);
  }
  return events;
}

void FakeStore::OnWatch(std::unique_ptr<DownstreamRequest> request, const std::string& kind,
                        uint64_t revision, int64_t wait_ms) {
  if (revision < m_compacted_revision || revision > m_revision) {
    Reply(std::move(request), 410, nullptr);
    return;
  }
  auto watch = std::make_unique<Watch>();
  watch->kind = kind;
  watch->revision = revision;
  watch->request = std::move(request);
  Watch* raw = watch.get();
  watch->timer = std::make_unique<Timer>(m_loop, [this, raw] {
    raw->revision = 0;
    raw->kind = "";
    AnswerWatches(true);
  });
  watch->timer->Start(std::chrono::milliseconds(wait_ms));
  m_watches.push_back(std::move(watch));
  AnswerWatches(false);
}

// Completes the watches that have events. With `include_expired`, also completes expired watches,
// which have an empty kind, without events, and keeps completed watches in the list, because one of
// them owns the timer whose callback is running.
void FakeStore::AnswerWatches(bool include_expired) {
  for (auto& watch : m_watches) {
    json events = watch->kind.empty() ? json::array() : EventsSince(watch->kind, watch->revision);
    if (watch->request == nullptr) continue;
    if (events.empty() && !(include_expired && watch->kind.empty())) continue;
    Reply(std::move(watch->request), 200, {{"events", events}, {"current-rev", m_revision}});
    watch->is_done = true;
  }
  if (!include_expired) m_watches.remove_if([](const auto& watch) { return watch->is_done; });
}

void FakeStore::Compact() {
  m_history.clear();
  m_compacted_revision = ++m_revision;
  m_watches.clear();
}

std::shared_ptr<const FakeStore::Copy> FakeStore::TakeCopy() const {
  return std::make_shared<const Copy>(Copy{m_revision, m_compacted_revision, m_kinds, m_history});
}

void FakeStore::Restore(const Copy& copy) {
  m_revision = copy.revision;
  m_compacted_revision = copy.compacted_revision;
  m_kinds = copy.kinds;
  m_history = copy.history;
  ++m_era;
  m_watches.clear();
}

void FakeStore::BlackholeWatches(const std::string& kind) {
  for (auto& watch : m_watches) {
    if (!kind.empty() && watch->kind != kind) continue;
    m_unanswered.push_back(std::move(watch->request));
    watch->is_done = true;
  }
  m_watches.remove_if([](const auto& watch) { return watch->is_done; });
}

size_t FakeStore::OpenWatches(const std::string& kind) const {
  return static_cast<size_t>(std::count_if(m_watches.begin(), m_watches.end(),
                                           [&](const auto& watch) { return watch->kind == kind; }));
}

const json* FakeStore::Find(const std::string& kind, const std::string& name) const {
  auto objects = m_kinds.find(kind);
  if (objects == m_kinds.end()) return nullptr;
  auto it = objects->second.find(name);
  return it == objects->second.end() ? nullptr : &it->second.value["spec"];
}

const json* FakeStore::FindStatus(const std::string& kind, const std::string& name) const {
  auto objects = m_kinds.find(kind);
  if (objects == m_kinds.end()) return nullptr;
  auto it = objects->second.find(name);
  return it == objects->second.end() ? nullptr : &it->second.value["status"];
}

std::vector<std::string> FakeStore::NamesOf(const std::string& kind) const {
  std::vector<std::string> names;
  auto objects = m_kinds.find(kind);
  if (objects == m_kinds.end()) return names;
  for (const auto& [name, object] : objects->second) names.push_back(name);
  return names;
}

}  // namespace guavatrail
