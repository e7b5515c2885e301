// Guards against nodes that lose live neighbours, briefly or permanently, when two partitions that
// declared each other dead exchange their tables.
#include <gtest/gtest.h>

#include "member_fixture.h"
#include "member_table.h"

namespace guavatrail {
namespace {

constexpr int64_t kNowMs = 1'000'000;

// The table of a node in one partition, in which the members of the other are dead.
MemberTable PartitionTable(const std::string& self, const std::vector<std::string>& alive,
                           const std::vector<std::string>& dead) {
  MemberTable table(test::MakeMember(self, 100));
  for (const std::string& name : alive) table.Merge(test::MakeMember(name, 100), kNowMs);
  for (const std::string& name : dead) {
    table.Merge(test::MakeMember(name, 100, pb::MEMBER_DEAD), kNowMs);
  }
  return table;
}

void Exchange(const MemberTable& from, MemberTable& to) {
  for (const pb::MemberRecord& record : from.ExportAll(kNowMs)) {
    to.MergeFromExchange(record, kNowMs);
  }
}

TEST(PartitionHeal, LiveNeighboursAreKept) {
  MemberTable a1 = PartitionTable("a1", {"a2"}, {"b1", "b2"});
  MemberTable a2 = PartitionTable("a2", {"a1"}, {"b1", "b2"});
  MemberTable b1 = PartitionTable("b1", {"b2"}, {"a1", "a2"});
  Exchange(b1, a1);
  EXPECT_EQ(a1.LiveNames(), (std::vector<std::string>{"a1", "a2"}));
  EXPECT_EQ(a1.self().incarnation(), 101U);
  EXPECT_EQ(a1.Find("a2")->state(), pb::MEMBER_SUSPECT);
  // a2 receives the suspicion and refutes it; then both partitions see it alive.
  Exchange(a1, a2);
  Exchange(a2, a1);
  Exchange(a1, b1);
  EXPECT_EQ(a1.Find("a2")->state(), pb::MEMBER_ALIVE);
  EXPECT_EQ(b1.LiveNames(), (std::vector<std::string>{"a1", "a2", "b1", "b2"}));
}

TEST(PartitionHeal, DeathOfAnUnknownMemberIsMerged) {
  MemberTable table = PartitionTable("a1", {}, {});
  EXPECT_EQ(table.MergeFromExchange(test::MakeMember("b1", 100, pb::MEMBER_DEAD), kNowMs),
            MergeResult::kChanged);
  EXPECT_EQ(table.Find("b1")->state(), pb::MEMBER_DEAD);
  EXPECT_EQ(table.MergeFromExchange(test::MakeMember("b1", 101), kNowMs), MergeResult::kChanged);
  EXPECT_EQ(table.Find("b1")->state(), pb::MEMBER_ALIVE);
}

TEST(PartitionHeal, LeaveIsMergedUnchanged) {
  MemberTable table = PartitionTable("a1", {"a2"}, {});
  table.MergeFromExchange(test::MakeMember("a2", 100, pb::MEMBER_LEFT), kNowMs);
  EXPECT_EQ(table.Find("a2")->state(), pb::MEMBER_LEFT);
}

}  // namespace
}  // namespace guavatrail
