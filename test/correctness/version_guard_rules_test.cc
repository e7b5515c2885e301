// Guards against a node that serves too early, or that does not serve although it may.
#include <gtest/gtest.h>

#include "version_guard.h"

namespace guavatrail {
namespace {

GuardState Started(std::vector<std::string> acceptors) {
  GuardState guard;
  SetAcceptors(guard, acceptors, acceptors);
  return guard;
}

TEST(VersionGuardRules, PromisesBeforeAVersionGoesInForce) {
  GuardState guard = Started({"a", "b", "c"});
  RecordHead(guard, 3);
  RecordTableVersion(guard, 3);
  GuardActions queries = UpdateGuard(guard, 0);
  EXPECT_EQ(queries.query, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_TRUE(queries.promise_to.empty());
  RecordFloorReply(guard, "a", 2, 3, false);
  RecordFloorReply(guard, "b", 0, 0, true);
  EXPECT_TRUE(UpdateGuard(guard, 5).promise_to.empty()) << "one of the two acceptors has no record";
  RecordFloorReply(guard, "c", 0, 0, false);
  GuardActions promises = UpdateGuard(guard, 10);
  EXPECT_EQ(promises.promise_to, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(promises.promise_version, 3u);
  EXPECT_FALSE(promises.in_force_changed);
  RecordPromiseAck(guard, "a", 3);
  EXPECT_FALSE(UpdateGuard(guard, 20).in_force_changed);
  RecordPromiseAck(guard, "c", 3);
  EXPECT_TRUE(UpdateGuard(guard, 30).in_force_changed);
  EXPECT_EQ(guard.in_force, 3u);
}

TEST(VersionGuardRules, RepeatsAnUnansweredPromiseAfter300Ms) {
  GuardState guard = Started({"a", "b"});
  RecordHead(guard, 0);
  RecordFloorReply(guard, "a", 0, 0, false);
  RecordFloorReply(guard, "b", 0, 0, false);
  EXPECT_TRUE(UpdateGuard(guard, 0).in_force_changed);
  RecordTableVersion(guard, 1);
  EXPECT_EQ(UpdateGuard(guard, 100).promise_to.size(), 2u);
  RecordPromiseAck(guard, "a", 1);
  GuardActions waiting = UpdateGuard(guard, 399);
  EXPECT_TRUE(waiting.promise_to.empty());
  EXPECT_EQ(waiting.next_ms, 400);
  EXPECT_EQ(UpdateGuard(guard, 400).promise_to, std::vector<std::string>{"b"});
}

TEST(VersionGuardRules, WaitsForTheHighestPromisedAndTheHighestPeerVersion) {
  GuardState guard = Started({"a", "b"});
  RecordHead(guard, 3);
  RecordTableVersion(guard, 3);
  RecordFloorReply(guard, "a", 5, 0, false);
  RecordFloorReply(guard, "b", 0, 0, false);
  EXPECT_FALSE(CanStartServing(guard));
  RecordTableVersion(guard, 5);
  EXPECT_TRUE(CanStartServing(guard));
  RecordPeerVersion(guard, 6);
  EXPECT_FALSE(CanStartServing(guard));
}

TEST(VersionGuardRules, StartsWithoutThePlatformAfterRepliesOfTwoAcceptorsWithRecords) {
  GuardState guard = Started({"a", "b", "c"});
  RecordTableVersion(guard, 4);
  RecordFloorReply(guard, "a", 4, 4, false);
  RecordFloorReply(guard, "b", 0, 4, true);
  EXPECT_FALSE(CanStartServing(guard));
  RecordFloorReply(guard, "c", 3, 4, false);
  EXPECT_FALSE(CanStartServing(guard)) << "the platform has not failed yet";
  RecordPlatformFailure(guard);
  EXPECT_TRUE(CanStartServing(guard));
}

TEST(VersionGuardRules, SingleNodeHasTheHeadConfirmed) {
  GuardState guard = Started({});
  RecordHead(guard, 0);
  GuardActions early = UpdateGuard(guard, 0);
  EXPECT_FALSE(early.confirm_head);
  EXPECT_EQ(early.next_ms, guard.timing.confirm_after_ms);
  GuardActions due = UpdateGuard(guard, guard.timing.confirm_after_ms);
  EXPECT_TRUE(due.confirm_head);
  EXPECT_FALSE(due.in_force_changed) << "a head that was only read may be stale";
  EXPECT_EQ(due.next_ms, guard.timing.confirm_after_ms + guard.timing.confirm_repeat_ms);
  RecordConfirmedHead(guard, 1);
  EXPECT_FALSE(UpdateGuard(guard, 1'100).in_force_changed)
      << "the table is older than the confirmed version";
  RecordTableVersion(guard, 1);
  EXPECT_TRUE(UpdateGuard(guard, 1'200).in_force_changed);
}

TEST(VersionGuardRules, PromisesAgainToARestartedAcceptor) {
  GuardState guard = Started({"a", "b"});
  RecordHead(guard, 2);
  RecordTableVersion(guard, 2);
  RecordFloorReply(guard, "a", 2, 2, false);
  RecordFloorReply(guard, "b", 2, 2, false);
  EXPECT_TRUE(UpdateGuard(guard, 0).in_force_changed);
  EXPECT_TRUE(UpdateGuard(guard, 1).promise_to.empty());
  ForgetAcceptor(guard, "b");
  GuardActions again = UpdateGuard(guard, 2);
  EXPECT_EQ(again.promise_to, std::vector<std::string>{"b"});
  EXPECT_EQ(again.promise_version, 2u);
}

}  // namespace
}  // namespace guavatrail
