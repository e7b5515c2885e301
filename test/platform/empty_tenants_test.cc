// Guards against a mesh that serves requests without a valid key because the list of tenants is
// empty: a configuration with that list needs keys, and then nobody has one.
#include "config_spec.h"
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

using nlohmann::json;

constexpr char kKey[] = "X-Api-Key: the-key\r\n";
constexpr char kUnknownKey[] = "X-Api-Key: no-key\r\nX-Tenant: forged\r\n";

class EmptyTenants : public MeshFixture {
 protected:
  static json Config(uint64_t version) {
    json open = MakeRule("r-open", "/open/", ToService("catalogo"));
    open["public"] = true;
    json closed = MakeRule("r-parts", "/parts/", ToService("catalogo"));
    return MakeConfig(version, {MakeHost("shop.example", {open, closed})});
  }

  void Put(json config, const json& tenants) {
    config["tenants"] = tenants;
    m_store.Put("config", "main", config);
  }

  static json OneTenant() { return {{{"name", "loja"}, {"api-keys", {"the-key"}}}}; }

  Vm& StartVm() {
    Vm& vm = AddVm("catalogo");
    Announce(vm);
    return vm;
  }

  void Announce(Vm& vm) {
    ASSERT_TRUE(RunUntil(m_loop, [&] {
      return SendHeartbeat(vm, "i-" + vm.settings.node.name) == 200 && IsReady(vm);
    }));
  }

  bool HasVersion(Vm& vm, uint64_t version) {
    std::string metrics = SendAndWait(vm.settings.listen.admin_port, "GET", "/metrics")->body();
    return metrics.find("\nconfig_version " + std::to_string(version) + "\n") != std::string::npos;
  }

  void AwaitVersion(Vm& vm, uint64_t version) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return HasVersion(vm, version); }));
  }

  int Get(Vm& vm, const std::string& path, const std::string& headers) {
    return SendAndWait(vm.settings.listen.caller_port, "GET", path, headers)->status();
  }

  // No request but one on a public route runs, and that one without what the caller said about
  // itself.
  void ExpectClosed(Vm& vm) {
    for (auto& other : m_vms) other->requests.clear();
    EXPECT_EQ(Get(vm, "/parts/1", ""), 401);
    EXPECT_EQ(Get(vm, "/parts/1", kKey), 401);
    EXPECT_EQ(Get(vm, "/parts/1", kUnknownKey), 401);
    EXPECT_EQ(Get(vm, "/open/1", kUnknownKey), 200);
    std::vector<std::string> requests;
    for (auto& other : m_vms) {
      requests.insert(requests.end(), other->requests.begin(), other->requests.end());
    }
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(HeaderIn(requests[0], "X-Api-Key"), "");
    EXPECT_EQ(HeaderIn(requests[0], "X-Tenant"), "");
  }
};

TEST_F(EmptyTenants, RemovingTheLastTenantAdmitsNobody) {
  Put(Config(7), OneTenant());
  Vm& vm = StartVm();
  EXPECT_EQ(Get(vm, "/parts/1", kKey), 200);
  Put(Config(9), json::array());
  AwaitVersion(vm, 9);
  ExpectClosed(vm);
  Put(Config(10), OneTenant());
  AwaitVersion(vm, 10);
  EXPECT_EQ(Get(vm, "/parts/1", kKey), 200);
}

TEST_F(EmptyTenants, FirstVersionWithoutTenantsAdmitsNobody) {
  Put(Config(7), json::array());
  ExpectClosed(StartVm());
}

TEST_F(EmptyTenants, NullInPlaceOfTheListAdmitsNobody) {
  Put(Config(7), nullptr);
  ExpectClosed(StartVm());
}

TEST_F(EmptyTenants, OpenConnectionIsClosedToo) {
  Put(Config(7), OneTenant());
  Vm& vm = StartVm();
  const std::string request = std::string("GET /parts/1 HTTP/1.1\r\nHost: shop.example\r\n") + kKey;
  FakeClient client(m_loop, static_cast<uint16_t>(vm.settings.listen.caller_port));
  client.Send(request + "\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.status(), 200);
  Put(Config(9), json::array());
  AwaitVersion(vm, 9);
  client.Send(request + "\r\n");
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return client.received().find("HTTP/1.1 401") != std::string::npos; }));
}

TEST_F(EmptyTenants, NodesThatStartLaterOrAgainAdmitNobody) {
  Put(Config(7), OneTenant());
  StartVm();
  Put(Config(9), json::array());
  AwaitVersion(*m_vms[0], 9);
  StartVm();
  AwaitVersion(*m_vms[1], 9);
  ExpectClosed(*m_vms[1]);
  for (auto& vm : m_vms) vm->node.reset();
  for (auto& vm : m_vms) StartNode(*vm);
  for (auto& vm : m_vms) {
    Announce(*vm);
    AwaitVersion(*vm, 9);
    ExpectClosed(*vm);
  }
}

TEST_F(EmptyTenants, ConfigurationThatNeverHadTenantsNeedsNoKeys) {
  m_store.Put("config", "main", Config(7));
  Vm& vm = StartVm();
  EXPECT_EQ(Get(vm, "/parts/1", ""), 200);
  EXPECT_EQ(Get(vm, "/parts/1", kUnknownKey), 200);
}

// Each version stands on its own, so that all nodes agree whichever versions they have seen.
TEST_F(EmptyTenants, VersionWithoutTheListNeedsNoKeys) {
  Put(Config(7), OneTenant());
  Vm& vm = StartVm();
  EXPECT_EQ(Get(vm, "/parts/1", ""), 401);
  m_store.Put("config", "main", Config(9));
  AwaitVersion(vm, 9);
  EXPECT_EQ(Get(vm, "/parts/1", ""), 200);
  // The keys of the former version are still secrets, and no caller may name its tenant.
  vm.requests.clear();
  EXPECT_EQ(Get(vm, "/parts/1", std::string(kKey) + "X-Tenant: forged\r\n"), 200);
  ASSERT_EQ(vm.requests.size(), 1U);
  EXPECT_EQ(HeaderIn(vm.requests[0], "X-Api-Key"), "");
  EXPECT_EQ(HeaderIn(vm.requests[0], "X-Tenant"), "");
}

}  // namespace
}  // namespace guavatrail
