// Checks that the connections of all ports fit in the memory of the VM, with what may wait unread
// in their sockets. Guards against crowds that exceed it with bytes that the node has not read.
#include <gtest/gtest.h>

#include <initializer_list>

#include "port_budget.h"

namespace guavatrail {
namespace {

constexpr int64_t kBytesPerMb = 1'000'000;
constexpr int64_t kServicePorts = 3;
constexpr int64_t kConnectionBytes = 4'096;
constexpr int64_t kDescriptors = 4'100;

int64_t BytesOf(const PortLimits& limits) {
  auto connections = static_cast<int64_t>(limits.max_connections);
  return connections * kConnectionBytes +
         (connections + limits.accept_queue) * limits.receive_buffer_bytes;
}

int64_t BytesOf(const PortBudget& budget) {
  return BytesOf(budget.caller) + BytesOf(budget.peer) + kServicePorts * BytesOf(budget.service);
}

TEST(PortBudgetFitsInMemory, AtMostAFifthOfIt) {
  for (int64_t memory_mb : {30, 60, 160, 260, 512, 4'000}) {
    for (int64_t descriptors : {320, 4'100, 8'192, 0}) {
      EXPECT_LE(BytesOf(MakePortBudget(descriptors, memory_mb)), memory_mb * kBytesPerMb / 5)
          << memory_mb << " MB, " << descriptors << " descriptors";
    }
  }
}

TEST(PortBudgetFitsInMemory, VmOf160MbHasRoomForAllDescriptors) {
  PortBudget unlimited = MakePortBudget(kDescriptors, 0);
  for (int64_t memory_mb : {160, 260}) {
    PortBudget budget = MakePortBudget(kDescriptors, memory_mb);
    EXPECT_EQ(budget.caller.max_connections, unlimited.caller.max_connections);
    EXPECT_EQ(budget.peer.max_connections, unlimited.peer.max_connections);
    EXPECT_EQ(budget.caller.accept_queue, 1'024);
  }
}

TEST(PortBudgetFitsInMemory, ReceiveBuffersAreBounded) {
  EXPECT_GE(MakePortBudget(0, 30).caller.receive_buffer_bytes, 4'096);
  EXPECT_LE(MakePortBudget(320, 4'000).caller.receive_buffer_bytes, 65'536);
  EXPECT_EQ(MakePortBudget(kDescriptors, 0).caller.receive_buffer_bytes, 0);
}

// Descriptors remain for connections to nodes, the backend server and the platform.
TEST(PortBudgetFitsInMemory, PortsLeaveDescriptorsForOtherConnections) {
  for (int64_t descriptors : {int64_t{320}, kDescriptors}) {
    PortBudget budget = MakePortBudget(descriptors, 260);
    auto sum = static_cast<int64_t>(budget.caller.max_connections + budget.peer.max_connections +
                                    kServicePorts * budget.service.max_connections);
    EXPECT_LT(sum, descriptors * 7 / 10);
  }
}

}  // namespace
}  // namespace guavatrail
