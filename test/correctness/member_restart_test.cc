// Guards against a restarted node that is mistaken for its dead predecessor of the same name, and
// against gone records that are never removed or that reappear.
#include <gtest/gtest.h>

#include "member_fixture.h"
#include "member_table.h"

namespace guavatrail {
namespace {

constexpr int64_t kNowMs = 1'000'000;

TEST(MemberRestart, HigherIncarnationReplacesRecordAndVersion) {
  for (auto state : {pb::MEMBER_ALIVE, pb::MEMBER_SUSPECT, pb::MEMBER_DEAD, pb::MEMBER_LEFT}) {
    MemberTable table(test::MakeMember("observer", 1));
    auto old = test::MakeMember("a", 100, state);
    old.set_config_version(50);
    old.set_draining(true);
    table.Merge(old, kNowMs);
    auto fresh = test::MakeMember("a", 200);
    fresh.set_config_version(3);
    EXPECT_EQ(table.Merge(fresh, kNowMs), MergeResult::kChanged);
    EXPECT_EQ(table.Find("a")->state(), pb::MEMBER_ALIVE);
    EXPECT_EQ(table.Find("a")->config_version(), 3U);
    EXPECT_FALSE(table.Find("a")->draining());
    EXPECT_EQ(table.Merge(old, kNowMs), MergeResult::kUnchanged);
  }
}

TEST(MemberRestart, ClockBehindTheLastLifetimeRaisesIncarnation) {
  MemberTable table(test::MakeMember("a", 100));
  EXPECT_EQ(table.Merge(test::MakeMember("a", 200, pb::MEMBER_DEAD), kNowMs),
            MergeResult::kRefuted);
  EXPECT_EQ(table.self().incarnation(), 201U);
  EXPECT_EQ(table.self().started_ms(), 100U);
  EXPECT_FALSE(table.IsInConflict());
}

TEST(MemberRestart, GoneRecordsAreRemovedAfterTenMinutes) {
  MemberTable table(test::MakeMember("observer", 1));
  table.Merge(test::MakeMember("a", 100, pb::MEMBER_DEAD), kNowMs);
  table.Merge(test::MakeMember("b", 100, pb::MEMBER_LEFT), kNowMs);
  table.RemoveExpired(kNowMs + kGoneRecordRetentionMs - 1);
  EXPECT_EQ(table.size(), 3U);
  table.RemoveExpired(kNowMs + kGoneRecordRetentionMs);
  EXPECT_EQ(table.size(), 1U);
}

TEST(MemberRestart, GoneRecordCarriesItsAge) {
  MemberTable first(test::MakeMember("x", 1));
  MemberTable second(test::MakeMember("y", 1));
  first.Merge(test::MakeMember("a", 100, pb::MEMBER_DEAD), kNowMs);
  int64_t later_ms = kNowMs + kGoneRecordRetentionMs - 5000;
  second.Merge(*first.Export("a", later_ms), later_ms);
  ASSERT_NE(second.Find("a"), nullptr);
  second.RemoveExpired(later_ms + 5000);
  EXPECT_EQ(second.Find("a"), nullptr);
  // A record whose retention period has ended is not stored again.
  EXPECT_EQ(second.Merge(*first.Export("a", kNowMs + kGoneRecordRetentionMs), later_ms + 5000),
            MergeResult::kUnchanged);
}

}  // namespace
}  // namespace guavatrail
