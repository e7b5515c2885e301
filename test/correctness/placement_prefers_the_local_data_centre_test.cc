// Guards against calls that cross data centres without need, that stay local under overload, or
// that switch between both on every small change of load.
#include <gtest/gtest.h>

#include <vector>

#include "placement.h"

namespace guavatrail {
namespace {

std::vector<PlacementCandidate> Servers(int local_requests) {
  std::vector<PlacementCandidate> servers;
  for (std::string_view node : {"a1", "a2", "b1", "b2"}) {
    PlacementCandidate server{.node = node, .data_centre = node.substr(0, 1), .slots = 10};
    server.load = {.in_service = node[0] == 'a' ? local_requests : 1, .service_us = 5000};
    server.load_age_us = 0;
    servers.push_back(server);
  }
  return servers;
}

int RemoteOf1000(PlacementPolicy& policy, const std::vector<PlacementCandidate>& servers) {
  RandomSource random(7);
  int remote = 0;
  for (int i = 0; i < 1000; ++i) {
    if (servers.at(Choose(policy, servers, random).value()).data_centre == "b") ++remote;
  }
  return remote;
}

TEST(PlacementPrefersTheLocalDataCentre, AndSpillsWithHysteresis) {
  PlacementPolicy policy = TwoChoices({.local_data_centre = "a"});
  EXPECT_EQ(RemoteOf1000(policy, Servers(9)), 0);
  EXPECT_GT(RemoteOf1000(policy, Servers(12)), 500);
  EXPECT_TRUE(IsSpilling(policy));
  EXPECT_GT(RemoteOf1000(policy, Servers(9)), 200);
  EXPECT_EQ(RemoteOf1000(policy, Servers(6)), 0);
  EXPECT_FALSE(IsSpilling(policy));
}

// Guards against calls that change places between data centres which are equally full.
TEST(PlacementPrefersTheLocalDataCentre, WhenTheWholeServiceIsFull) {
  PlacementPolicy policy = TwoChoices({.local_data_centre = "a"});
  std::vector<PlacementCandidate> servers = Servers(15);
  for (auto& server : servers) server.load.in_service = 15;
  EXPECT_EQ(RemoteOf1000(policy, servers), 0);
  EXPECT_TRUE(IsSpilling(policy));
  // One remote server has room.
  servers[2].load.in_service = 2;
  EXPECT_GT(RemoteOf1000(policy, servers), 200);
}

TEST(PlacementPrefersTheLocalDataCentre, AndGoesElsewhereWhenNoLocalServerIsUsable) {
  PlacementPolicy policy = TwoChoices({.local_data_centre = "a"});
  std::vector<PlacementCandidate> servers = Servers(1);
  servers[0].is_backed_off = servers[1].is_backed_off = true;
  EXPECT_EQ(RemoteOf1000(policy, servers), 1000);
  for (auto& server : servers) server.is_backed_off = true;
  RandomSource random(1);
  EXPECT_TRUE(Choose(policy, servers, random).has_value());
  EXPECT_FALSE(Choose(policy, {}, random).has_value());
}

}  // namespace
}  // namespace guavatrail
