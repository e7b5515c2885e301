// Guards against notes that do not reach every node, in order and whole, within the bound.
#include "agent_mesh.h"

namespace guavatrail {
namespace {

constexpr std::chrono::milliseconds kBound{6'000};

class DeliveryMesh : public AgentMesh, public testing::WithParamInterface<const char*> {};

TEST_P(DeliveryMesh, EveryNodePutsEveryNoteInForce) {
  StartNodes(8, GetParam());
  ASSERT_TRUE(WaitForVersion(0, kBound));
  for (int i = 1; i <= 5; ++i) {
    std::string name = "n" + std::to_string(i);
    ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService(name, name))));
  }
  ASSERT_TRUE(WaitForVersion(5, kBound));
  for (const auto& node : m_nodes) {
    EXPECT_EQ(*node->agent->table(), *m_nodes[0]->agent->table());
    EXPECT_EQ(node->agent->table()->services().size(), 5u);
  }
  ExpectVersionsMonotonic();
}

INSTANTIATE_TEST_SUITE_P(Modes, DeliveryMesh, testing::Values("relay", "watch_all", "pull"));

class DeliveryFaults : public AgentMesh {};

TEST_F(DeliveryFaults, HungNodesHoldUpNoOther) {
  StartNodes(8);
  ASSERT_TRUE(WaitForVersion(0, kBound));
  m_nodes[2]->is_hung = true;
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("a", "s"))));
  // A keeper may be the hung node; two of three suffice.
  EXPECT_TRUE(WaitForVersion(1, kBound));
}

// Keepers that were restarted have forgotten the promises, so nobody can tell the floor.
TEST_F(DeliveryFaults, RestartedNodesWaitForThePlatformWhenTheirKeepersForgot) {
  StartNodes(8);
  ASSERT_TRUE(WaitForVersion(0, kBound));
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("a", "s"))));
  ASSERT_TRUE(WaitForVersion(1, kBound));
  m_platform.SetFaultRule([](auto, auto) { return Fault::kUnavailable; });
  for (size_t i = 0; i < m_nodes.size(); ++i) RestartNode(i);
  RunFor(std::chrono::milliseconds(1'500));
  for (const auto& node : m_nodes) EXPECT_EQ(node->agent->table(), nullptr);
  m_platform.SetFaultRule(nullptr);
  EXPECT_TRUE(WaitForVersion(1, kBound));
  ExpectVersionsMonotonic();
}

TEST_F(DeliveryFaults, RestartedNodeDoesNotGoBackOnAStaleHead) {
  StartNodes(4);
  ASSERT_TRUE(WaitForVersion(0, kBound));
  for (const char* name : {"a", "b", "c"}) {
    ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService(name, name))));
  }
  ASSERT_TRUE(WaitForVersion(3, kBound));
  m_platform.SetFaultRule([](std::string_view method, std::string_view key) {
    return method == "GET" && key == kHeadKey ? Fault::kStale : Fault::kNone;
  });
  // Without heartbeats the keepers' answers are all that the node hears of the other nodes.
  m_heartbeats_on = false;
  for (size_t i = 0; i < 4; ++i) {
    RestartNode(i);
    RunFor(std::chrono::milliseconds(1'500));
  }
  EXPECT_TRUE(WaitForVersion(3, kBound));
  ExpectVersionsMonotonic();
}

TEST_F(DeliveryFaults, BadNoteIsRefusedEverywhereAndBlocksNothing) {
  StartNodes(4);
  ASSERT_TRUE(WaitForVersion(0, kBound));
  // A note that no publisher would accept reaches the store by another path.
  std::string bytes = "not a note";
  LogEntry entry{1, "bad", DigestOf(bytes), {}};
  m_platform.Put(NoteKey(entry.note_id, entry.digest), bytes);
  AppendResult append = AppendEntry({}, entry, ConfigTable().SkipVersion());
  m_platform.Put(std::string(kHeadKey), EncodeHead(append.head));
  ASSERT_TRUE(WaitForVersion(1, kBound));
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("good", "s"))));
  ASSERT_TRUE(WaitForVersion(2, kBound));
  for (const auto& node : m_nodes) {
    EXPECT_EQ(node->agent->table()->services().size(), 1u);
    EXPECT_EQ(node->metrics->GetCounter("delivery_notes_refused_total").value(), 1u);
  }
}

TEST_F(DeliveryFaults, NodeFarBehindCatchesUpFromASnapshot) {
  StartNodes(4);
  ASSERT_TRUE(WaitForVersion(0, kBound));
  m_nodes[3]->is_hung = true;
  SetState(3, pb::MEMBER_DEAD);
  for (int i = 1; i <= 150; ++i) {
    std::string name = "n" + std::to_string(i);
    ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService(name, name))));
  }
  ASSERT_TRUE(WaitForVersion(150, kBound));
  m_nodes[3]->is_hung = false;
  SetState(3, pb::MEMBER_ALIVE);
  m_nodes[3]->in_force.clear();
  RestartNode(3);
  EXPECT_TRUE(WaitForVersion(150, kBound));
  EXPECT_EQ(m_nodes[3]->in_force, std::vector<uint64_t>{150});
}

}  // namespace
}  // namespace guavatrail
