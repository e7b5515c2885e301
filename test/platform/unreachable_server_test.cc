// Guards against a node that sends work to a server which has broken off several requests, before
// the server has reported again.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

class UnreachableServer : public MeshFixture {
 protected:
  // The server breaks off requests until its node takes it for unreachable.
  void SetUp() override {
    m_vm = &AddVm("catalogo");
    PutConfig(7, "catalogo");
    ASSERT_EQ(SendHeartbeat(*m_vm, "i-1"), 200);
    ASSERT_TRUE(CallUntil(*m_vm, "/parts/1", 200));
    m_vm->handler = [](FakeConnection& c, const std::string&) { c.Close(); };
    ASSERT_TRUE(CallUntil(*m_vm, "/parts/1", 503));
    m_vm->handler = [](FakeConnection& c, const std::string& request) {
      c.Send(ServerAnswer(request, "done"));
    };
    m_vm->requests.clear();
  }

  Vm* m_vm = nullptr;
};

TEST_F(UnreachableServer, GetsWorkAfterItsNextReport) {
  EXPECT_EQ(Call(*m_vm, "/parts/1", "before")->status(), 503);
  EXPECT_TRUE(m_vm->requests.empty());
  ASSERT_EQ(SendHeartbeat(*m_vm, "i-1"), 200);
  EXPECT_TRUE(CallUntil(*m_vm, "/parts/1", 200));
}

TEST_F(UnreachableServer, GetsNoWorkBecauseOfANewConfig) {
  PutConfig(8, "catalogo");
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_EQ(Call(*m_vm, "/parts/1", "before")->status(), 503);
  EXPECT_TRUE(m_vm->requests.empty());
}

}  // namespace
}  // namespace guavatrail
