// Checks that followers converge to the endpoints of the store: no change is lost or overwritten by
// an older state when a follower changes its source, when updates are lost or repeated, or when a
// source's log no longer holds all changes.
#include <gtest/gtest.h>

#include "endpoint_codec.h"
#include "endpoint_directory.h"
#include "endpoint_fixture.h"
#include "random_source.h"

namespace guavatrail {
namespace {

// Names and incarnations of the entries that are not removed.
std::map<std::string, uint64_t> StateOf(const EndpointDirectory& directory) {
  std::map<std::string, uint64_t> state;
  std::optional<EndpointUpdate> all = directory.UpdateSince({0});
  if (!all) return state;
  for (const EndpointEntry& entry : all->entries) {
    if (!entry.is_gone) state[entry.endpoint.node] = entry.endpoint.incarnation;
  }
  return state;
}

// Model of the store: its records and the change of each revision.
struct ModelStore {
  struct Change {
    std::string node;
    uint64_t incarnation = 0;  // 0: removed.
  };
  std::map<std::string, uint64_t> records;
  std::vector<Change> changes;  // changes[i] led to revision i + 1.

  void Step(RandomSource& random, uint64_t nodes) {
    std::string node = "node-" + std::to_string(random.Below(nodes));
    bool removes = records.contains(node) && random.Below(3) == 0;
    uint64_t incarnation = removes ? 0 : changes.size() + 1;
    if (removes) {
      records.erase(node);
    } else {
      records[node] = incarnation;
    }
    changes.push_back({node, incarnation});
  }
};

// Model of a node that watches the store and receives its changes in batches.
struct ModelWatcher {
  EndpointDirectory directory;
  uint64_t seen = 0;

  void ReadUpTo(const ModelStore& store, uint64_t revision) {
    for (; seen < revision; ++seen) {
      const ModelStore::Change& change = store.changes[seen];
      if (change.incarnation == 0) {
        directory.Remove(change.node, 0);
      } else {
        directory.Put(MakeEndpoint(change.node, change.incarnation), {seen + 1});
      }
    }
    directory.CommitRevision({revision});
  }

