// Guards against nodes that choose different coordinators, that stay with a silent one, or that do
// not return to the first one.
#include "coordinator_selector.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace guavatrail {
namespace {

constexpr int64_t kUsPerS = 1'000'000;
using Nodes = std::vector<std::string>;

class CoordinatorSelectorTest : public testing::Test {
 protected:
  CoordinatorSelectorTest() {
    for (int i = 1; i <= 9; ++i) {
      m_endpoints.push_back({.node = "node-" + std::to_string(i),
                             .data_centre = i <= 4 ? "braga" : "porto",
                             .link_mbps = 10.0 * i});
    }
    Apply();
  }
  void Apply() { m_selector.SetEndpoints(EndpointList(m_endpoints)); }

  int64_t m_now_us = 100 * kUsPerS;
  std::vector<Endpoint> m_endpoints;
  CoordinatorSelector m_selector;
};

TEST_F(CoordinatorSelectorTest, NodeWithTheFastestLinkIsFirst) {
  EXPECT_EQ(m_selector.current(), "node-9");
  EXPECT_EQ(m_selector.Targets(m_now_us), Nodes{"node-9"});
}

TEST_F(CoordinatorSelectorTest, OrderOfTheListDoesNotMatter) {
  for (Endpoint& endpoint : m_endpoints) endpoint.link_mbps = 0;
  CoordinatorSelector one;
  one.SetEndpoints(EndpointList(m_endpoints));
  std::reverse(m_endpoints.begin(), m_endpoints.end());
  CoordinatorSelector other;
  other.SetEndpoints(EndpointList(m_endpoints));
  EXPECT_EQ(other.current(), one.current());
}

TEST_F(CoordinatorSelectorTest, SecondCandidateIsInAnotherDataCentre) {
  EXPECT_TRUE(m_selector.OnSilence("node-9", m_now_us));
  EXPECT_EQ(m_selector.current(), "node-4");
  EXPECT_TRUE(m_selector.OnSilence("node-4", m_now_us));
  EXPECT_EQ(m_selector.current(), "node-8");
  // After the last one, the first is due at the next report.
  EXPECT_FALSE(m_selector.OnSilence("node-8", m_now_us));
  EXPECT_EQ(m_selector.current(), "node-9");
}

TEST_F(CoordinatorSelectorTest, LostMessageDoesNotChangeTheCoordinator) {
  m_selector.OnReply("node-9", m_now_us + 250'000);
  EXPECT_FALSE(m_selector.OnSilence("node-9", m_now_us));
  EXPECT_EQ(m_selector.current(), "node-9");
}

TEST_F(CoordinatorSelectorTest, FirstCandidateIsTriedAgainAndFollowed) {
  m_selector.Targets(m_now_us);
  m_selector.OnSilence("node-9", m_now_us);
  EXPECT_EQ(m_selector.Targets(m_now_us + 500'000), Nodes{"node-4"});
  EXPECT_EQ(m_selector.Targets(m_now_us + kUsPerS), (Nodes{"node-9", "node-4"}));
  // It replies, but not yet for enough nodes.
  m_selector.OnReply("node-9", m_now_us + kUsPerS);
  EXPECT_EQ(m_selector.Targets(m_now_us + kUsPerS + 250'000), (Nodes{"node-9", "node-4"}));
  m_selector.Follow("node-9");
  EXPECT_EQ(m_selector.Targets(m_now_us + kUsPerS + 500'000), Nodes{"node-9"});
}

TEST_F(CoordinatorSelectorTest, LeavingNodeIsNoCandidate) {
  m_endpoints.back().draining = true;
  Apply();
  EXPECT_EQ(m_selector.current(), "node-8");
  m_endpoints.pop_back();
  Apply();
  EXPECT_EQ(m_selector.current(), "node-8");
}

TEST_F(CoordinatorSelectorTest, WithoutEndpointsThereIsNoTarget) {
  m_selector.SetEndpoints(EndpointList());
  EXPECT_TRUE(m_selector.Targets(m_now_us).empty());
  EXPECT_EQ(m_selector.current(), "");
  EXPECT_FALSE(m_selector.OnSilence("node-9", m_now_us));
}

}  // namespace
}  // namespace guavatrail
