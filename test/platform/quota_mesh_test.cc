// Guards against nodes that together run more requests of a workspace than its quota allows, or far
// fewer, and against an exchange of quotas that fails with the node that coordinates it.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

constexpr char kKey[] = "X-Api-Key: loja-key\r\n";

class QuotaMeshTest : public MeshFixture {
 protected:
  static constexpr size_t kNodes = 4;

  void PutQuota(uint64_t version, double rate_per_s, double burst) {
    nlohmann::json rule = {
        {"name", "r-lookup"},
        {"route-kind", "idempotent"},
        {"goal-s", 0.5},
        {"priority", 1},
        {"match", {{"path-prefix", "/parts/"}}},
        {"action", {{"service", "catalogo"}, {"timeout-s", 2}, {"attempts", 2}}}};
    m_store.Put("config", "main",
                {{"version", version},
                 {"listeners", {{{"authority", "shop.example"}, {"ruleset", {rule}}}}},
                 {"clusters", {{{"name", "catalogo"}, {"health-path", "/healthz"}}}},
                 {"tenants",
                  {{{"name", "loja"},
                    {"api-keys", {"loja-key"}},
                    {"priority", 1},
                    {"rate-per-s", rate_per_s},
                    {"burst", burst}}}}});
  }

  // Starts nodes that know each other, with a quota in force.
  void StartNodes(double rate_per_s, double burst) {
    for (size_t i = 0; i < kNodes; ++i) AddVm("catalogo");
    PutQuota(7, rate_per_s, burst);
    for (size_t i = 0; i < kNodes; ++i) {
      ASSERT_EQ(SendHeartbeat(*m_vms[i], "i-" + std::to_string(i)), 200);
    }
    for (auto& vm : m_vms) ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(*vm); }));
    // All nodes report to one coordinator, and its buckets have filled.
    RunFor(m_loop, std::chrono::milliseconds(2'500));
    for (auto& vm : m_vms) ASSERT_EQ(CallWithKey(*vm)->status(), 200);
    for (auto& vm : m_vms) vm->requests.clear();
  }

  std::unique_ptr<FakeClient> CallWithKey(Vm& vm) {
    return SendAndWait(vm.settings.listen.caller_port, "GET", "/parts/1", kKey);
  }

  // Sends requests at `per_s` for `duration` to the running nodes in turn. Returns the number of
  // answers with status 200; others must be 429.
  int RunDemand(double per_s, std::chrono::milliseconds duration) {
    std::vector<std::unique_ptr<FakeClient>> clients;
    int64_t start_us = EventLoop::NowUs();
    size_t next = 0;
    while (EventLoop::NowUs() - start_us < duration.count() * 1000) {
      double due = per_s * static_cast<double>(EventLoop::NowUs() - start_us) / 1e6;
      while (static_cast<double>(clients.size()) < due) {
        Vm& vm = *m_vms[next++ % m_vms.size()];
        if (vm.node == nullptr) continue;
        clients.push_back(Send(vm.settings.listen.caller_port, "GET", "/parts/1", kKey));
      }
      RunFor(m_loop, std::chrono::milliseconds(2));
    }
    int admitted = 0;
    for (auto& client : clients) {
      EXPECT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
      admitted += client->status() == 200 ? 1 : 0;
      EXPECT_TRUE(client->status() == 200 || client->status() == 429) << client->status();
    }
    return admitted;
  }

  std::string Metrics(Vm& vm) {
    return SendAndWait(vm.settings.listen.admin_port, "GET", "/metrics")->body();
  }
};

TEST_F(QuotaMeshTest, SumOverNodesIsWithinTheQuotaAndUsesIt) {
  StartNodes(40, 20);
  int admitted = RunDemand(160, std::chrono::milliseconds(5'000));
  EXPECT_LE(admitted, (40 * 5 + 20) * 1.1 + 20);
  EXPECT_GE(admitted, 0.9 * 40 * 5);
}

TEST_F(QuotaMeshTest, RefusedRequestIsNotRunAndMayReturn) {
  StartNodes(1, 1);
  std::unique_ptr<FakeClient> refused;
  for (int i = 0; i < 100 && refused == nullptr; ++i) {
    auto client = CallWithKey(*m_vms[static_cast<size_t>(i) % kNodes]);
    if (client->status() == 429) refused = std::move(client);
  }
  ASSERT_NE(refused, nullptr);
  EXPECT_GT(std::stod(refused->header("Retry-After")), 0);
  size_t served = 0;
  for (auto& vm : m_vms) served += vm->requests.size();
  auto again = CallWithKey(*m_vms[0]);
  size_t served_after = 0;
  for (auto& vm : m_vms) served_after += vm->requests.size();
  EXPECT_EQ(served_after, served + (again->status() == 200 ? 1 : 0));
}

TEST_F(QuotaMeshTest, QuotaIsKeptWhenTheCoordinatorIsLost) {
  StartNodes(40, 20);
  // The node that handles reports; the others send them.
  size_t coordinator = kNodes;
  for (size_t i = 0; i < kNodes; ++i) {
    if (Metrics(*m_vms[i]).find("quota_reports_sent_total 0") != std::string::npos) coordinator = i;
  }
  ASSERT_LT(coordinator, kNodes);
  EXPECT_GT(RunDemand(160, std::chrono::milliseconds(1'000)), 0);
  m_vms[coordinator]->node.reset();
  // The first second is that of the failover.
  int admitted = RunDemand(160, std::chrono::milliseconds(5'000));
  EXPECT_LE(admitted, (40 * 5 + 20) * 1.1 + 20);
  EXPECT_GE(admitted, 0.5 * 40 * 5);
  int later = RunDemand(160, std::chrono::milliseconds(5'000));
  EXPECT_GE(later, 0.9 * 0.75 * 40 * 5);
}

TEST_F(QuotaMeshTest, NoMessagesAreSentWithoutQuotas) {
  for (size_t i = 0; i < kNodes; ++i) AddVm("catalogo");
  PutQuota(7, 0, 0);
  for (size_t i = 0; i < kNodes; ++i) SendHeartbeat(*m_vms[i], "i-" + std::to_string(i));
  RunFor(m_loop, std::chrono::milliseconds(1'500));
  for (auto& vm : m_vms) {
    EXPECT_NE(Metrics(*vm).find("quota_reports_sent_total 0"), std::string::npos);
    EXPECT_NE(Metrics(*vm).find("quota_reports_handled_total 0"), std::string::npos);
  }
  // They begin with the first quota, and end with the last.
  PutQuota(8, 5, 5);
  RunFor(m_loop, std::chrono::milliseconds(1'500));
  std::string before = Metrics(*m_vms[0]) + Metrics(*m_vms[1]);
  EXPECT_EQ(before.find("quota_group 0\n"), std::string::npos);
  PutQuota(9, 0, 0);
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return Metrics(*m_vms[0]).find("config_version 9") != std::string::npos; }));
  EXPECT_EQ(CallWithKey(*m_vms[0])->status(), 200);
}

}  // namespace
}  // namespace guavatrail
