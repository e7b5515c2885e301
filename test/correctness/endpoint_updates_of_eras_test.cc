// Checks that the endpoints of all nodes converge to those of the store after it has come back from
// older copies and given out revisions again. Guards against nodes that ignore the state of the new
// era because its revisions are lower than known ones, or that miss the changes whose revisions
// they already know.
#include <gtest/gtest.h>

#include "endpoint_codec.h"
#include "endpoint_directory.h"
#include "endpoint_fixture.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr uint64_t kSeeds = 60;
constexpr int kRounds = 300;
constexpr uint64_t kNodes = 8;

// Model of the store. The value of a record is unique over all eras.
struct ModelStore {
  struct Change {
    std::string node;
    uint64_t value = 0;  // 0: removed.
  };
  std::vector<Change> changes;  // changes[i] led to revision i + 1.
  uint64_t era = 1;
  uint64_t last_value = 0;

  void Step(RandomSource& random) {
    std::string node = "node-" + std::to_string(random.Below(kNodes));
    changes.push_back({node, random.Below(3) == 0 ? 0 : ++last_value});
  }

  void Return(RandomSource& random) {
    changes.resize(changes.size() - random.Below(std::min<uint64_t>(changes.size(), 12) + 1));
    ++era;
  }

  // Revisions and values of all records.
  std::map<std::string, std::pair<uint64_t, uint64_t>> Records() const {
    std::map<std::string, std::pair<uint64_t, uint64_t>> records;
    for (uint64_t i = 0; i < changes.size(); ++i) {
      records.erase(changes[i].node);
      if (changes[i].value != 0) records[changes[i].node] = {i + 1, changes[i].value};
    }
    return records;
  }

  std::map<std::string, uint64_t> Values() const {
    std::map<std::string, uint64_t> values;
    for (const auto& [node, record] : Records()) values[node] = record.second;
    return values;
  }
};

// Model of a node that watches the store.
struct ModelWatcher {
  EndpointDirectory directory;
  uint64_t seen = 0;
  uint64_t era = 0;

  // Reads all records, as a node does when an answer of the store belongs to another era.
  void ReadAll(const ModelStore& store) {
    era = store.era;
    seen = store.changes.size();
    directory.BeginFullSync();
    for (const auto& [node, record] : store.Records()) {
      directory.Put(MakeEndpoint(node, record.second), {record.first, era});
    }
    directory.FinishFullSync(0);
    directory.CommitRevision({seen, era});
  }

  void Read(const ModelStore& store, RandomSource& random) {
    if (era != store.era) {
      ReadAll(store);
      return;
    }
    uint64_t end = seen + random.Below(store.changes.size() - seen + 1);
    for (; seen < end; ++seen) {
      const ModelStore::Change& change = store.changes[seen];
      if (change.value == 0) {
        directory.Remove(change.node, 0);
      } else {
        directory.Put(MakeEndpoint(change.node, change.value), {seen + 1, era});
      }
    }
    directory.CommitRevision({seen, era});
  }

  void ReadToEnd(const ModelStore& store, RandomSource& random) {
    Read(store, random);
    while (seen != store.changes.size()) Read(store, random);
  }
};

std::map<std::string, uint64_t> ValuesOf(const EndpointDirectory& directory) {
  std::map<std::string, uint64_t> values;
  std::optional<EndpointUpdate> all = directory.UpdateSince({});
  if (!all) return values;
  for (const EndpointEntry& entry : all->entries) {
    if (!entry.is_gone) values[entry.endpoint.node] = entry.endpoint.incarnation;
  }
  return values;
}

void Follow(const EndpointDirectory& source, EndpointDirectory& follower) {
  std::optional<EndpointUpdate> update = source.UpdateSince(follower.revision());
  if (!update) return;
  auto decoded = DecodeEndpoints(EncodeEndpoints(*update));
  ASSERT_TRUE(decoded);
  follower.Apply(*decoded, 0);
}

TEST(EndpointUpdatesOfEras, AllNodesConvergeAfterRandomReturns) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomSource random(seed);
    ModelStore store;
    std::vector<ModelWatcher> watchers(3);
    std::vector<EndpointDirectory> followers(6);
    for (int round = 0; round < kRounds; ++round) {
      for (uint64_t i = random.Below(4); i > 0; --i) store.Step(random);
      if (random.Below(15) == 0) store.Return(random);
      watchers[random.Below(watchers.size())].Read(store, random);
      uint64_t choice = random.Below(watchers.size() + followers.size());
      const EndpointDirectory& source = choice < watchers.size()
                                            ? watchers[choice].directory
                                            : followers[choice - watchers.size()];
      bool is_lost = random.Below(5) == 0;
      if (!is_lost) Follow(source, followers[random.Below(followers.size())]);
    }
    for (ModelWatcher& watcher : watchers) {
      watcher.ReadToEnd(store, random);
      EXPECT_EQ(ValuesOf(watcher.directory), store.Values()) << "watcher, seed " << seed;
    }
    for (EndpointDirectory& follower : followers) {
      Follow(watchers[random.Below(watchers.size())].directory, follower);
      EXPECT_EQ(ValuesOf(follower), store.Values()) << "follower, seed " << seed;
    }
  }
}

// The store's copy may be older than the leave of a server.
TEST(EndpointUpdatesOfEras, KnownLeaveIsKeptForTheLifetimeOfTheServer) {
  EndpointDirectory directory;
  Endpoint endpoint = MakeEndpoint("a", 5);
  endpoint.draining = true;
  directory.Put(endpoint, {9, 1});
  directory.CommitRevision({9, 1});
  directory.BeginFullSync();
  directory.Put(MakeEndpoint("a", 5), {4, 2});
  directory.FinishFullSync(0);
  directory.CommitRevision({6, 2});
  EXPECT_TRUE(directory.list()->FindNode("a")->draining);
  directory.Put(MakeEndpoint("a", 8), {7, 2});
  EXPECT_FALSE(directory.list()->FindNode("a")->draining);
}

// A partial update of a new era contains only what has changed since some revision of that era.
TEST(EndpointUpdatesOfEras, PartialUpdateDoesNotLeadToANewEra) {
  EndpointDirectory directory;
  directory.Put(MakeEndpoint("a", 5), {9, 1});
  directory.CommitRevision({9, 1});
  directory.Apply({.revision = {12, 2}, .entries = {{MakeEndpoint("b", 6), {12, 2}}}}, 0);
  EXPECT_EQ(directory.revision(), (StoreRevision{9, 1}));
  EXPECT_EQ(directory.list()->FindNode("b"), nullptr);
}

// A node of a build without eras states none. It must not be answered at once again and again.
TEST(EndpointUpdatesOfEras, SenderWithoutErasIsTakenToBeInTheOwnEra) {
  constexpr RevisionHeaders kNames{"X-Number", "X-Era"};
  StoreRevision own{9, 3};
  EXPECT_EQ(RevisionIn({{"X-Number", "8"}}, kNames, own), (StoreRevision{8, 3}));
  HeaderList headers;
  SetRevision(headers, kNames, {7, 2});
  EXPECT_EQ(RevisionIn(headers, kNames, own), (StoreRevision{7, 2}));
}

}  // namespace
}  // namespace guavatrail
