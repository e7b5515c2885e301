// Guards against a version that is held back as a whole by a part that no request can meet, and
// against values that are replaced by others without a notice; see docs/design/config-versions.md.
#include <gtest/gtest.h>

#include "config_decoder.h"
#include "config_spec.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

json SoundRule() { return MakeRule("sound", "/sound/", ToService("catalogo")); }

json ConfigWithRules(const std::string& authority, const std::vector<json>& rules) {
  return MakeConfig(7, {MakeHost("x.example", {SoundRule()}), MakeHost(authority, rules)});
}

// Decodes a configuration that comes into force with one notice.
ConfigTable DecodeWithNotice(const json& config) {
  std::vector<ConfigNotice> notices;
  auto table = DecodeConfig(config, &notices);
  EXPECT_TRUE(table) << table.error().message;
  EXPECT_EQ(notices.size(), 1U) << config.dump();
  if (!table) return {};
  EXPECT_NE(table->MatchRoute("/sound/1", "x.example"), nullptr);
  return *table;
}

// The first rule of a configuration without notices or with one.
WorkKind WorkOf(const json& rule, size_t notices_expected) {
  std::vector<ConfigNotice> notices;
  auto table = DecodeConfig(MakeConfig(7, {MakeHost("y.example", {rule})}), &notices);
  EXPECT_TRUE(table) << table.error().message;
  EXPECT_EQ(notices.size(), notices_expected) << rule.dump();
  return table ? *table->FindWorkKind(table->routes().begin()->second.work) : WorkKind();
}

TEST(ConfigLeftOut, RuleOfAnEmptyHostDoesNotMatchOtherHosts) {
  ConfigTable table = DecodeWithNotice(ConfigWithRules("", {MakeRule("r", "/", ToService("s"))}));
  EXPECT_EQ(table.MatchRoute("/1", "z.example"), nullptr);
  EXPECT_EQ(table.MatchRoute("/1", ""), nullptr);
}

TEST(ConfigLeftOut, PrefixThatNoPathHas) {
  for (const char* prefix : {"/a b/", "/a?b/", "/a#b/", "/a\nb/"}) {
    json rule = MakeRule("r", prefix, ToService("s"));
    EXPECT_EQ(DecodeWithNotice(ConfigWithRules("y.example", {rule})).routes().size(), 1U);
  }
}

TEST(ConfigLeftOut, LongPrefixIsTaken) {
  std::string prefix = "/" + std::string(1'000, 'p') + "/";
  auto table =
      DecodeConfig(MakeConfig(7, {MakeHost("y.example", {MakeRule("r", prefix, ToService("s"))})}));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_NE(table->MatchRoute(prefix + "1", "y.example"), nullptr);
}

TEST(ConfigLeftOut, KeyThatNoRequestCanCarry) {
  json config = ConfigWithRules("y.example", {});
  config["tenants"] = {{{"name", "loja"}, {"api-keys", {"", " k", "k\n", "good", "good"}}}};
  ConfigTable table = DecodeWithNotice(config);
  EXPECT_EQ(table.workspaces().at("loja").api_keys, std::vector<std::string>{"good"});
  EXPECT_EQ(table.FindWorkspaceByKey(""), nullptr);
}

TEST(ConfigLeftOut, HealthPathThatCannotBeRequested) {
  json config = ConfigWithRules("y.example", {});
  config["clusters"][0]["health-path"] = "healthz";
  EXPECT_EQ(DecodeWithNotice(config).FindService("catalogo")->health_path, "");
}

TEST(ConfigLeftOut, ValueOutsideTheRangeIsReported) {
  json rule = MakeRule("r", "/a/", ToService("s"));
  rule["action"]["timeout-s"] = 1e12;
  EXPECT_EQ(WorkOf(rule, 1).deadline_ms, kMaxDeadlineMs);
  rule["action"]["timeout-s"] = 0;
  EXPECT_EQ(WorkOf(rule, 1).deadline_ms, 1);
  rule = MakeRule("r", "/a/", ToService("s"));
  rule["action"]["attempts"] = 100;
  EXPECT_EQ(WorkOf(rule, 1).attempts, kMaxAttempts);
  rule["action"]["attempts"] = 3.0;
  EXPECT_EQ(WorkOf(rule, 0).attempts, 3);
  rule["action"].erase("attempts");
  EXPECT_EQ(WorkOf(rule, 0).attempts, 1);
  rule["priority"] = 17;
  EXPECT_EQ(WorkOf(rule, 0).importance, 0);
}

// What contradicts itself or cannot be read is refused as a whole.
TEST(ConfigLeftOut, PartWithoutAClearMeaningRefusesTheVersion) {
  json both = ToService("s");
  both["split"] = SplitByWeights({1})["split"];
  json config = ConfigWithRules("y.example", {MakeRule("r", "/a/", both)});
  EXPECT_FALSE(DecodeConfig(config));
  EXPECT_FALSE(DecodeConfig(ConfigWithRules("y.example", {MakeRule("r", "/a/", json::object())})));
  EXPECT_FALSE(
      DecodeConfig(ConfigWithRules("y.example", {MakeRule("r", "/a/", SplitByWeights({}))})));
  config = ConfigWithRules("y.example", {});
  config["tenants"] = {{{"name", "loja"}, {"api-keys", {"k"}}}, {{"name", "loja"}}};
  EXPECT_FALSE(DecodeConfig(config));
  for (const auto& [path, value] :
       std::vector<std::pair<const char*, json>>{{"/limits/max-body-bytes", "many"},
                                                 {"/limits/idle-timeout-s", -1},
                                                 {"/clusters/0/name", 5},
                                                 {"/listeners/0/ruleset/0/priority", "first"},
                                                 {"/listeners/0/ruleset/0/goal-s", "soon"},
                                                 {"/listeners/0/ruleset/0/action/attempts", 1.5},
                                                 {"/tenants/0/rate-per-s", 1e10},
                                                 {"/tenants/0/burst", "x"},
                                                 {"/tenants/0/priority", -1},
                                                 {"/tenants/0/api-keys/0", 5}}) {
    config = ConfigWithRules("y.example", {});
    config["tenants"] = {{{"name", "loja"}, {"api-keys", {"k"}}}};
    ASSERT_TRUE(DecodeConfig(config));
    config[json::json_pointer(path)] = value;
    EXPECT_FALSE(DecodeConfig(config)) << path;
  }
}

}  // namespace
}  // namespace guavatrail::platform
