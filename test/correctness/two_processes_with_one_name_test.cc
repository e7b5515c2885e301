// Guards against two live processes with the same node name that both consider themselves its
// holder.
#include <gtest/gtest.h>

#include "member_fixture.h"
#include "member_table.h"

namespace guavatrail {
namespace {

constexpr int64_t kNowMs = 1'000'000;

TEST(TwoProcessesWithOneName, HigherIncarnationHoldsTheName) {
  MemberTable older(test::MakeMember("a", 100));
  MemberTable newer(test::MakeMember("a", 200));
  EXPECT_EQ(newer.Merge(older.self(), kNowMs), MergeResult::kUnchanged);
  EXPECT_EQ(older.Merge(newer.self(), kNowMs), MergeResult::kConflict);
  EXPECT_FALSE(newer.IsInConflict());
  EXPECT_TRUE(older.IsInConflict());
  EXPECT_EQ(older.Find("a")->started_ms(), 200U);
}

TEST(TwoProcessesWithOneName, SuspicionDoesNotReleaseTheName) {
  MemberTable older(test::MakeMember("a", 100));
  older.Merge(test::MakeMember("a", 200), kNowMs);
  older.Merge(test::MakeMember("a", 200, pb::MEMBER_SUSPECT), kNowMs);
  EXPECT_TRUE(older.IsInConflict());
}

TEST(TwoProcessesWithOneName, NameIsReleasedWhenTheOtherIsGone) {
  for (auto state : {pb::MEMBER_DEAD, pb::MEMBER_LEFT}) {
    MemberTable older(test::MakeMember("a", 100));
    older.Merge(test::MakeMember("a", 200), kNowMs);
    EXPECT_EQ(older.Merge(test::MakeMember("a", 200, state), kNowMs), MergeResult::kRefuted);
    EXPECT_FALSE(older.IsInConflict());
    EXPECT_EQ(older.Find("a")->started_ms(), 100U);
    EXPECT_EQ(older.Find("a")->incarnation(), 201U);
  }
}

TEST(TwoProcessesWithOneName, TableExchangeReleasesTheName) {
  MemberTable older(test::MakeMember("a", 100));
  older.Merge(test::MakeMember("a", 200), kNowMs);
  auto dead = test::MakeMember("a", 200, pb::MEMBER_DEAD);
  EXPECT_EQ(older.MergeFromExchange(dead, kNowMs), MergeResult::kRefuted);
  EXPECT_FALSE(older.IsInConflict());
}

TEST(TwoProcessesWithOneName, EqualIncarnationsHaveOneHolder) {
  auto a = test::MakeMember("a", 200);
  auto b = test::MakeMember("a", 200);
  a.set_started_ms(100);
  MemberTable first(a);
  MemberTable second(b);
  first.Merge(b, kNowMs);
  second.Merge(a, kNowMs);
  EXPECT_NE(first.IsInConflict(), second.IsInConflict());
}

}  // namespace
}  // namespace guavatrail
