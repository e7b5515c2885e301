// Guards against a server that gets work that its version must not have, because of what its node
// knows of a rollout, and against a verdict that is replaced by its opposite.
#include "rollout_state.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

using Phase = RolloutPhase;
using Role = ServerRole;

constexpr char kService[] = "catalogo";

Endpoint Server(const std::string& node, const std::string& version, bool is_canary = false) {
  Endpoint endpoint{.node = node, .service = kService, .version = version};
  endpoint.is_canary = is_canary;
  return endpoint;
}

Role RoleIn(Phase phase, const std::string& version, const EndpointList& endpoints) {
  return RoleOf("own", kService, version, RolloutProgress{"v2", phase}, endpoints);
}

const EndpointList kMixed({Server("a", "v1"), Server("b", "v2", true)});

TEST(RolloutStateTest, RoleFollowsThePhase) {
  EXPECT_EQ(RoleIn(Phase::kRunning, "v2", kMixed), Role::kCanary);
  EXPECT_EQ(RoleIn(Phase::kRunning, "v1", kMixed), Role::kRegular);
  EXPECT_EQ(RoleIn(Phase::kOpening, "v2", kMixed), Role::kRegular);
  EXPECT_EQ(RoleIn(Phase::kOpening, "v1", kMixed), Role::kRegular);
  for (Phase phase : {Phase::kClosing, Phase::kCompleted}) {
    EXPECT_EQ(RoleIn(phase, "v2", kMixed), Role::kRegular);
    EXPECT_EQ(RoleIn(phase, "v1", kMixed), Role::kSuperseded);
  }
  EXPECT_EQ(RoleIn(Phase::kRolledBack, "v2", kMixed), Role::kRejected);
  EXPECT_EQ(RoleIn(Phase::kRolledBack, "v1", kMixed), Role::kRegular);
}

TEST(RolloutStateTest, OldServerIsNeededWithoutNewOnes) {
  EndpointList old({Server("a", "v1"), Server("own", "v1")});
  EXPECT_EQ(RoleIn(Phase::kCompleted, "v1", old), Role::kRegular);
}

TEST(RolloutStateTest, VersionInUseIsNotOnTrial) {
  EndpointList all_new({Server("a", "v2"), Server("b", "v2")});
  EXPECT_EQ(RoleIn(Phase::kRunning, "v2", all_new), Role::kRegular);
}

TEST(RolloutStateTest, OtherVersionIsOnTrialWhileNoRolloutIsKnown) {
  EXPECT_EQ(RoleOf("own", kService, "v2", {}, kMixed), Role::kCanary);
  EXPECT_EQ(RoleOf("own", kService, "v1", {}, kMixed), Role::kRegular);
  EXPECT_EQ(RoleOf("own", kService, "", {}, kMixed), Role::kRegular);
  EXPECT_EQ(RoleOf("own", kService, "v2", {}, EndpointList()), Role::kRegular);
  EndpointList unversioned({Server("a", "")});
  EXPECT_EQ(RoleOf("own", kService, "v2", {}, unversioned), Role::kRegular);
}

TEST(RolloutStateTest, ThirdVersionIsOnTrial) {
  EXPECT_EQ(RoleIn(Phase::kRunning, "v3", kMixed), Role::kCanary);
  EXPECT_EQ(RoleIn(Phase::kRolledBack, "v3", kMixed), Role::kCanary);
}

// A server that was held back while its node knew nothing is no server in use.
TEST(RolloutStateTest, HeldBackServerIsStillOnTrial) {
  Endpoint own = Server("own", "v2");
  own.draining = true;
  EndpointList endpoints({Server("a", "v1"), own});
  EXPECT_EQ(RoleOf("own", kService, "v2", {}, endpoints), Role::kCanary);
}

TEST(RolloutStateTest, VerdictIsNeverReversed) {
  EXPECT_EQ(Merge(Phase::kRolledBack, Phase::kCompleted), Phase::kRolledBack);
  EXPECT_EQ(Merge(Phase::kRolledBack, Phase::kClosing), Phase::kRolledBack);
  EXPECT_EQ(Merge(Phase::kRolledBack, Phase::kRunning), Phase::kRolledBack);
  EXPECT_EQ(Merge(Phase::kCompleted, Phase::kRolledBack), Phase::kCompleted);
  EXPECT_EQ(Merge(Phase::kClosing, Phase::kRolledBack), Phase::kClosing);
  EXPECT_EQ(Merge(Phase::kOpening, Phase::kRolledBack), Phase::kRolledBack);
  EXPECT_EQ(Merge(Phase::kClosing, Phase::kCompleted), Phase::kCompleted);
  EXPECT_EQ(Merge(Phase::kOpening, Phase::kRunning), Phase::kOpening);
}

}  // namespace
}  // namespace guavatrail
