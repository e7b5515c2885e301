// Guards against shares of a route that drift from their weights, on one node with many requests
// and on many nodes with few each.
#include <gtest/gtest.h>

#include <map>

#include "share_chooser.h"

namespace guavatrail {
namespace {

Route RouteWith(std::vector<RouteShare> shares) {
  Route route;
  route.name = "r";
  route.service = shares.front().service;
  route.shares = std::move(shares);
  return route;
}

TEST(ShareChooserKeepsWeights, OnOneNode) {
  ShareChooser chooser;
  RandomSource random(1);
  Route route = RouteWith({{"a", 90}, {"b", 10}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) ++counts[chooser.Choose(route, random)];
  EXPECT_NEAR(counts["a"], 900, 2);
}

TEST(ShareChooserKeepsWeights, OnManyNodesWithFewRequestsEach) {
  RandomSource random(2);
  Route route = RouteWith({{"a", 50}, {"b", 30}, {"c", 20}});
  std::map<std::string, int> counts;
  for (int node = 0; node < 200; ++node) {
    ShareChooser chooser;
    for (int i = 0; i < 3; ++i) ++counts[chooser.Choose(route, random)];
  }
  EXPECT_NEAR(counts["a"], 300, 60);
  EXPECT_NEAR(counts["b"], 180, 60);
  EXPECT_NEAR(counts["c"], 120, 60);
}

TEST(ShareChooserKeepsWeights, ShareOfZeroWeightGetsNoRequests) {
  ShareChooser chooser;
  RandomSource random(3);
  Route route = RouteWith({{"a", 0}, {"b", 1}, {"c", 0}});
  for (int i = 0; i < 100; ++i) EXPECT_EQ(chooser.Choose(route, random), "b");
}

TEST(ShareChooserKeepsWeights, NewWeightsApplyAtOnce) {
  ShareChooser chooser;
  RandomSource random(4);
  for (int i = 0; i < 50; ++i) chooser.Choose(RouteWith({{"a", 1}, {"b", 1}}), random);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(chooser.Choose(RouteWith({{"a", 0}, {"b", 1}}), random), "b");
}

TEST(ShareChooserKeepsWeights, RouteWithoutSharesUsesItsService) {
  ShareChooser chooser;
  RandomSource random(5);
  Route route;
  route.service = "a";
  EXPECT_EQ(chooser.Choose(route, random), "a");
}

}  // namespace
}  // namespace guavatrail
