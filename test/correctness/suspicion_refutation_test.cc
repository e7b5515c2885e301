// Guards against a live node that stays suspected or dead at other nodes, and against a refutation
// that changes the lifetime or the configuration version of the node.
#include <gtest/gtest.h>

#include "member_fixture.h"
#include "member_table.h"

namespace guavatrail {
namespace {

constexpr int64_t kNowMs = 1'000'000;

TEST(SuspicionRefutation, RaisesIncarnationAndOverridesFalseState) {
  for (auto false_state : {pb::MEMBER_SUSPECT, pb::MEMBER_DEAD, pb::MEMBER_LEFT}) {
    MemberTable node(test::MakeMember("a", 100));
    node.SetSelfVersion(7);
    MemberTable other(test::MakeMember("b", 100));
    other.Merge(node.self(), kNowMs);
    ASSERT_TRUE(other.DeclareState("a", 100, false_state, kNowMs));

    EXPECT_EQ(node.Merge(*other.Export("a", kNowMs), kNowMs), MergeResult::kRefuted);
    EXPECT_EQ(node.TakeChanged(), std::vector<std::string>{"a"});
    EXPECT_EQ(node.self().started_ms(), 100U);
    EXPECT_EQ(other.Merge(node.self(), kNowMs), MergeResult::kChanged);
    EXPECT_EQ(other.Find("a")->state(), pb::MEMBER_ALIVE);
    EXPECT_EQ(other.Find("a")->incarnation(), 101U);
    EXPECT_EQ(other.Find("a")->config_version(), 7U);
  }
}

TEST(SuspicionRefutation, NoRefutationAfterLeave) {
  MemberTable table(test::MakeMember("a", 100));
  table.LeaveSelf(kNowMs);
  auto dead = test::MakeMember("a", 100, pb::MEMBER_DEAD);
  EXPECT_EQ(table.Merge(dead, kNowMs), MergeResult::kUnchanged);
  EXPECT_EQ(table.self().state(), pb::MEMBER_LEFT);
}

TEST(SuspicionRefutation, LowerIncarnationsAreIgnored) {
  MemberTable table(test::MakeMember("a", 100));
  EXPECT_EQ(table.Merge(test::MakeMember("a", 99, pb::MEMBER_DEAD), kNowMs),
            MergeResult::kUnchanged);
  EXPECT_EQ(table.self().incarnation(), 100U);
}

TEST(SuspicionRefutation, ClearedDrainingFlagOverridesOtherCopies) {
  MemberTable node(test::MakeMember("a", 100));
  MemberTable other(test::MakeMember("b", 100));
  node.SetSelfDraining(true);
  other.Merge(node.self(), kNowMs);
  ASSERT_TRUE(other.Find("a")->draining());
  node.SetSelfDraining(false);
  other.Merge(node.self(), kNowMs);
  EXPECT_FALSE(other.Find("a")->draining());
}

}  // namespace
}  // namespace guavatrail
