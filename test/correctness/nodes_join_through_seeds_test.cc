// Guards against nodes that do not find each other, or need the platform although a contact from
// their settings answers.
#include "control_plane_fixture.h"
#include "seed_list.h"

namespace guavatrail {
namespace {

class NodesJoinThroughSeeds : public test::ControlPlaneFleet {
 protected:
  void StartPlatform() { platform = std::make_unique<FakePlatform>(loop); }
  std::vector<std::string> Listed(const std::string& data_centre) {
    return DecodeSeeds(platform->Value(SeedKey(data_centre)).value_or(""));
  }
};

TEST_F(NodesJoinThroughSeeds, OfTheSettingsWithoutAPlatform) { StartSeeded(6); }

TEST_F(NodesJoinThroughSeeds, OfThePlatformAlone) {
  StartPlatform();
  for (int i = 0; i < 4; ++i) Start(MakeSettings("a" + std::to_string(i)));
  EXPECT_TRUE(Await([this] { return MembershipConverged(); }));
}

TEST_F(NodesJoinThroughSeeds, OfAnotherDataCentre) {
  StartPlatform();
  Start(MakeSettings("a0", "braga"));
  ASSERT_TRUE(Await([this] { return Listed("braga").size() == 1; }));
  Start(MakeSettings("b0", "porto"));
  EXPECT_TRUE(Await([this] { return MembershipConverged(); }));
  EXPECT_TRUE(Await([this] { return Listed("porto").size() == 1; }));
}

TEST_F(NodesJoinThroughSeeds, DeadEntriesAreReplacedAndLivingOnesKept) {
  StartPlatform();
  std::vector<std::string> dead(kMaxSeeds);
  for (std::string& address : dead) address = "127.0.0.1:" + std::to_string(test::FreePort());
  platform->Put(SeedKey("braga"), EncodeSeeds(dead));
  test::FleetNode& node = Start(MakeSettings("a0"));
  EXPECT_TRUE(Await([&] {
    auto listed = Listed("braga");
    return std::find(listed.begin(), listed.end(), node.Address()) != listed.end();
  }));
  EXPECT_EQ(Listed("braga").size(), kMaxSeeds);
}

TEST_F(NodesJoinThroughSeeds, UnreachableContactsAreTriedAgain) {
  Settings later = MakeSettings("a0");
  Settings early = MakeSettings("a1");
  early.membership.seeds = {"127.0.0.1:" + std::to_string(later.listen.control_port)};
  Start(early);
  RunFor(1500);
  Start(later);
  EXPECT_TRUE(Await([this] { return MembershipConverged(); }));
}

TEST_F(NodesJoinThroughSeeds, MalformedListIsReplaced) {
  StartPlatform();
  platform->Put(SeedKey("braga"), "{broken");
  test::FleetNode& node = Start(MakeSettings("a0"));
  EXPECT_TRUE(Await([&] { return Listed("braga") == std::vector<std::string>{node.Address()}; }));
}

}  // namespace
}  // namespace guavatrail
