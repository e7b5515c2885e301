// Guards against a configuration that is refused, or a workspace that is lost between nodes,
// because a service or tenant has a name that is no identifier.
#include <gtest/gtest.h>

#include "caller_identity.h"
#include "config_codec.h"
#include "config_decoder.h"
#include "config_spec.h"
#include "mesh_fixture.h"
#include "quota_codec.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

const char* const kNames[] = {
    "orders_v2", "St. Anna",       "Encomendas", "a;importance=3;weight=9",
    "50%",       "Sã\"o\\ Lázaro", "svc/2?x#y"};

json ConfigWith(const std::string& service, const std::string& tenant) {
  json config =
      MakeConfig(7, {MakeHost("shop.example", {MakeRule("r", "/parts/", ToService(service))})});
  config["clusters"] = {{{"name", service}, {"health-path", "/healthz"}}};
  config["tenants"] = {
      {{"name", tenant}, {"api-keys", {"the-key"}}, {"rate-per-s", 1000}, {"burst", 1000}}};
  return config;
}

TEST(NamesOfServices, AnyNameThatAHeaderCanCarryIsTaken) {
  for (const char* name : kNames) {
    auto config = DecodeConfig(ConfigWith(name, name));
    ASSERT_TRUE(config) << config.error().message;
    auto carried = DecodeTable(EncodeTable(*config));
    ASSERT_TRUE(carried) << carried.error().message;
    EXPECT_EQ(carried->MatchRoute("/parts/1", "shop.example")->service, name);
    EXPECT_EQ(carried->FindWorkspaceByKey("the-key")->name, name);
  }
}

TEST(NamesOfServices, NameThatNoHeaderCanCarryIsRefused) {
  const std::vector<std::string> names = {"", "a\nb", " a", "a ", "\x7f", std::string(256, 'a')};
  for (const std::string& name : names) {
    EXPECT_FALSE(DecodeConfig(ConfigWith("catalogo", name))) << name;
    EXPECT_FALSE(DecodeConfig(ConfigWith(name, "loja"))) << name;
  }
}

TEST(NamesOfServices, TagOfAWorkspaceIsReadBack) {
  for (const char* name : kNames) {
    WorkspaceTag tag{name, 3, 50};
    EXPECT_EQ(ParseWorkspaceTag(FormatWorkspaceTag(tag)), tag);
  }
  EXPECT_EQ(ParseWorkspaceTag("%0A;importance=1;weight=1"), WorkspaceTag{});
  EXPECT_EQ(ParseWorkspaceTag("%61;importance=1;weight=1"), WorkspaceTag{});
}

class NamesInMesh : public MeshFixture {};

TEST_F(NamesInMesh, RequestsAreServedBetweenNodes) {
  const std::string service = "St. Anna/\"v2\"";
  Vm& serving = AddVm(service);
  Vm& entry = AddVm("catalogo");
  m_store.Put("config", "main", ConfigWith(service, service));
  ASSERT_EQ(SendHeartbeat(serving, "i-1"), 200);
  ASSERT_EQ(SendHeartbeat(entry, "i-2"), 200);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(entry) && IsReady(serving); }));
  auto call = [&] {
    return SendAndWait(entry.settings.listen.caller_port, "GET", "/parts/1",
                       "X-Api-Key: the-key\r\n")
        ->status();
  };
  ASSERT_TRUE(RunUntil(m_loop, [&] { return call() == 200; }));
  ASSERT_EQ(serving.requests.size(), 1U);
  EXPECT_EQ(HeaderIn(serving.requests[0], "X-Tenant"), service);
  std::string metrics = SendAndWait(entry.settings.listen.admin_port, "GET", "/metrics")->body();
  EXPECT_NE(metrics.find("service=\"St. Anna/\\\"v2\\\"\""), std::string::npos);
}

}  // namespace
}  // namespace guavatrail::platform
