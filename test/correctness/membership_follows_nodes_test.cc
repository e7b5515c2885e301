// Guards against nodes that leave, die, drain or return without the others learning of it in time.
#include "control_plane_fixture.h"

namespace guavatrail {
namespace {

class MembershipFollowsNodes : public test::ControlPlaneFleet {
 protected:
  // All nodes but the one called `name` see it in this state.
  bool OthersSee(const std::string& name, MemberState state) const {
    for (const auto& node : nodes) {
      if (node->settings.node.name != name && !node->HasMemberInState(name, state)) return false;
    }
    return true;
  }
};

TEST_F(MembershipFollowsNodes, LeaveIsAnnouncedBeforeItIsDone) {
  StartSeeded(5);
  bool done = false;
  int64_t start_us = EventLoop::NowUs();
  nodes[4]->plane->Leave([&] { done = true; });
  ASSERT_TRUE(Await([&] { return done; }));
  EXPECT_LE(EventLoop::NowUs() - start_us, 600'000);
  nodes.pop_back();
  EXPECT_TRUE(Await([this] { return OthersSee("a4", MemberState::kLeft); }, 500));
}

TEST_F(MembershipFollowsNodes, LeaveOfALoneNodeIsDoneAtOnce) {
  StartSeeded(1);
  bool done = false;
  nodes[0]->plane->Leave([&] {
    done = true;
    nodes.clear();
  });
  EXPECT_FALSE(done) << "the handler runs from the loop";
  EXPECT_TRUE(Await([&] { return done; }, 100));
}

TEST_F(MembershipFollowsNodes, DrainingFlagSpreadsAndIsTakenBack) {
  StartSeeded(5);
  for (bool draining : {true, false}) {
    nodes[2]->plane->SetDraining(draining);
    EXPECT_TRUE(Await(
        [&] {
          for (const auto& node : nodes) {
            if (node->Endpoints()->FindNode("a2")->draining != draining) return false;
          }
          return true;
        },
        1000));
  }
}

TEST_F(MembershipFollowsNodes, DeadNodeIsFoundAndItsReturnIsSeenAtOnce) {
  StartSeeded(5);
  Settings settings = nodes[4]->settings;
  uint64_t first = nodes[4]->plane->incarnation();
  nodes.pop_back();
  ASSERT_TRUE(Await([this] { return OthersSee("a4", MemberState::kDead); }));
  Start(settings);
  EXPECT_TRUE(Await([this] { return MembershipConverged(); }, 2000));
  EXPECT_GT(nodes[0]->Endpoints()->FindNode("a4")->incarnation, first);
}

TEST_F(MembershipFollowsNodes, QuickRestartIsSeenWithoutADeath) {
  StartSeeded(5);
  Settings settings = nodes[4]->settings;
  nodes.pop_back();
  test::FleetNode& restarted = Start(settings);
  EXPECT_TRUE(Await(
      [&] {
        return MembershipConverged() &&
               nodes[0]->Endpoints()->FindNode("a4")->incarnation == restarted.plane->incarnation();
      },
      2000));
}

TEST_F(MembershipFollowsNodes, QuickReturnAtAnotherAddressIsSeenAtOnce) {
  StartSeeded(5);
  nodes.pop_back();
  Settings moved = MakeSettings("a4");
  moved.membership.seeds = {nodes[0]->Address()};
  test::FleetNode& returned = Start(moved);
  EXPECT_TRUE(Await(
      [&] {
        return MembershipConverged() &&
               nodes[0]->Endpoints()->FindNode("a4")->incarnation == returned.plane->incarnation();
      },
      2000));
}

TEST_F(MembershipFollowsNodes, AnotherNodeAtTheAddressDoesNotKeepADeadOneAlive) {
  StartSeeded(5);
  Settings settings = nodes[4]->settings;
  nodes.pop_back();
  settings.node.name = "b4";
  Start(settings);
  EXPECT_TRUE(Await([this] { return MembershipConverged(); }));
  EXPECT_TRUE(Await([this] { return OthersSee("a4", MemberState::kDead); }));
}

TEST_F(MembershipFollowsNodes, OlderProcessOfANameRefusesWorkUntilTheNewerIsGone) {
  StartSeeded(3);
  test::FleetNode& older = *nodes[2];
  ASSERT_FALSE(older.plane->IsInConflict());
  RunFor(5);
  Settings settings = MakeSettings("a2");
  settings.membership.seeds = {nodes[0]->Address()};
  test::FleetNode& newer = Start(settings);
  EXPECT_TRUE(Await([&] { return older.plane->IsInConflict(); }));
  EXPECT_EQ(older.plane->view().table(), nullptr);
  EXPECT_TRUE(Await([&] {
    return nodes[0]->Endpoints()->FindNode("a2")->incarnation == newer.plane->incarnation();
  }));
  EXPECT_FALSE(newer.plane->IsInConflict());
  bool done = false;
  newer.plane->Leave([&] { done = true; });
  ASSERT_TRUE(Await([&] { return done; }));
  nodes.pop_back();
  EXPECT_TRUE(Await([&] { return !older.plane->IsInConflict() && MembershipConverged(); }));
}

}  // namespace
}  // namespace guavatrail
