// Guards against a node that stops watching the store after an outage, a compaction or a silent
// connection, and against a node record that is lost, stale or overwritten by a late write.
#include <gtest/gtest.h>

#include "endpoint_fixture.h"
#include "endpoint_record_writer.h"
#include "fake_store.h"
#include "object_watcher.h"
#include "test_loop.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

class StoreSync : public testing::Test {
 protected:
  StoreSync()
      : m_store(m_loop),
        m_client(m_loop, {"127.0.0.1", m_store.port(), std::chrono::milliseconds(150)}, m_metrics),
        m_watcher(m_loop, m_client, m_random,
                  {.kind = "things", .wait = std::chrono::milliseconds(200)},
                  {.on_list_started = [this] { m_seen.clear(); },
                   .on_put = [this](const StoredObject& o) { m_seen[o.name] = o.spec; },
                   .on_removed = [this](const std::string& name) { m_seen.erase(name); },
                   .on_list_finished = [](auto) {},
                   .on_confirmed = [](auto) {}}),
        m_record_writer(m_loop, m_client, m_random, "node-1",
                        [this](const json& spec) { m_conflicts.push_back(spec); }) {}

  const json* Stored() const { return m_store.Find(kEndpointKind, "node-1"); }
  bool IsStored(const NodeRecord& record) const {
    return Stored() != nullptr && *Stored() == EncodeRecord(record);
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{3};
  FakeStore m_store;
  StoreClient m_client;
  std::map<std::string, json> m_seen;
  std::vector<json> m_conflicts;
  ObjectWatcher m_watcher;
  EndpointRecordWriter m_record_writer;
};

TEST_F(StoreSync, WatcherReportsExistingObjectsAndChanges) {
  m_store.Put("things", "a", 1);
  m_watcher.Start();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_seen["a"] == 1; }));
  m_store.Put("things", "b", 2);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_seen["b"] == 2; }));
  m_store.Remove("things", "a");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return !m_seen.contains("a"); }));
}

// Guards against the record of a node that has ended, which stays because its first write was in
// flight when the node ended.
TEST_F(StoreSync, RecordThatIsBeingCreatedIsRemoved) {
  m_record_writer.SetDesired(MakeRecord(1, true));
  bool is_removed = false;
  m_record_writer.Remove([&] { is_removed = true; });
  ASSERT_TRUE(RunUntil(m_loop, [&] { return is_removed; }));
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Stored(), nullptr);
}

TEST_F(StoreSync, WatcherListsAgainAfterACompaction) {
  m_watcher.Start();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_store.open_watches() == 1; }));
  m_store.Compact();
  m_store.Put("things", "a", 1);
  m_store.Compact();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_seen["a"] == 1; }));
}

// The pages of a list are read at different revisions; changes made between them must be seen.
TEST_F(StoreSync, WatcherMissesNoChangeBetweenTwoPages) {
  for (const char* name : {"a", "b", "c"}) m_store.Put("things", name, 1);
  bool is_changed = false;
  m_store.SetPageSize(2, [&] {
    if (std::exchange(is_changed, true)) return;
    m_store.Put("things", "a", 2);
    m_store.Remove("things", "b");
    m_store.Put("things", "0", 3);
  });
  m_watcher.Start();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_seen["c"] == 1; }));
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_seen["a"] == 2 && m_seen["0"] == 3; }));
  EXPECT_FALSE(m_seen.contains("b"));
}

TEST_F(StoreSync, WatcherRecoversFromEachKindOfOutage) {
  m_watcher.Start();
  int value = 0;
  for (FakeStore::Mode mode :
       {FakeStore::Mode::kUnavailable, FakeStore::Mode::kRateLimited, FakeStore::Mode::kNoAnswer}) {
    m_store.SetMode(mode);
    // Longer than the wait of a watch plus the margin after which the watch counts as failed.
    RunFor(m_loop, std::chrono::milliseconds(700));
    EXPECT_FALSE(m_watcher.is_connected());
    m_store.SetMode(FakeStore::Mode::kHealthy);
    m_store.Put("things", "a", ++value);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return m_seen["a"] == value; }));
    EXPECT_TRUE(m_watcher.is_connected());
  }
}

TEST_F(StoreSync, SilentWatchIsReplaced) {
  m_watcher.Start();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_store.open_watches() == 1; }));
  m_store.BlackholeWatches();
  m_store.Put("things", "a", 1);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_seen["a"] == 1; }));
}

TEST_F(StoreSync, CallsDuringAnOutageAreLimited) {
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  m_watcher.Start();
  RunFor(m_loop, std::chrono::milliseconds(2000));
  EXPECT_LE(m_store.calls(), 12);
}

TEST_F(StoreSync, RecordIsCreatedAndReplaced) {
  m_record_writer.SetDesired(MakeRecord(1));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsStored(MakeRecord(1)); }));
  m_record_writer.SetDesired(MakeRecord(2, true));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsStored(MakeRecord(2, true)); }));
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_record_writer.is_stored(); }));
  EXPECT_EQ(m_store.writes(), 2);
}

TEST_F(StoreSync, RecordOfAnEarlierProcessIsReplaced) {
  m_store.Put(kEndpointKind, "node-1", EncodeRecord(MakeRecord(9, true)));
  m_record_writer.SetDesired(MakeRecord(10));
  EXPECT_TRUE(RunUntil(m_loop, [&] { return IsStored(MakeRecord(10)); }));
  ASSERT_EQ(m_conflicts.size(), 1U);
  EXPECT_EQ(m_conflicts[0], EncodeRecord(MakeRecord(9, true)));
}

TEST_F(StoreSync, RecordIsStoredAfterALostAnswer) {
  m_store.SetMode(FakeStore::Mode::kAnswerLost);
  m_record_writer.SetDesired(MakeRecord(1));
  RunFor(m_loop, std::chrono::milliseconds(250));
  m_record_writer.SetDesired(MakeRecord(2, true));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return IsStored(MakeRecord(2, true)); }));
}

TEST_F(StoreSync, LateWriteDoesNotUndoANewerOne) {
  m_record_writer.SetDesired(MakeRecord(1));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_record_writer.is_stored(); }));
  m_record_writer.SetDesired(MakeRecord(2));
  ASSERT_TRUE(
      RunUntil(m_loop, [&] { return IsStored(MakeRecord(2)) && m_record_writer.is_stored(); }));
  m_record_writer.SetDesired(MakeRecord(3, true));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsStored(MakeRecord(3, true)); }));
  for (int number = 0; number < 2; ++number) EXPECT_FALSE(m_store.ReplayWrite(number));
  EXPECT_TRUE(IsStored(MakeRecord(3, true)));
}

TEST_F(StoreSync, RemovedRecordIsRestoredWithinTwoSeconds) {
  m_record_writer.SetDesired(MakeRecord(1));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_record_writer.is_stored(); }));
  m_store.Remove(kEndpointKind, "node-1");
  m_record_writer.OnRemoved();
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return IsStored(MakeRecord(1)); }, std::chrono::milliseconds(2000)));
}

TEST_F(StoreSync, WhenStoredIsCalledOnceTheRecordIsStored) {
  bool was_called = false;
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  m_record_writer.SetDesired(MakeRecord(1, true));
  m_record_writer.WhenStored([&] { was_called = true; });
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_FALSE(was_called);
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return was_called; }));
  EXPECT_TRUE(IsStored(MakeRecord(1, true)));
}

}  // namespace
}  // namespace guavatrail::platform
