// Guards against outdated configuration versions of other nodes in the member tables, and against
// version traffic that grows with the product of nodes and notes.
#include <gtest/gtest.h>

#include <iostream>
#include <map>

#include "member_fixture.h"
#include "member_table.h"
#include "overlay.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr int kMembers = 550;
constexpr int kRings = 4;
constexpr int kDiameter = 5;  // See overlay_test.cc.
constexpr uint64_t kSeed = 20261204;

// The member tables of a whole fleet, which send versions to their overlay neighbours in rounds of
// half a heartbeat period, as ControlPlane does.
class Fleet {
 public:
  Fleet() {
    std::vector<std::string> names;
    names.reserve(kMembers);
    for (int i = 0; i < kMembers; ++i) names.push_back("node-" + std::to_string(i));
    overlay = Overlay(names, kRings);
    for (const std::string& name : names) {
      MemberTable& table = tables.try_emplace(name, test::MakeMember(name, 1)).first->second;
      for (const std::string& other : names) table.Merge(test::MakeMember(other, 1), 0);
      for (const std::string& next : overlay.Neighbours(name)) {
        sent[{name, next}] = table.version_clock();
      }
    }
  }
  void Round() {
    std::vector<std::pair<std::string, pb::MemberVersions>> messages;
    for (auto& [edge, clock] : sent) {
      MemberTable& table = tables.at(edge.first);
      if (clock == table.version_clock()) continue;
      pb::MemberVersions versions = table.VersionsSince(clock);
      clock = table.version_clock();
      if (versions.groups().empty()) continue;
      bytes += versions.ByteSizeLong();
      messages.emplace_back(edge.second, std::move(versions));
    }
    for (const auto& [to, versions] : messages) {
      EXPECT_TRUE(tables.at(to).MergeVersions(versions));
    }
  }
  bool AllKnow(uint64_t version) const {
    for (const auto& [name, table] : tables) {
      bool knows = true;
      table.ForEach([&](const pb::MemberRecord& record) {
        knows = knows && record.config_version() >= version;
      });
      if (!knows) return false;
    }
    return true;
  }
  Overlay overlay;
  std::map<std::string, MemberTable> tables;
  std::map<std::pair<std::string, std::string>, uint64_t> sent;
  uint64_t bytes = 0;
};

TEST(MemberVersionPropagation, ChangeReachesAllNodesWithinTheDiameter) {
  Fleet fleet;
  fleet.tables.at("node-7").SetSelfVersion(9);
  for (int round = 0; round < kDiameter; ++round) fleet.Round();
  for (const auto& [name, table] : fleet.tables) {
    ASSERT_EQ(table.Find("node-7")->config_version(), 9U) << name;
  }
  // The nodes that learned of the change last still send it to their neighbours.
  fleet.Round();
  fleet.bytes = 0;
  fleet.Round();
  EXPECT_EQ(fleet.bytes, 0U) << "bytes were sent although no version changed";
}

TEST(MemberVersionPropagation, NoteStaysWithinRoundAndByteLimits) {
  Fleet fleet;
  RandomSource random(kSeed);
  // The note goes in force at each node in one of the first four rounds.
  constexpr uint64_t kRoundsToForce = 4;
  uint64_t rounds = 0;
  for (; rounds < kRoundsToForce; ++rounds) {
    for (auto& [name, table] : fleet.tables) {
      if (rounds + 1 == kRoundsToForce || random.Below(2) == 0) table.SetSelfVersion(1);
    }
    fleet.Round();
  }
  while (!fleet.AllKnow(1) && rounds < 50) {
    fleet.Round();
    ++rounds;
  }
  double bytes_per_node = static_cast<double>(fleet.bytes) / kMembers;
  constexpr double kNotesPerDay = 1300;
  constexpr double kSecondsPerDay = 86400;
  std::cout << "rounds_after_last_in_force=" << rounds - kRoundsToForce
            << " bytes_per_node_per_note=" << bytes_per_node
            << " bytes_per_node_per_s=" << bytes_per_node * kNotesPerDay / kSecondsPerDay << '\n';
  EXPECT_LE(rounds - kRoundsToForce, static_cast<uint64_t>(kDiameter));
  // At 1,300 notes a day, a twentieth of the 4 KB/s that control traffic may use.
  EXPECT_LE(bytes_per_node * kNotesPerDay / kSecondsPerDay, 200.0);
}

TEST(MemberVersionPropagation, OtherMembersAndMalformedRunsAreRejected) {
  MemberTable table(test::MakeMember("a", 1));
  table.Merge(test::MakeMember("b", 1), 0);
  pb::MemberVersions versions;
  versions.set_member_digest(table.Digest());
  pb::VersionGroup& group = *versions.add_groups();
  group.set_version(5);
  group.add_runs(1);
  group.add_runs(2);
  EXPECT_FALSE(table.MergeVersions(versions)) << "runs beyond the last member";
  group.mutable_runs()->RemoveLast();
  EXPECT_FALSE(table.MergeVersions(versions)) << "odd number of runs";
  group.add_runs(1);
  versions.set_member_digest(table.Digest() + 1);
  EXPECT_FALSE(table.MergeVersions(versions)) << "other members";
  EXPECT_EQ(table.Find("b")->config_version(), 0U);
  versions.set_member_digest(table.Digest());
  EXPECT_TRUE(table.MergeVersions(versions));
  EXPECT_EQ(table.Find("b")->config_version(), 5U);
}

TEST(MemberVersionPropagation, OwnVersionIsNotChangedByOthers) {
  MemberTable table(test::MakeMember("a", 1));
  pb::MemberVersions versions;
  versions.set_member_digest(table.Digest());
  pb::VersionGroup& group = *versions.add_groups();
  group.set_version(5);
  group.add_runs(0);
  group.add_runs(1);
  EXPECT_TRUE(table.MergeVersions(versions));
  EXPECT_EQ(table.self().config_version(), 0U);
  EXPECT_EQ(table.Find("a")->config_version(), 0U);
}

}  // namespace
}  // namespace guavatrail
