// Guards against decoders that misread documents of the users' platform, accept documents of
// another writer, or replace missing and malformed values by defaults.
#include <gtest/gtest.h>

#include "config_decoder.h"
#include "endpoint_record.h"
#include "report_decoder.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

json Rule(const std::string& name, const std::string& prefix, const std::string& kind,
          const json& action) {
  return {{"name", name},
          {"route-kind", kind},
          {"goal-s", 0.4},
          {"priority", 2},
          {"match", {{"path-prefix", prefix}}},
          {"action", action}};
}

json Config() {
  json order = {{"service", "encomendas"}, {"timeout-s", 1.5}, {"attempts", 2}};
  json lookup = {
      {"split",
       {{{"service", "catalogo"}, {"weight", 90}}, {{"service", "encomendas"}, {"weight", 10}}}},
      {"timeout-s", 1.2},
      {"attempts", 3}};
  return {{"version", 7},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 1000},
            {"header-timeout-s", 3},
            {"idle-timeout-s", 1.5}}},
          {"listeners",
           {{{"authority", "Shop.Example"},
             {"ruleset",
              {Rule("r-1", "/orders/", "non_idempotent", order),
               Rule("r-2", "/parts/", "idempotent", lookup),
               Rule("r-3", "/parts/files/", "download", order)}}}}},
          {"clusters", {{{"name", "catalogo"}}, {{"name", "encomendas"}}}}};
}

TEST(Decoders, ConfigIsDecodedToATable) {
  auto config = DecodeConfig(Config());
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_EQ(config->version(), 7U);
  EXPECT_EQ(config->limits().max_head_bytes, 16384);
  EXPECT_EQ(config->limits().max_body_bytes, 1000);
  EXPECT_EQ(config->limits().read_timeout_ms, 3000);
  EXPECT_EQ(config->limits().idle_timeout_ms, 1500);
  const Route* orders = config->MatchRoute("/orders/1", "shop.example");
  ASSERT_NE(orders, nullptr);
  const WorkKind* order = config->FindWorkKind(orders->work);
  EXPECT_FALSE(order->idempotent);
  EXPECT_EQ(order->deadline_ms, 1500);
  EXPECT_EQ(order->objective_ms, 400);
  EXPECT_EQ(order->attempts, 2);
  EXPECT_EQ(order->importance, 1);
  const Route* files = config->MatchRoute("/parts/files/a.pdf", "shop.example");
  ASSERT_NE(files, nullptr);
  EXPECT_TRUE(config->FindWorkKind(files->work)->idempotent);
  const Route* parts = config->MatchRoute("/parts/17", "shop.example");
  ASSERT_NE(parts, nullptr);
  ASSERT_EQ(parts->shares.size(), 2U);
  EXPECT_EQ(parts->shares[1], (RouteShare{"encomendas", 10}));
  EXPECT_EQ(config->MatchRoute("/parts/17", "other.example"), nullptr);
  EXPECT_EQ(config->MatchRoute("/parts", "shop.example"), nullptr);
}

TEST(Decoders, MalformedConfigIsRejected) {
  for (const char* path :
       {"/version", "/listeners", "/listeners/0/authority", "/listeners/0/ruleset",
        "/listeners/0/ruleset/1/match", "/listeners/0/ruleset/1/match/path-prefix",
        "/listeners/0/ruleset/1/route-kind", "/listeners/0/ruleset/1/action/timeout-s",
        "/listeners/0/ruleset/1/action/split", "/listeners/0/ruleset/1/action/split/0/weight"}) {
    json config = Config();
    config[json::json_pointer(path)] = "?";
    if (std::string(path).ends_with("path-prefix")) config[json::json_pointer(path)] = "no slash";
    if (std::string(path).ends_with("route-kind")) config[json::json_pointer(path)] = 1;
    if (std::string(path).ends_with("authority")) config[json::json_pointer(path)] = 1;
    EXPECT_FALSE(DecodeConfig(config)) << path;
  }
  EXPECT_FALSE(DecodeConfig(nullptr));
  EXPECT_FALSE(DecodeConfig("text"));
}

TEST(Decoders, ReportIsDecoded) {
  auto report = DecodeReport(
      "i-1",
      R"({"service":"catalogo","address":"10.0.0.9:8080","zone":"braga","version":"v1","slots":9,
          "state":"draining","cold-left-s":1.5,"seq":4,"born":1784550618000})");
  ASSERT_TRUE(report) << report.error().message;
  EXPECT_EQ(report->lifetime, (ServerLifetime{"i-1", 1784550618000}));
  EXPECT_EQ(report->sequence, 4U);
  EXPECT_EQ(report->state, ServerState::kDraining);
  EXPECT_EQ(report->cold_ms, 1500);
  EXPECT_EQ(report->slots, 9);
}

TEST(Decoders, MalformedReportIsRejected) {
  const json good = {{"service", "catalogo"},
                     {"address", "10.0.0.9:8080"},
                     {"zone", "braga"},
                     {"version", "v1"},
                     {"slots", 9},
                     {"state", "ready"},
                     {"cold-left-s", 0},
                     {"seq", 4},
                     {"born", 1}};
  ASSERT_TRUE(DecodeReport("i-1", good.dump()));
  for (const char* key :
       {"service", "address", "zone", "version", "slots", "state", "cold-left-s", "seq"}) {
    json missing = good;
    missing.erase(key);
    EXPECT_FALSE(DecodeReport("i-1", missing.dump())) << key;
    json other = good;
    other[key] = json::array({1});
    EXPECT_FALSE(DecodeReport("i-1", other.dump())) << key;
  }
  json bad = good;
  bad["born"] = "1";
  EXPECT_FALSE(DecodeReport("i-1", bad.dump()));
  bad = good;
  bad["born"] = 1.5;
  EXPECT_FALSE(DecodeReport("i-1", bad.dump()));
  bad = good;
  bad["state"] = "asleep";
  EXPECT_FALSE(DecodeReport("i-1", bad.dump()));
  EXPECT_FALSE(DecodeReport("i-1", "\x81\xff{"));
  EXPECT_FALSE(DecodeReport("i-1", ""));
}

TEST(Decoders, ServerIdIsParsedFromReportPathsOnly) {
  EXPECT_EQ(ParseServerId("/guavatrail/instances/i-1"), "i-1");
  EXPECT_FALSE(ParseServerId("/guavatrail/instances/"));
  EXPECT_FALSE(ParseServerId("/guavatrail/instances/a/b"));
  EXPECT_FALSE(ParseServerId("/guavatrail/objects/i-1"));
}

TEST(Decoders, RecordRoundTrips) {
  NodeRecord record;
  record.endpoint = {.node = "n",
                     .incarnation = 5,
                     .service = "catalogo",
                     .region = "norte",
                     .data_centre = "braga",
                     .ip = "10.0.0.1",
                     .peer_port = 7620,
                     .slots = 9,
                     .draining = true};
  record.report.lifetime = {"i-1", 5};
  record.report.sequence = 8;
  record.report.state = ServerState::kLeft;
  auto decoded = DecodeRecord("n", EncodeRecord(record));
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_EQ(EncodeRecord(*decoded), EncodeRecord(record));
  EXPECT_EQ(decoded->report.state, ServerState::kLeft);
  json broken = EncodeRecord(record);
  broken["peer_port"] = 99999;
  EXPECT_FALSE(DecodeRecord("n", broken));
  EXPECT_FALSE(DecodeRecord("n", nullptr));
}

}  // namespace
}  // namespace guavatrail::platform
