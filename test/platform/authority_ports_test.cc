// Guards against a host with a port whose requests are answered 404, or run by the rules of another
// port.
#include <gtest/gtest.h>

#include "config_decoder.h"
#include "config_spec.h"
#include "mesh_fixture.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

json ConfigFor(const std::vector<std::string>& authorities) {
  std::vector<json> hosts;
  hosts.reserve(authorities.size());
  for (const std::string& authority : authorities) {
    hosts.push_back(MakeHost(authority, {MakeRule("r", "/parts/", ToService(authority))}));
  }
  return MakeConfig(7, hosts);
}

std::string ServiceFor(const ConfigTable& table, const std::string& authority) {
  const Route* route = table.MatchRoute("/parts/1", authority);
  return route == nullptr ? "none" : route->service;
}

TEST(AuthorityPorts, RuleOfAPortIsForThatPortOnly) {
  auto table = DecodeConfig(ConfigFor({"Oficina.example:8304", "oficina.example:8305"}));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(ServiceFor(*table, "oficina.example:8304"), "Oficina.example:8304");
  EXPECT_EQ(ServiceFor(*table, "oficina.example:8305"), "oficina.example:8305");
  EXPECT_EQ(ServiceFor(*table, "oficina.example:8306"), "none");
  EXPECT_EQ(ServiceFor(*table, "oficina.example"), "none");
}

TEST(AuthorityPorts, RuleWithoutAPortIsForAllPortsWithoutTheirOwn) {
  auto table = DecodeConfig(ConfigFor({"loja.example", "loja.example:81", "[::1]", "[::1]:82"}));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(ServiceFor(*table, "loja.example"), "loja.example");
  EXPECT_EQ(ServiceFor(*table, "loja.example:80"), "loja.example");
  EXPECT_EQ(ServiceFor(*table, "loja.example:81"), "loja.example:81");
  EXPECT_EQ(ServiceFor(*table, "[::1]"), "[::1]");
  EXPECT_EQ(ServiceFor(*table, "[::1]:80"), "[::1]");
  EXPECT_EQ(ServiceFor(*table, "[::1]:82"), "[::1]:82");
  EXPECT_EQ(ServiceFor(*table, "[::2]:82"), "none");
}

class AuthorityPortsOfRequests : public MeshFixture {};

TEST_F(AuthorityPortsOfRequests, RequestThatNamesThePortIsServed) {
  Vm& vm = AddVm("catalogo");
  m_store.Put("config", "main",
              MakeConfig(7, {MakeHost("oficina.example:8304",
                                      {MakeRule("r", "/parts/", ToService("catalogo"))})}));
  ASSERT_EQ(SendHeartbeat(vm, "i-1"), 200);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(vm); }));
  FakeClient client(m_loop, static_cast<uint16_t>(vm.settings.listen.caller_port));
  client.Send("GET /parts/1 HTTP/1.1\r\nHost: Oficina.example:8304\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.status(), 200);
}

}  // namespace
}  // namespace guavatrail::platform
