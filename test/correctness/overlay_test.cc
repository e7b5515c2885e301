// Guards against an overlay that is partitioned, has long paths or nodes with many connections, or
// is computed differently by two nodes.
#include "overlay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <set>

namespace guavatrail {
namespace {

constexpr int kRings = 4;

std::vector<std::string> Names(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) names.push_back("catalogo-" + std::to_string(i));
  return names;
}

// Number of hops from `start` to the farthest node; -1 when a node is unreachable.
int Eccentricity(const Overlay& overlay, const std::vector<std::string>& names,
                 const std::string& start) {
  std::map<std::string, int> distance{{start, 0}};
  std::deque<std::string> queue{start};
  int farthest = 0;
  while (!queue.empty()) {
    std::string node = queue.front();
    queue.pop_front();
    farthest = distance[node];
    for (const std::string& next : overlay.Neighbours(node)) {
      if (distance.emplace(next, farthest + 1).second) queue.push_back(next);
    }
  }
  return distance.size() == names.size() ? farthest : -1;
}

struct Bound {
  size_t members;
  int diameter;
};
// gtest prints the parameter in test names; without this it would print raw bytes with padding.
std::ostream& operator<<(std::ostream& out, const Bound& bound) { return out << bound.members; }

class OverlayConnectivity : public testing::TestWithParam<Bound> {};

TEST_P(OverlayConnectivity, WithinDiameterAndDegree) {
  std::vector<std::string> names = Names(GetParam().members);
  Overlay overlay(names, kRings);
  int diameter = 0;
  for (const std::string& name : names) {
    int eccentricity = Eccentricity(overlay, names, name);
    ASSERT_GE(eccentricity, 0) << name << " does not reach every node";
    diameter = std::max(diameter, eccentricity);
    EXPECT_LE(overlay.Successors(name).size(), static_cast<size_t>(kRings));
    EXPECT_LE(overlay.Neighbours(name).size(), static_cast<size_t>(2 * kRings));
    EXPECT_GE(overlay.Predecessors(name).size(), 2U);
  }
  std::cout << "members=" << names.size() << " diameter=" << diameter << '\n';
  EXPECT_LE(diameter, GetParam().diameter);
}

INSTANTIATE_TEST_SUITE_P(Sizes, OverlayConnectivity,
                         testing::Values(Bound{10, 2}, Bound{50, 3}, Bound{150, 4}, Bound{550, 5}));

TEST(OverlayTest, SuccessorsAndPredecessorsAreInverse) {
  std::vector<std::string> names = Names(50);
  Overlay overlay(names, kRings);
  for (const std::string& name : names) {
    for (const std::string& next : overlay.Successors(name)) {
      std::vector<std::string> back = overlay.Predecessors(next);
      EXPECT_NE(std::find(back.begin(), back.end(), name), back.end());
    }
  }
}

TEST(OverlayTest, IndependentOfTheOrderOfNames) {
  std::vector<std::string> names = Names(50);
  Overlay overlay(names, kRings);
  std::reverse(names.begin(), names.end());
  Overlay reversed(names, kRings);
  for (const std::string& name : names) {
    EXPECT_EQ(overlay.Neighbours(name), reversed.Neighbours(name));
  }
}

TEST(OverlayTest, SmallAndUnknownMembers) {
  EXPECT_TRUE(Overlay().Neighbours("a").empty());
  EXPECT_TRUE(Overlay({"a"}, kRings).Neighbours("a").empty());
  EXPECT_EQ(Overlay({"a", "b"}, kRings).Neighbours("a"), std::vector<std::string>{"b"});
  EXPECT_TRUE(Overlay({"a", "b"}, kRings).Neighbours("c").empty());
}

// With a different hash, nodes of two builds would disagree about neighbours, watchers and
// acceptors.
TEST(OverlayTest, HashIsStableBetweenProcessesAndBuilds) {
  EXPECT_EQ(StableHash(1, "catalogo-1"), StableHash(1, "catalogo-1"));
  EXPECT_NE(StableHash(1, "catalogo-1"), StableHash(2, "catalogo-1"));
  EXPECT_EQ(StableHash(1, "catalogo-1"), 15403962733022567358U);
}

TEST(OverlayTest, RendezvousReplacesAtMostOneName) {
  std::vector<std::string> names = Names(100);
  std::vector<std::string> top = RendezvousTop("config/head", names, 2);
  ASSERT_EQ(top.size(), 2U);
  for (const std::string& removed : names) {
    std::vector<std::string> rest = names;
    std::erase(rest, removed);
    std::vector<std::string> next = RendezvousTop("config/head", rest, 2);
    std::set<std::string> kept(next.begin(), next.end());
    size_t common = kept.count(top[0]) + kept.count(top[1]);
    bool was_chosen = removed == top[0] || removed == top[1];
    EXPECT_EQ(common, was_chosen ? 1U : 2U) << removed;
  }
  EXPECT_EQ(RendezvousTop("x", {"a"}, 3).size(), 1U);
}

}  // namespace
}  // namespace guavatrail
