// Guards against a pull that stays with a hung node, a snapshot service without bound, and a part
// of the notes or of a snapshot that is taken for the whole.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "config_log.h"
#include "delivery.h"

namespace guavatrail {
namespace {

std::vector<Candidate> Candidates(int count) {
  std::vector<Candidate> candidates;
  candidates.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    candidates.push_back({"n" + std::to_string(i), "dc" + std::to_string(i % 3)});
  }
  return candidates;
}

std::shared_ptr<const ConfigTable> TableOf(int services) {
  std::vector<Resource> resources;
  resources.reserve(static_cast<size_t>(services));
  for (int i = 0; i < services; ++i) {
    resources.emplace_back(Service{"s" + std::to_string(i), std::string(900, 'x'), 0.9});
  }
  return std::make_shared<const ConfigTable>(*ConfigTable::FromResources(7, resources));
}

TEST(DeliveryRules, KeepersAreInDistinctDataCentresAndNeverTheNodeItself) {
  std::vector<Candidate> candidates = Candidates(12);
  for (const Candidate& candidate : candidates) {
    std::vector<std::string> acceptors = ChooseAcceptors(candidates, candidate.node);
    ASSERT_EQ(acceptors.size(), 3u);
    std::set<int> centres;
    for (const std::string& keeper : acceptors) {
      EXPECT_NE(keeper, candidate.node);
      centres.insert(std::stoi(keeper.substr(1)) % 3);
    }
    EXPECT_EQ(centres.size(), 3u);
  }
  EXPECT_EQ(ChooseAcceptors(Candidates(2), "n0"), std::vector<std::string>{"n1"});
}

TEST(DeliveryRules, WatchersChangeOnlyWhenAWatcherLeaves) {
  std::vector<Candidate> candidates = Candidates(12);
  std::vector<std::string> watchers = ChooseWatchers(candidates, "dc1", 2);
  ASSERT_EQ(watchers.size(), 2u);
  std::erase_if(candidates, [&](const Candidate& c) { return c.node == watchers[0]; });
  std::vector<std::string> after = ChooseWatchers(candidates, "dc1", 2);
  EXPECT_EQ(after[0], watchers[1]);
}

TEST(DeliveryRules, UnansweredPullGoesToTheNextAnnouncer) {
  PullScheduler pulls(500);
  pulls.RecordAnnouncement("hung", 5);
  pulls.RecordAnnouncement("next", 5);
  EXPECT_EQ(pulls.StartPull(4, 0), "hung");
  EXPECT_FALSE(pulls.StartPull(4, 10)) << "one pull at a time";
  EXPECT_FALSE(pulls.ExpirePull(499));
  EXPECT_TRUE(pulls.ExpirePull(500));
  EXPECT_EQ(pulls.StartPull(4, 500), "next");
  pulls.RecordReply();
  EXPECT_FALSE(pulls.StartPull(5, 600)) << "nothing is missing";
  pulls.RecordAnnouncement("hung", 6);
  pulls.RecordAnnouncement("next", 6);
  EXPECT_EQ(pulls.StartPull(5, 2'000), "next") << "the node that has failed comes last";
}

TEST(DeliveryRules, BusyAndBadNodesAreNotAskedAtOnce) {
  PullScheduler pulls(500);
  pulls.RecordAnnouncement("a", 5);
  EXPECT_EQ(pulls.StartPull(4, 0), "a");
  pulls.RecordBusy(0, 200);
  EXPECT_FALSE(pulls.StartPull(4, 199));
  EXPECT_EQ(pulls.NextEventMs(4), 200);
  EXPECT_EQ(pulls.StartPull(4, 200), "a");
  pulls.RecordBadReply();
  EXPECT_FALSE(pulls.StartPull(4, 10'000));
}

TEST(DeliveryRules, ServesAtMostFourSnapshotsAtATime) {
  SnapshotServer server;
  auto table = TableOf(1'500);  // Two parts.
  pb::NotesRequest request;
  for (int i = 0; i < 4; ++i) {
    pb::NotesReply reply;
    EXPECT_TRUE(server.FillReply("n" + std::to_string(i), request, table, 0, reply));
    EXPECT_EQ(reply.snapshot_parts(), 2u);
  }
  pb::NotesReply refused;
  EXPECT_FALSE(server.FillReply("n4", request, table, 0, refused));
  request.set_snapshot_version(7);
  request.set_snapshot_part(1);
  pb::NotesReply last;
  EXPECT_TRUE(server.FillReply("n0", request, table, 0, last));
  EXPECT_TRUE(server.FillReply("n4", {}, table, 0, refused)) << "n0 has ended";
}

TEST(DeliveryRules, SnapshotIsTakenWholeOrNotAtAll) {
  SnapshotServer server;
  auto table = TableOf(1'500);
  SnapshotAssembler assembler;
  std::shared_ptr<const ConfigTable> received;
  pb::NotesRequest request;
  pb::NotesReply first;
  ASSERT_TRUE(server.FillReply("n", request, table, 0, first));
  EXPECT_EQ(assembler.Add(first, received), SnapshotAssembler::Result::kIncomplete);
  request.set_snapshot_version(assembler.version());
  request.set_snapshot_part(assembler.next_part());
  pb::NotesReply second;
  ASSERT_TRUE(server.FillReply("n", request, table, 0, second));
  EXPECT_EQ(assembler.Add(second, received), SnapshotAssembler::Result::kComplete);
  EXPECT_EQ(*received, *table);
  // A changed byte is found by the digest.
  first.mutable_snapshot_bytes()->at(100) ^= 1;
  EXPECT_EQ(assembler.Add(first, received), SnapshotAssembler::Result::kIncomplete);
  EXPECT_EQ(assembler.Add(second, received), SnapshotAssembler::Result::kDamaged);
}

TEST(DeliveryRules, BatchStopsAtAGapOrAWrongDigest) {
  auto note = [](uint64_t version, const std::string& name) {
    std::string bytes = EncodeNote({name, "t", "", {Service{name, "t", 0.9}}, {}, {}});
    return EncodedNote{version, DigestOf(bytes), bytes};
  };
  auto empty = std::make_shared<const ConfigTable>();
  auto gap = ApplyBatch(empty, {note(1, "a"), note(3, "c")});
  EXPECT_EQ(gap.table->version(), 1u);
  EXPECT_FALSE(gap.digest_differed);
  EncodedNote changed = note(2, "b");
  changed.bytes[3] ^= 1;
  auto damaged = ApplyBatch(empty, {note(1, "a"), changed, note(3, "c")});
  EXPECT_EQ(damaged.table->version(), 1u);
  EXPECT_TRUE(damaged.digest_differed);
  auto refused = ApplyBatch(empty, {note(1, "a"), note(2, "a"), note(3, "c")});
  EXPECT_EQ(refused.table->version(), 3u);
  ASSERT_EQ(refused.refused.size(), 1u);
  EXPECT_EQ(refused.refused[0].version, 2u);
  EXPECT_EQ(refused.table->services().size(), 2u);
}

}  // namespace
}  // namespace guavatrail
