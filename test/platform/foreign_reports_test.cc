// Guards against reports of another writer that make the own reports of a server stale, so that its
// leave is acknowledged and has no effect (review/10).
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

class ForeignReports : public MeshFixture {
 protected:
  void SetUp() override {
    PutConfig(1, "shop");
    m_vm = &AddVm("shop");
    ASSERT_EQ(SendHeartbeat(*m_vm, "i-1"), kHttpOk);
    ASSERT_TRUE(CallUntil(*m_vm, "/parts/1", kHttpOk));
  }

  nlohmann::json Report(uint64_t sequence) const {
    return {{"service", "shop"}, {"address", "127.0.0.1:" + std::to_string(m_vm->server->port())},
            {"zone", "braga"},   {"version", "v1"},
            {"slots", 9},        {"state", "ready"},
            {"cold-left-s", 0},  {"seq", sequence},
            {"born", 1000}};
  }

  int SendReport(const nlohmann::json& report) {
    return SendAndWait(m_vm->settings.listen.control_port, "PUT", "/guavatrail/instances/i-1", "",
                       report.dump())
        ->status();
  }

  Vm* m_vm = nullptr;
};

TEST_F(ForeignReports, LeaveOfTheServerHasEffect) {
  constexpr uint64_t kForeignSequence = 1'000'000;
  for (const char* key :
       {"service", "address", "zone", "version", "slots", "state", "cold-left-s"}) {
    nlohmann::json missing = Report(kForeignSequence);
    missing.erase(key);
    EXPECT_EQ(SendReport(missing), kHttpBadRequest) << key;
    nlohmann::json other = Report(kForeignSequence);
    other[key] = nlohmann::json::array({1});
    EXPECT_EQ(SendReport(other), kHttpBadRequest) << key;
  }
  ASSERT_EQ(SendHeartbeat(*m_vm, "i-1", "draining"), kHttpOk);
  size_t before = m_vm->requests.size();
  EXPECT_EQ(Call(*m_vm, "/parts/2", "late")->status(), kHttpServiceUnavailable);
  EXPECT_EQ(m_vm->requests.size(), before);
}

}  // namespace
}  // namespace guavatrail
