// Guards against calls that go to the more loaded of two servers, to a new server at the full rate,
// or that never go to a server again because of an old load report.
#include <gtest/gtest.h>

#include <array>
#include <vector>

#include "placement.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;

std::vector<PlacementCandidate> Servers() {
  std::vector<PlacementCandidate> servers;
  for (std::string_view node : {"a1", "a2", "a3"}) {
    PlacementCandidate server{.node = node, .data_centre = "a", .slots = 9};
    server.load = {.in_service = 3, .service_us = 5000};
    server.load_age_us = 0;
    servers.push_back(server);
  }
  return servers;
}

std::array<int, 3> Shares(const std::vector<PlacementCandidate>& servers, PlacementPolicy policy) {
  RandomSource random(3);
  std::array<int, 3> counts{};
  for (int i = 0; i < 3000; ++i) ++counts.at(Choose(policy, servers, random).value());
  return counts;
}

PlacementPolicy TwoChoicesPolicy() { return TwoChoices({.local_data_centre = "a"}); }

TEST(PlacementBalancesByLoad, AvoidsTheMostLoadedServer) {
  auto servers = Servers();
  servers[0].load.queued = 4;
  EXPECT_EQ(Shares(servers, TwoChoicesPolicy())[0], 0);
  servers = Servers();
  servers[1].load.service_us = 50'000;
  EXPECT_EQ(Shares(servers, TwoChoicesPolicy())[1], 0);
  servers = Servers();
  servers[2].local_in_flight = 5;  // Calls since the report count at once.
  EXPECT_EQ(Shares(servers, TwoChoicesPolicy())[2], 0);
}

// Guards against work for a server that looks idle because a rate limit keeps its slots empty.
TEST(PlacementBalancesByLoad, CountsOnlyTheSlotsThatARateLimitLeaves) {
  auto servers = Servers();
  servers[0].load = {.in_service = 2, .service_us = 5000, .usable_slots = 2};
  EXPECT_EQ(Shares(servers, TwoChoicesPolicy())[0], 0);
  servers[0].load.usable_slots = 0;
  EXPECT_GT(Shares(servers, TwoChoicesPolicy())[0], 1000);
  // The limit may have ended since an old report.
  servers[0].load.usable_slots = 2;
  servers[0].load_age_us = 5 * kSecond;
  EXPECT_GT(Shares(servers, TwoChoicesPolicy())[0], 500);
}

TEST(PlacementBalancesByLoad, DiscountsOldReports) {
  auto servers = Servers();
  servers[0].load.queued = 9;
  servers[0].load.service_us = 50'000;
  servers[0].load_age_us = 5 * kSecond;
  // A report that is 5 s old has almost no weight, so the server is rated by the average load of
  // the others. Apart from ties, it gets a third of the 3,000 calls.
  EXPECT_GT(Shares(servers, TwoChoicesPolicy())[0], 500);
}

TEST(PlacementBalancesByLoad, SlowStartOfNewServers) {
  auto servers = Servers();
  servers[0].age_us = 0;
  int at_start = Shares(servers, TwoChoicesPolicy())[0];
  servers[0].age_us = 5 * kSecond;
  int halfway = Shares(servers, TwoChoicesPolicy())[0];
  EXPECT_GT(at_start, 30);
  EXPECT_LT(at_start, 300);
  EXPECT_GT(halfway, 2 * at_start);
  EXPECT_LT(halfway, 1000);
}

TEST(PlacementBalancesByLoad, BaselineIsRoundRobin) {
  auto servers = Servers();
  servers[0].load.queued = 100;
  EXPECT_EQ(Shares(servers, RoundRobin()), (std::array<int, 3>{1000, 1000, 1000}));
}

TEST(PlacementBalancesByLoad, TrackerFillsCandidates) {
  LoadTracker tracker;
  PlacementCandidate server{.node = "a1", .data_centre = "a", .slots = 9};
  tracker.FillCandidate(server, 0);
  EXPECT_EQ(server.load_age_us, -1);
  tracker.AddServer("a1", kSecond);
  tracker.OnCallSent("a1", kSecond);
  tracker.OnCallSent("a1", kSecond);
  tracker.OnCallEnded("a1");
  tracker.OnLoadReport("a1", {.in_service = 4, .queued = 1, .service_us = 700}, 2 * kSecond);
  tracker.OnCallSent("a1", 2 * kSecond);
  tracker.OnRefusal("a1", 500, 2 * kSecond);
  tracker.FillCandidate(server, 2 * kSecond + 100'000);
  EXPECT_EQ(server.load, (ServerLoad{4, 1, 700}));
  EXPECT_EQ(server.load_age_us, 100'000);
  EXPECT_EQ(server.local_in_flight, 2);
  EXPECT_EQ(server.local_in_flight_at_report, 1);
  EXPECT_EQ(server.age_us, kSecond + 100'000);
  EXPECT_TRUE(server.is_backed_off);
  tracker.FillCandidate(server, 2 * kSecond + 500'000);
  EXPECT_FALSE(server.is_backed_off);
}

}  // namespace
}  // namespace guavatrail
