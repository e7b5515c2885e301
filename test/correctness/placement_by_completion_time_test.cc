// Guards against calls that wait at a slow or busy server while another one, also in another data
// centre, would have answered earlier; and against all calls going to the same server.
#include <gtest/gtest.h>

#include <vector>

#include "placement.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;
constexpr int kCalls = 3000;

// Three servers in data centre "a" and two in "b", with a service time of 100 ms.
std::vector<PlacementCandidate> Servers() {
  std::vector<PlacementCandidate> servers;
  for (std::string_view node : {"a1", "a2", "a3", "b1", "b2"}) {
    PlacementCandidate server{.node = node, .data_centre = node.substr(0, 1), .slots = 10};
    server.load = {.in_service = 3, .service_us = 100'000};
    server.load_age_us = 0;
    servers.push_back(server);
  }
  return servers;
}

std::vector<int> Counts(const std::vector<PlacementCandidate>& servers) {
  PlacementPolicy policy = CompletionTime({.local_data_centre = "a"});
  RandomSource random(5);
  std::vector<int> counts(servers.size());
  for (int i = 0; i < kCalls; ++i) ++counts.at(Choose(policy, servers, random).value());
  return counts;
}

TEST(PlacementByCompletionTime, EqualServersServeTheirDataCentreInEqualParts) {
  std::vector<int> counts = Counts(Servers());
  EXPECT_EQ(counts[3] + counts[4], 0);
  for (int i = 0; i < 3; ++i) EXPECT_GT(counts[static_cast<size_t>(i)], kCalls / 5) << i;
}

TEST(PlacementByCompletionTime, AvoidsSlowAndBusyServers) {
  auto servers = Servers();
  servers[0].load.service_us = 300'000;
  EXPECT_EQ(Counts(servers)[0], 0);
  servers = Servers();
  servers[0].load.queued = 8;
  EXPECT_EQ(Counts(servers)[0], 0);
  // All slots of the server that it handles well are in use.
  servers = Servers();
  servers[0].load.usable_slots = 3;
  EXPECT_EQ(Counts(servers)[0], 0);
}

TEST(PlacementByCompletionTime, LeavesTheDataCentreWhenTheGainExceedsTheDistance) {
  auto servers = Servers();
  for (size_t i = 0; i < 3; ++i) servers[i].load.service_us = 150'000;
  std::vector<int> counts = Counts(servers);
  EXPECT_EQ(counts[3] + counts[4], kCalls);
  // A gain of 0.5 ms is less than the distance.
  for (size_t i = 0; i < 3; ++i) servers[i].load.service_us = 1'500;
  for (size_t i = 3; i < 5; ++i) servers[i].load.service_us = 1'000;
  counts = Counts(servers);
  EXPECT_EQ(counts[3] + counts[4], 0);
}

TEST(PlacementByCompletionTime, ReportsLoseTheirWeight) {
  auto servers = Servers();
  servers[0].load.queued = 20;
  servers[0].load.service_us = 300'000;
  servers[0].load_age_us = 15 * kSecond;
  EXPECT_GT(Counts(servers)[0], kCalls / 10);
}

TEST(PlacementByCompletionTime, TriesNewServersButNotAllCallsAtOnce) {
  auto servers = Servers();
  servers[4].load_age_us = -1;
  servers[4].load = {};
  servers[4].age_us = kSecond / 10;
  int at_once = Counts(servers)[4];
  EXPECT_GT(at_once, 0);
  EXPECT_LT(at_once, kCalls / 20);
  servers[4].age_us = 2 * kSecond;
  EXPECT_GT(Counts(servers)[4], kCalls / 5);
  // One call of this node tells enough.
  servers[4].local_in_flight = 1;
  EXPECT_LT(Counts(servers)[4], kCalls / 20);
}

TEST(PlacementByCompletionTime, BackedOffServersAreTheLastChoice) {
  auto servers = Servers();
  for (size_t i = 0; i < 4; ++i) servers[i].is_backed_off = true;
  EXPECT_EQ(Counts(servers)[4], kCalls);
  servers[4].is_backed_off = true;
  EXPECT_LT(Counts(servers)[4], kCalls);
  PlacementPolicy policy = CompletionTime({.local_data_centre = "a"});
  RandomSource random(1);
  EXPECT_FALSE(Choose(policy, {}, random));
}

}  // namespace
}  // namespace guavatrail
