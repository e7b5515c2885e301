// Guards against a configuration that is refused because of the form or the size of its weights:
// only their proportions count.
#include <gtest/gtest.h>

#include <map>

#include "config_codec.h"
#include "config_decoder.h"
#include "config_spec.h"
#include "share_chooser.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

tl::expected<ConfigTable, DecodeError> ConfigWithWeights(const std::vector<json>& weights) {
  return DecodeConfig(
      MakeConfig(7, {MakeHost("x.example", {MakeRule("r", "/a/", SplitByWeights(weights))})}));
}

void ExpectProportions(const std::vector<json>& weights, const std::vector<int>& of_thousand) {
  auto config = ConfigWithWeights(weights);
  ASSERT_TRUE(config) << config.error().message;
  auto carried = DecodeTable(EncodeTable(*config));
  ASSERT_TRUE(carried) << carried.error().message;
  EXPECT_EQ(*carried, *config);
  ShareChooser chooser;
  RandomSource random(1);
  std::map<std::string, int> counts;
  const Route* route = carried->MatchRoute("/a/1", "x.example");
  for (int i = 0; i < 1000; ++i) ++counts[chooser.Choose(*route, random)];
  for (size_t i = 0; i < of_thousand.size(); ++i) {
    EXPECT_NEAR(counts["svc-" + std::to_string(i)], of_thousand[i], 2) << json(weights).dump();
  }
}

TEST(SplitWeights, NumbersOfAnyFormKeepTheirProportions) {
  ExpectProportions({90, 10}, {900, 100});
  ExpectProportions({0.9, 0.1}, {900, 100});
  ExpectProportions({100.0, 300.0}, {250, 750});
  ExpectProportions({5'000'000, 15'000'000}, {250, 750});
  ExpectProportions({1e-9, 3e-9}, {250, 750});
  ExpectProportions({1.5e308, 0.5e308}, {750, 250});
  ExpectProportions({0, 0.1}, {0, 1000});
}

TEST(SplitWeights, ManyServicesMayShareARoute) {
  ExpectProportions(std::vector<json>(100, 0.5), std::vector<int>(100, 10));
}

// Such a route takes no requests; the others of the configuration apply.
TEST(SplitWeights, ZeroWeightsOnlyDoNotHoldBackTheConfiguration) {
  auto config = ConfigWithWeights({0, 0});
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_FALSE(ShareChooser::HasService(*config->MatchRoute("/a/1", "x.example")));
}

TEST(SplitWeights, ValuesThatAreNoProportionAreRefused) {
  for (const json& weight : {json(-1), json(-0.5), json("1"), json(nullptr), json::array()}) {
    EXPECT_FALSE(ConfigWithWeights({1, weight})) << weight.dump();
  }
}

}  // namespace
}  // namespace guavatrail::platform