  // Reads all records, as when the store no longer has the changes since `seen`.
  void ReadAll(const ModelStore& store) {
    directory.BeginFullSync();
    for (const auto& [node, incarnation] : store.records) {
      directory.Put(MakeEndpoint(node, incarnation), {incarnation});
    }
    directory.FinishFullSync(0);
    seen = store.changes.size();
    directory.CommitRevision({seen});
  }
};

EndpointUpdate Transmitted(const EndpointUpdate& update) {
  auto decoded = DecodeEndpoints(EncodeEndpoints(update));
  EXPECT_TRUE(decoded);
  return *decoded;
}

TEST(EndpointUpdates, OnlyChangesAreSent) {
  EndpointDirectory source;
  for (int i = 0; i < 50; ++i) source.Put(MakeEndpoint("node-" + std::to_string(i)), {10});
  source.CommitRevision({10});
  EndpointDirectory follower;
  follower.Apply(Transmitted(*source.UpdateSince(follower.revision())), 0);
  EXPECT_EQ(StateOf(follower), StateOf(source));
  EXPECT_FALSE(source.UpdateSince(follower.revision()));
  source.Put(MakeEndpoint("node-7", 2), {11});
  source.Remove("node-8", 0);
  source.CommitRevision({12});
  std::optional<EndpointUpdate> update = source.UpdateSince(follower.revision());
  ASSERT_TRUE(update);
  EXPECT_FALSE(update->is_whole);
  EXPECT_EQ(update->entries.size(), 2U);
  follower.Apply(Transmitted(*update), 0);
  EXPECT_EQ(StateOf(follower), StateOf(source));
}

TEST(EndpointUpdates, FollowerBehindTheLogGetsAllEntries) {
  EndpointDirectory source;
  source.Put(MakeEndpoint("first"), {1});
  source.CommitRevision({1});
  EndpointDirectory follower;
  follower.Apply(*source.UpdateSince({0}), 0);
  for (uint64_t revision = 2; revision < 3000; ++revision) {
    source.Put(MakeEndpoint("node-" + std::to_string(revision % 7), revision), {revision});
    source.CommitRevision({revision});
  }
  std::optional<EndpointUpdate> update = source.UpdateSince(follower.revision());
  ASSERT_TRUE(update);
  EXPECT_TRUE(update->is_whole);
  follower.Apply(*update, 0);
  EXPECT_EQ(StateOf(follower), StateOf(source));
}

TEST(EndpointUpdates, AnOlderStateChangesNothing) {
  EndpointDirectory source;
  source.Put(MakeEndpoint("a", 1), {1});
  source.CommitRevision({1});
  EndpointUpdate old = *source.UpdateSince({0});
  source.Put(MakeEndpoint("a", 2), {2});
  source.CommitRevision({2});
  EndpointDirectory follower;
  follower.Apply(*source.UpdateSince({0}), 0);
  follower.Apply(old, 0);
  EXPECT_EQ(StateOf(follower)["a"], 2U);
}

TEST(EndpointUpdates, LocalEntryIsSentOnlyAfterItIsStored) {
  EndpointDirectory source;
  source.Put(MakeEndpoint("self", 1), {1});
  source.CommitRevision({1});
  Endpoint own = MakeEndpoint("self", 1);
  own.draining = true;
  source.PutLocal(own);
  EXPECT_FALSE(source.UpdateSince({1}));
  source.Put(own, {2});
  source.CommitRevision({2});
  ASSERT_TRUE(source.UpdateSince({1}));
  EXPECT_TRUE(source.UpdateSince({1})->entries[0].endpoint.draining);
}

// An entry may be added and removed without its source ever having had it. The removal must still
// reach a follower that has the entry from another source.
TEST(EndpointUpdates, RemovalOfAnEntryUnknownToTheSourceIsSent) {
  EndpointDirectory other;
  other.Put(MakeEndpoint("a"), {5});
  other.CommitRevision({5});
  EndpointDirectory follower;
  follower.Apply(*other.UpdateSince({0}), 0);
  EndpointDirectory source;
  source.Put(MakeEndpoint("b"), {4});
  source.CommitRevision({4});
  source.Remove("a", 0);
  source.CommitRevision({6});
  follower.Apply(*source.UpdateSince(follower.revision()), 0);
  EXPECT_FALSE(StateOf(follower).contains("a"));
}

TEST(EndpointUpdates, FollowerBehindAFullSyncGetsAllEntries) {
  EndpointDirectory source;
  source.Put(MakeEndpoint("a"), {1});
  source.CommitRevision({1});
  source.BeginFullSync();
  source.Put(MakeEndpoint("a"), {1});
  source.FinishFullSync(0);
  source.CommitRevision({9});
  EXPECT_FALSE(source.UpdateSince({1})) << "expected no update, since no entry has changed";
  source.Put(MakeEndpoint("b"), {10});
  source.CommitRevision({10});
  EXPECT_TRUE(source.UpdateSince({8})->is_whole);
  EXPECT_FALSE(source.UpdateSince({9})->is_whole);
}

// Each watcher receives the changes of the store in its own batches. Followers switch between
// watchers and other followers and lose answers. All must end with the state of the store, and no
// follower may return to an earlier revision.
TEST(EndpointUpdates, FollowersThatChangeSourcesConverge) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    RandomSource random(seed);
    ModelStore store;
    std::vector<ModelWatcher> watchers(3);
    std::vector<EndpointDirectory> followers(12);
    for (int round = 0; round < 400; ++round) {
      for (uint64_t i = random.Below(4); i > 0; --i) store.Step(random, 20);
      ModelWatcher& watcher = watchers[random.Below(watchers.size())];
      uint64_t unseen = store.changes.size() - watcher.seen;
      if (random.Below(20) == 0) {
        watcher.ReadAll(store);
      } else {
        watcher.ReadUpTo(store, watcher.seen + random.Below(unseen + 1));
      }
      EndpointDirectory& follower = followers[random.Below(followers.size())];
      uint64_t choice = random.Below(watchers.size() + followers.size());
      EndpointDirectory& source = choice < watchers.size() ? watchers[choice].directory
                                                           : followers[choice - watchers.size()];
      std::optional<EndpointUpdate> update = source.UpdateSince(follower.revision());
      bool is_lost = random.Below(5) == 0;
      StoreRevision before = follower.revision();
      if (update && !is_lost) follower.Apply(Transmitted(*update), 0);
      EXPECT_FALSE(follower.revision() < before);
    }
    for (ModelWatcher& watcher : watchers) watcher.ReadUpTo(store, store.changes.size());
    for (EndpointDirectory& follower : followers) {
      auto update = watchers[0].directory.UpdateSince(follower.revision());
      if (update) follower.Apply(*update, 0);
      EXPECT_EQ(StateOf(follower), store.records) << "seed " << seed;
    }
  }
}

TEST(EndpointUpdates, InvalidUpdatesAreRejected) {
  EXPECT_FALSE(DecodeEndpoints("\xff\xff?"));
  EndpointUpdate update{.revision = {3}, .entries = {{.endpoint = MakeEndpoint("")}}};
  EXPECT_FALSE(DecodeEndpoints(EncodeEndpoints(update)));
  update.entries[0].endpoint = MakeEndpoint("a");
  update.entries[0].endpoint.peer_port = 0;
  EXPECT_FALSE(DecodeEndpoints(EncodeEndpoints(update)));
}

}  // namespace
}  // namespace guavatrail
