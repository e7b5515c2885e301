// Guards against a request that crashes more servers than a quarantine allows because several nodes
// send it at the same moment after a loss of all nodes.
#include "crash_containment.h"

#include <gtest/gtest.h>

#include <map>

namespace guavatrail {
namespace {

constexpr int64_t kSecondUs = 1'000'000;

EndpointList MakeEndpoints(int count, const std::string& service = "shop") {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    endpoints.push_back({.node = "node-" + std::to_string(i), .service = service});
  }
  return EndpointList(endpoints);
}

TEST(CrashContainmentTest, IsInactiveUntilItStarts) {
  CrashContainment containment;
  EXPECT_FALSE(containment.IsContained("a", kSecondUs));
  containment.Start(kSecondUs);
  EXPECT_TRUE(containment.IsContained("a", kSecondUs));
}

TEST(CrashContainmentTest, LastsAsLongAsAQuarantine) {
  CrashContainment containment;
  containment.Start(0);
  EXPECT_TRUE(containment.IsActive(299 * kSecondUs));
  EXPECT_FALSE(containment.IsActive(301 * kSecondUs));
  // It does not start again in the same process.
  containment.Start(302 * kSecondUs);
  EXPECT_FALSE(containment.IsActive(303 * kSecondUs));
}

TEST(CrashContainmentTest, AnsweredRequestIsExempt) {
  CrashContainment containment;
  containment.Start(0);
  containment.OnCrashHere("a", 1);
  EXPECT_TRUE(containment.HasCrashedHere("a"));
  containment.OnAnswered("a", 2);
  EXPECT_FALSE(containment.HasCrashedHere("a"));
  EXPECT_FALSE(containment.IsContained("a", 3));
  EXPECT_TRUE(containment.IsContained("b", 3));
}

// News of an older process may arrive before the own record is read.
TEST(CrashContainmentTest, DoesNotStartOnceItHasEnded) {
  CrashContainment containment;
  containment.End();
  containment.Start(0);
  EXPECT_FALSE(containment.IsActive(1));
}

TEST(CrashContainmentTest, MemoryIsBounded) {
  CrashContainment containment;
  containment.Start(0);
  for (size_t i = 0; i <= CrashContainment::kMaxRequests; ++i) {
    containment.OnAnswered(std::to_string(i), 1);
  }
  EXPECT_FALSE(containment.IsContained("0", 2));
  EXPECT_TRUE(containment.IsContained(std::to_string(CrashContainment::kMaxRequests), 2));
}

TEST(ShardTest, HasAsManyNodesAsServersMayCrash) {
  EndpointList endpoints = MakeEndpoints(10);
  Shard shard = ShardOf("a", endpoints, "shop");
  EXPECT_EQ(shard.nodes.size(), 3U);
  EXPECT_EQ(shard.other_nodes.size(), 7U);
  EXPECT_EQ(ShardOf("a", MakeEndpoints(2), "shop").nodes.size(), 2U);
  EXPECT_TRUE(ShardOf("a", endpoints, "other").nodes.empty());
}

// The order in which a node has learned of the others does not matter.
TEST(ShardTest, IsTheSameOnAllNodes) {
  EndpointList endpoints = MakeEndpoints(10);
  std::vector<Endpoint> reversed(endpoints.all().rbegin(), endpoints.all().rend());
  EXPECT_EQ(ShardOf("a", endpoints, "shop").nodes,
            ShardOf("a", EndpointList(reversed), "shop").nodes);
}

// A node that leaves is replaced in the shards that it belonged to, and the others stay.
TEST(ShardTest, ChangesOnlyWithItsOwnNodes) {
  std::vector<Endpoint> endpoints = MakeEndpoints(10).all();
  Shard before = ShardOf("a", EndpointList(endpoints), "shop");
  for (Endpoint& endpoint : endpoints) {
    endpoint.draining = endpoint.node == before.other_nodes[0];
  }
  EXPECT_EQ(ShardOf("a", EndpointList(endpoints), "shop").nodes, before.nodes);
  for (Endpoint& endpoint : endpoints) endpoint.draining = endpoint.node == before.nodes[0];
  Shard after = ShardOf("a", EndpointList(endpoints), "shop");
  EXPECT_EQ(after.nodes.size(), 3U);
  EXPECT_EQ(after.nodes[0], before.nodes[1]);
  EXPECT_EQ(after.nodes[1], before.nodes[2]);
}

// The requests of a service are spread over all of its nodes.
TEST(ShardTest, ShardsUseAllNodesAlike) {
  EndpointList endpoints = MakeEndpoints(10);
  std::map<std::string, int> uses;
  for (int i = 0; i < 1'000; ++i) {
    for (const std::string& node : ShardOf(std::to_string(i), endpoints, "shop").nodes) {
      ++uses[node];
    }
  }
  ASSERT_EQ(uses.size(), 10U);
  for (const auto& [node, count] : uses) {
    EXPECT_GT(count, 200) << node;
    EXPECT_LT(count, 400) << node;
  }
}

}  // namespace
}  // namespace guavatrail
