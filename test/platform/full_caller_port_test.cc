// Guards against a node that reports that it is ready while its caller port takes no connections.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

// The caller port gets 3/8 of the descriptors.
constexpr int64_t kMaxDescriptors = 16;
constexpr size_t kMaxCallers = 6;

using FullCallerPort = MeshFixture;

TEST_F(FullCallerPort, NodeIsNotReadyUntilACallerLeaves) {
  PutConfig(1, "shop");
  Vm& vm = AddVm("shop");
  vm.settings.listen.max_descriptors = kMaxDescriptors;
  vm.node.reset();
  StartNode(vm);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(vm); }));
  std::vector<std::unique_ptr<FakeClient>> callers;
  for (size_t i = 0; i < kMaxCallers; ++i) {
    EXPECT_TRUE(IsReady(vm));
    callers.push_back(std::make_unique<FakeClient>(
        m_loop, static_cast<uint16_t>(vm.settings.listen.caller_port)));
    // A connection with an unfinished request is not idle.
    callers.back()->Send("GET /parts/1 HTTP/1.1\r\n");
    RunFor(m_loop, std::chrono::milliseconds(20));
  }
  EXPECT_FALSE(IsReady(vm));
  callers.front()->Close();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return IsReady(vm); }));
}

}  // namespace
}  // namespace guavatrail
