// Guards against a configuration that is refused because of the names of its rules, and against a
// rule that gets the state of another: names are labels, which may repeat and change.
#include <gtest/gtest.h>

#include "config_decoder.h"
#include "config_spec.h"
#include "share_chooser.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

// The host of index i has the rules of names[i], for the prefixes /0/, /1/ and so on, each to a
// service of its own.
json ConfigWithNames(uint64_t version, const std::vector<std::vector<std::string>>& names) {
  std::vector<json> hosts;
  for (size_t i = 0; i < names.size(); ++i) {
    std::vector<json> rules;
    for (size_t j = 0; j < names[i].size(); ++j) {
      std::string service = "svc-" + std::to_string(i) + "-" + std::to_string(j);
      rules.push_back(MakeRule(names[i][j], "/" + std::to_string(j) + "/", ToService(service)));
    }
    hosts.push_back(MakeHost("host-" + std::to_string(i) + ".example", rules));
  }
  return MakeConfig(version, hosts);
}

void ExpectAllServed(const std::vector<std::vector<std::string>>& names) {
  auto config = DecodeConfig(ConfigWithNames(7, names));
  ASSERT_TRUE(config) << config.error().message;
  for (size_t i = 0; i < names.size(); ++i) {
    for (size_t j = 0; j < names[i].size(); ++j) {
      const Route* route = config->MatchRoute("/" + std::to_string(j) + "/x",
                                              "host-" + std::to_string(i) + ".example");
      ASSERT_NE(route, nullptr) << i << " " << j;
      EXPECT_EQ(route->service, "svc-" + std::to_string(i) + "-" + std::to_string(j));
    }
  }
}

TEST(RuleIdentity, TwoHostsMayUseTheSameName) { ExpectAllServed({{"rule-1"}, {"rule-1"}}); }

TEST(RuleIdentity, NameThatIsNoIdentifierDoesNotCollideWithAnother) {
  ExpectAllServed({{"rule-1", "Busca"}});
  ExpectAllServed({{"Busca", "rule-0", "rule-1", "rule-2"}});
}

TEST(RuleIdentity, NamesMayRepeatAndResembleNumberedOnes) {
  ExpectAllServed({{"r"}, {"r"}, {"r"}, {"rule-1"}, {"rule-2", "rule-3"}});
  ExpectAllServed({{"r", "r", "r"}, {"rule-1", "r"}, {"r", "rule-2"}});
}

TEST(RuleIdentity, NameMayBeMissingLongOrOfAnyText) {
  ExpectAllServed({{"", ""}, {std::string(300, 'n'), std::string(300, 'n')}});
  ExpectAllServed({{"Pe\xc3\xa7"
                    "as",
                    "a \"b\"\n", "rule-1"},
                   {"Pe\xc3\xa7"
                    "as"}});
}

TEST(RuleIdentity, ManyHostsMayUseTheSameNames) {
  ExpectAllServed(std::vector<std::vector<std::string>>(100, {"rule-1", "rule-50", "Busca"}));
}

TEST(RuleIdentity, RulesThatSwapNamesKeepTheirIdentity) {
  auto before = DecodeConfig(ConfigWithNames(7, {{"rule-1", "rule-2"}, {"rule-2"}}));
  auto after = DecodeConfig(ConfigWithNames(9, {{"rule-2", "rule-1"}, {"rule-1"}}));
  ASSERT_TRUE(before && after);
  for (const char* host : {"host-0.example", "host-1.example"}) {
    EXPECT_EQ(before->MatchRoute("/0/x", host)->name, after->MatchRoute("/0/x", host)->name);
  }
  EXPECT_NE(after->MatchRoute("/0/x", "host-0.example")->name,
            after->MatchRoute("/0/x", "host-1.example")->name);
}

TEST(RuleIdentity, ReorderedAndAddedRulesLeaveOthersUnchanged) {
  json a = MakeRule("rule-1", "/a/", SplitByWeights({1, 1}));
  json b = MakeRule("rule-1", "/b/", ToService("catalogo"));
  json c = MakeRule("", "/c/", ToService("catalogo"));
  auto before = DecodeConfig(MakeConfig(7, {MakeHost("x.example", {a, b})}));
  auto after = DecodeConfig(
      MakeConfig(9, {MakeHost("w.example", {a, c}), MakeHost("x.example", {c, b, a})}));
  ASSERT_TRUE(before && after);
  for (const char* path : {"/a/1", "/b/1"}) {
    EXPECT_EQ(*before->MatchRoute(path, "x.example"), *after->MatchRoute(path, "x.example"));
  }
  ReleaseNote change = after->ChangeSince(*before);
  EXPECT_EQ(change.added.size(), 3U);
  EXPECT_TRUE(change.changed.empty());
  EXPECT_TRUE(change.withdrawn.empty());
}

// The next request of a split continues where the last one was, whatever the other rules are.
TEST(RuleIdentity, SplitKeepsItsPositionWhenRulesSwapNames) {
  json split = SplitByWeights({1, 1});
  auto config = [&](uint64_t version, const std::string& first, const std::string& second) {
    return DecodeConfig(
        MakeConfig(version, {MakeHost("x.example", {MakeRule(first, "/a/", split)}),
                             MakeHost("y.example", {MakeRule(second, "/a/", split)})}));
  };
  auto before = config(7, "rule-1", "rule-2");
  auto after = config(9, "rule-2", "rule-1");
  ASSERT_TRUE(before && after);
  ShareChooser chooser;
  RandomSource random(3);
  std::string last;
  for (int i = 0; i < 20; ++i) {
    const ConfigTable& table = i % 2 == 0 ? *before : *after;
    std::string service = chooser.Choose(*table.MatchRoute("/a/1", "x.example"), random);
    EXPECT_NE(service, last) << i;
    last = service;
  }
}

TEST(RuleIdentity, FirstOfTwoRulesForTheSameRequestsApplies) {
  json first = MakeRule("a", "/a/", ToService("catalogo"));
  json second = MakeRule("b", "/a/", ToService("encomendas"));
  std::vector<ConfigNotice> notices;
  auto config = DecodeConfig(
      MakeConfig(7, {MakeHost("x.example", {first}), MakeHost("X.Example", {second})}), &notices);
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_EQ(config->MatchRoute("/a/1", "x.example")->service, "catalogo");
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].subject, "rule x.example/a/");
}

}  // namespace
}  // namespace guavatrail::platform
