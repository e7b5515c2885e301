// Guards against an order of writes, outages, returns of the store from older copies, late writes
// and compactions after which a watcher misses a change or a node's record stays wrong. Explores
// such orders at random, with real watchers and record writers at one stand-in store for each seed.
#include <gtest/gtest.h>

#include "endpoint_fixture.h"
#include "endpoint_record_writer.h"
#include "fake_store.h"
#include "object_watcher.h"
#include "test_loop.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kSeeds = 24;
constexpr int kSteps = 120;
constexpr milliseconds kStepTime{25};
// Time in which the watchers and the record writers must have recovered after the last fault.
constexpr milliseconds kRecoveryTime{2'500};

// The state of a store as seen by one watcher that lists and watches two kinds, and a node whose
// server changes its state.
class ExploredNode {
 public:
  ExploredNode(EventLoop& loop, uint64_t seed)
      : m_random(seed),
        m_store(loop),
        m_client(loop, {"127.0.0.1", m_store.port(), milliseconds(150)}, m_metrics),
        m_things(loop, m_client, m_random, {.kind = "things", .wait = milliseconds(200)},
                 {.on_list_started = [this] { m_seen.clear(); },
                  .on_put = [this](const StoredObject& o) { m_seen[o.name] = o.spec; },
                  .on_removed = [this](const std::string& name) { m_seen.erase(name); },
                  .on_list_finished = [](auto) {},
                  .on_confirmed = [](auto) {}}),
        m_records(
            loop, m_client, m_random, {.kind = kEndpointKind, .wait = milliseconds(200)},
            {.on_list_started = [] {},
             .on_put = [this](const StoredObject& o) { m_writer.OnStored(o.revision, o.spec); },
             .on_removed = [this](const std::string&) { m_writer.OnRemoved(); },
             .on_list_finished = [](auto) {},
             .on_confirmed = [](auto) {}}),
        m_writer(loop, m_client, m_random, "node-1", [](const json&) {}) {
    m_client.SetEraHandler([this] { m_writer.OnNewEra(); });
    m_things.Start();
    m_records.Start();
    SetNextRecord();
  }

  // Makes one random change or fault.
  void Step() {
    switch (m_random.Below(14)) {
      case 0:
      case 1:
      case 2:
      case 3:
        PutThing();
        break;
      case 4:
        m_store.Remove("things", ThingName());
        break;
      case 5:
      case 6:
        SetNextRecord();
        break;
      case 7:
        m_copy = m_store.TakeCopy();
        break;
      case 8:
        Return();
        break;
      case 9:
        m_store.SetMode(FakeStore::Mode::kUnavailable);
        break;
      case 10:
        m_store.SetMode(FakeStore::Mode::kNoAnswer);
        break;
      case 11:
        m_store.SetMode(FakeStore::Mode::kAnswerLost);
        break;
      case 12:
        if (m_store.writes() > 0) {
          m_store.ReplayWrite(m_random.Below(static_cast<uint64_t>(m_store.writes())));
        }
        break;
      default:
        m_store.SetMode(FakeStore::Mode::kHealthy);
    }
  }

  // Ends the faults. The last one is a return, after which revisions are given out again.
  void EndFaults() {
    Return();
    uint64_t changes = m_random.Below(6);
    for (uint64_t i = 0; i < changes; ++i) PutThing();
    m_store.SetMode(FakeStore::Mode::kHealthy);
  }

  bool HasConverged() const {
    const json* record = m_store.Find(kEndpointKind, "node-1");
    if (record == nullptr || *record != EncodeRecord(m_record) || !m_writer.is_stored()) {
      return false;
    }
    for (uint64_t i = 0; i < kThings; ++i) {
      std::string name = NameOf(i);
      const json* stored = m_store.Find("things", name);
      auto seen = m_seen.find(name);
      bool is_same = stored == nullptr ? seen == m_seen.end()
                                       : seen != m_seen.end() && seen->second == *stored;
      if (!is_same) return false;
    }
    return true;
  }

 private:
  static constexpr uint64_t kThings = 4;

  static std::string NameOf(uint64_t index) { return "thing-" + std::to_string(index); }
  std::string ThingName() { return NameOf(m_random.Below(kThings)); }
  void PutThing() { m_store.Put("things", ThingName(), ++m_value); }

  void Return() {
    if (m_copy != nullptr) m_store.Restore(*m_copy);
  }

  void SetNextRecord() {
    m_record = MakeRecord(m_record.report.sequence + 1);
    m_writer.SetDesired(m_record);
  }

  RandomSource m_random;
  Metrics m_metrics;
  FakeStore m_store;
  StoreClient m_client;
  std::map<std::string, json> m_seen;
  ObjectWatcher m_things;
  ObjectWatcher m_records;
  EndpointRecordWriter m_writer;
  NodeRecord m_record;
  std::shared_ptr<const FakeStore::Copy> m_copy;
  int m_value = 0;
};

TEST(RestoredStoreExploration, WatchersAndRecordsRecoverFromRandomReturns) {
  EventLoop loop;
  std::vector<std::unique_ptr<ExploredNode>> nodes;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed)
    nodes.push_back(std::make_unique<ExploredNode>(loop, seed));
  for (int step = 0; step < kSteps; ++step) {
    for (auto& node : nodes) node->Step();
    RunFor(loop, kStepTime);
  }
  for (auto& node : nodes) node->EndFaults();
  RunFor(loop, kRecoveryTime);
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_TRUE(nodes[seed - 1]->HasConverged()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace guavatrail::platform
