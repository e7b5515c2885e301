// Guards against nodes that act on lost state after the store has come back from an older copy: a
// configuration that is not in force or older than before, a server that has left and is used
// again, a server that gets no work.
#include <algorithm>

#include "endpoint_record.h"
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

using platform::kEndpointKind;
using std::chrono::milliseconds;

// A change must be in force this long after it was stored.
constexpr milliseconds kInForceTime{2'000};

// In slow start, a new server is drawn for about one call in twenty. The chance that none of so
// many calls draws it is below 1e-12.
constexpr int kMaxDraws = 600;

class RestoredStoreTest : public MeshFixture {
 protected:
  // Starts three nodes: a front without work of its own, and two with a server of "catalogo".
  void StartMesh() {
    PutConfig(1, "catalogo");
    for (const char* service : {"front", "catalogo", "catalogo"}) AddVm(service);
    HeartbeatAll();
    for (auto& vm : m_vms) ASSERT_TRUE(CallUntil(*vm, "/parts/1", 200));
    RunFor(m_loop, milliseconds(1'000));
  }

  static std::string IdOf(size_t index) { return "i-" + std::to_string(index + 1); }

  void HeartbeatAll() {
    for (size_t i = 0; i < m_vms.size(); ++i) EXPECT_EQ(SendHeartbeat(*m_vms[i], IdOf(i)), 200);
  }

  // The store is away for a moment and returns from `copy`. `while_away` writes to the copy before
  // any node reaches the store.
  void LoseSince(
      const FakeStore::Copy& copy, const std::function<void()>& while_away = [] {}) {
    m_store.SetMode(FakeStore::Mode::kUnavailable);
    m_store.BlackholeWatches();
    RunFor(m_loop, milliseconds(300));
    m_store.Restore(copy);
    while_away();
    m_store.SetMode(FakeStore::Mode::kHealthy);
  }

  // Puts version 2 in force on all nodes; the store then returns from a copy with version 1.
  void LoseVersion2() {
    auto copy = m_store.TakeCopy();
    PutConfig(2, "catalogo", 1.5);
    ASSERT_TRUE(BecomesInForce(2));
    LoseSince(*copy);
  }

  std::string StoredState(const Vm& vm) const {
    const auto* record = m_store.Find(kEndpointKind, vm.settings.node.name);
    return record == nullptr ? "missing" : (*record)["server"]["state"].get<std::string>();
  }

  bool BecomesStored(const Vm& vm, const std::string& state) {
    return RunUntil(
        m_loop, [&] { return StoredState(vm) == state; }, kInForceTime);
  }

  void PutOtherRecord(int slots) {
    platform::NodeRecord record;
    record.endpoint = {
        .node = "other", .service = "other", .ip = "127.0.0.1", .peer_port = 1, .slots = slots};
    record.report.lifetime = {"i-other", 5};
    m_store.Put(kEndpointKind, "other", platform::EncodeRecord(record));
  }

  // Whether each node puts `version` in force in time.
  bool BecomesInForce(uint64_t version) {
    return RunUntil(
        m_loop,
        [&] {
          return std::all_of(m_vms.begin(), m_vms.end(),
                             [&](const auto& vm) { return VersionOf(*vm) == version; });
        },
        kInForceTime);
  }

  // Whether the node knows of the endpoint of `node`.
  bool Lists(Vm& vm, const std::string& node) {
    auto members = SendAndWait(vm.settings.listen.admin_port, "GET", "/v1/members");
    auto list = nlohmann::json::parse(members->body());
    return std::any_of(list.begin(), list.end(),
                       [&](const auto& member) { return member["name"] == node; });
  }

  uint64_t VersionOf(Vm& vm) {
    auto status = SendAndWait(vm.settings.listen.admin_port, "GET", "/v1/status");
    return nlohmann::json::parse(status->body())["version"].get<uint64_t>();
  }
};

TEST_F(RestoredStoreTest, LaterConfigIsInForceAlthoughItsRevisionIsReissued) {
  StartMesh();
  auto copy = m_store.TakeCopy();
  for (int i = 0; i < 4; ++i) m_store.Put("others", "a", i);
  // Longer than a watch, so that the next one starts after these changes.
  RunFor(m_loop, milliseconds(1'000));
  LoseSince(*copy, [this] {
    PutConfig(2, "catalogo", 1.5);
    for (int i = 0; i < 4; ++i) m_store.Put("others", "a", i);
  });
  EXPECT_TRUE(BecomesInForce(2));
}

TEST_F(RestoredStoreTest, RestoredConfigDoesNotReplaceANewerOne) {
  StartMesh();
  LoseVersion2();
  for (int i = 0; i < 10; ++i) {
    RunFor(m_loop, milliseconds(100));
    for (auto& vm : m_vms) EXPECT_EQ(VersionOf(*vm), 2U);
  }
  PutConfig(2, "catalogo", 1.5);
  PutConfig(3, "catalogo", 1.25);
  EXPECT_TRUE(BecomesInForce(3));
}

// The restarted node may be one that reads the store, which has only the older configuration until
// the operator writes again.
TEST_F(RestoredStoreTest, RestartedNodeGetsTheNewerConfigOfTheOthers) {
  StartMesh();
  LoseVersion2();
  for (auto& vm : m_vms) {
    vm->node.reset();
    StartNode(*vm);
    EXPECT_TRUE(BecomesInForce(2)) << vm->settings.node.name;
  }
}

TEST_F(RestoredStoreTest, LostRecordsAreWrittenAgain) {
  auto empty = m_store.TakeCopy();
  StartMesh();
  LoseSince(*empty, [this] { PutConfig(1, "catalogo"); });
  for (auto& vm : m_vms) EXPECT_TRUE(BecomesStored(*vm, "ready")) << vm->settings.node.name;
  // Longer than the grace period in which a missing record is still used.
  RunFor(m_loop, milliseconds(3'500));
  for (auto& vm : m_vms) EXPECT_EQ(Call(*vm, "/parts/1", "after")->status(), 200);
}

TEST_F(RestoredStoreTest, LostLeavesAreStoredAgain) {
  StartMesh();
  auto copy = m_store.TakeCopy();
  for (size_t i = 0; i < m_vms.size(); ++i) ASSERT_EQ(Deregister(*m_vms[i], IdOf(i)), 200);
  for (auto& vm : m_vms) ASSERT_EQ(StoredState(*vm), "left");
  LoseSince(*copy);
  for (auto& vm : m_vms) EXPECT_TRUE(BecomesStored(*vm, "left")) << vm->settings.node.name;
}

// The processes that knew of the leave end before one of them can store it again.
TEST_F(RestoredStoreTest, ServerWhoseLeaveWasLostIsNotUsedAfterARestart) {
  StartMesh();
  auto copy = m_store.TakeCopy();
  ASSERT_EQ(Deregister(*m_vms[1], IdOf(1)), 200);
  for (auto& vm : m_vms) vm->node.reset();
  LoseSince(*copy);
  size_t before = m_vms[1]->requests.size();
  for (auto& vm : m_vms) StartNode(*vm);
  for (size_t i : {0, 2}) ASSERT_EQ(SendHeartbeat(*m_vms[i], IdOf(i)), 200);
  for (auto& vm : m_vms) ASSERT_TRUE(CallUntil(*vm, "/parts/1", 200));
  for (int i = 0; i < 20; ++i) {
    for (auto& vm : m_vms) Call(*vm, "/parts/1", "late-" + std::to_string(i));
    RunFor(m_loop, milliseconds(20));
  }
  EXPECT_EQ(m_vms[1]->requests.size(), before);
}

// Guards against a rule that is too strict: a server that lives is used once it has reported.
TEST_F(RestoredStoreTest, ServerIsUsedAfterARestartOnceItReports) {
  StartMesh();
  auto copy = m_store.TakeCopy();
  m_vms[1]->node.reset();
  m_vms[2]->node.reset();
  LoseSince(*copy);
  StartNode(*m_vms[1]);
  RunFor(m_loop, milliseconds(300));
  ASSERT_EQ(SendHeartbeat(*m_vms[1], IdOf(1)), 200);
  EXPECT_TRUE(CallUntil(*m_vms[0], "/parts/1", 200));
}

// The record of a server that joins after the return gets a revision that the entry nodes have
// already seen.
TEST_F(RestoredStoreTest, ServerThatJoinsWithAReissuedRevisionGetsWork) {
  StartMesh();
  auto copy = m_store.TakeCopy();
  for (int slots = 1; slots <= 20; ++slots) PutOtherRecord(slots);
  RunFor(m_loop, milliseconds(1'000));
  // Open watches are cut off, so that no node finds its source stale.
  m_store.Restore(*copy);
  RunFor(m_loop, milliseconds(1'000));
  Vm& joining = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(joining, "i-4"), 200);
  RunFor(m_loop, milliseconds(1'000));
  for (auto& vm : m_vms) {
    EXPECT_TRUE(Lists(*vm, joining.settings.node.name)) << "in " << vm->settings.node.name;
  }
  for (auto& vm : m_vms) {
    size_t before = joining.requests.size();
    for (int i = 0; i < kMaxDraws && joining.requests.size() == before; ++i) {
      Call(*vm, "/parts/1", "join-" + std::to_string(i));
    }
    EXPECT_GT(joining.requests.size(), before) << "from " << vm->settings.node.name;
  }
}

}  // namespace
}  // namespace guavatrail
