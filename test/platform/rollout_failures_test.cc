// Guards against a rollout without an owner, a verdict that is lost or reversed, and a bad version
// that goes on getting calls, when nodes end or restart or the store fails during a rollout.
#include "rollout_fixture.h"

namespace guavatrail {
namespace {

using std::chrono::milliseconds;

class RolloutFailuresTest : public RolloutFixture {
 protected:
  void StopNode(Vm& vm) { vm.node.reset(); }

  void RestartAll() {
    for (auto& vm : m_vms) vm->node.reset();
    for (auto& vm : m_vms) StartNode(*vm);
    for (auto& vm : m_vms) Heartbeat(*vm);
    ASSERT_TRUE(CallUntil(Entry(), "/parts/1", 200));
  }

  // Runs a rollout of "v2" to its verdict.
  void RunTo(const std::string& verdict) {
    StartMesh(2, 2);
    if (verdict == "rolled_back") SetHandler("v2", Failing());
    Order("v2", verdict == "rolled_back" ? 40 : 9);
    ASSERT_TRUE(CallWhile(100, 12, [&] { return State() == "running"; }));
    m_running_copy = m_store.TakeCopy();
    ASSERT_TRUE(CallWhile(100, 12, [&] { return State() == verdict; })) << State();
  }

  // Expects that for a while only servers of `version` get calls and the state stays.
  void ExpectOnly(const std::string& version, const std::string& state) {
    for (auto& vm : m_vms) vm->requests.clear();
    EXPECT_FALSE(CallWhile(100, 2, [&] { return State() != state; })) << State();
    EXPECT_EQ(RequestsOf(version == "v1" ? "v2" : "v1"), 0U);
    EXPECT_GT(RequestsOf(version), 150U);
  }

  void LoseSinceRunning() {
    m_store.SetMode(FakeStore::Mode::kUnavailable);
    m_store.BlackholeWatches();
    RunFor(m_loop, milliseconds(300));
    m_store.Restore(*m_running_copy);
    m_store.SetMode(FakeStore::Mode::kHealthy);
  }

  std::shared_ptr<const FakeStore::Copy> m_running_copy;
};

TEST_F(RolloutFailuresTest, AnotherNodeOwnsTheRolloutWhenTheOwnerEnds) {
  StartMesh(3, 2);
  Order("v2", 40);
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "running"; }));
  Vm* first = Owner();
  ASSERT_NE(first, nullptr);
  StopNode(*first);
  SetHandler("v2", Failing());
  ASSERT_TRUE(CallWhile(100, 15, [&] { return State() == "rolled_back"; }));
  EXPECT_NE(Owner(), first);
  EXPECT_LT(RequestsOf("v2"), 90U);
  ExpectOnly("v1", "rolled_back");
}

TEST_F(RolloutFailuresTest, OwnerThatEndsWhileClosingIsFollowedByTheSameVerdict) {
  StartMesh(3, 2);
  Order("v2", 25);
  auto phase_is = [&](int phase) {
    const auto* lease = m_store.Find(kLeaseKind, kService);
    return lease != nullptr && (*lease)["phase"] == phase;
  };
  constexpr int kClosing = 3;
  ASSERT_TRUE(CallWhile(100, 25, [&] { return phase_is(kClosing); }));
  StopNode(*Owner());
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "completed"; }));
  ExpectOnly("v2", "completed");
}

// No verdict can be written, and nobody owns the rollout once the lease has expired.
TEST_F(RolloutFailuresTest, BadVersionGetsNoCallsWhileTheStoreIsDown) {
  StartMesh(2, 2);
  Order("v2", 60);
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "running"; }));
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  ASSERT_FALSE(CallWhile(100, 5, [] { return false; }));
  SetHandler("v2", Failing());
  for (auto& vm : m_vms) vm->requests.clear();
  ASSERT_FALSE(CallWhile(200, 12, [] { return false; }));
  EXPECT_LE(RequestsOf("v2"), 60U);
  size_t requests = RequestsOf("v2");
  ASSERT_FALSE(CallWhile(100, 2, [] { return false; }));
  EXPECT_EQ(RequestsOf("v2"), requests);
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(CallWhile(100, 15, [&] { return State() == "rolled_back"; }));
}

TEST_F(RolloutFailuresTest, GoodVersionIsCompletedAfterAnOutageOfTheStore) {
  StartMesh(2, 2);
  Order("v2", 18);
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "running"; }));
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  ASSERT_FALSE(CallWhile(100, 5, [] { return false; }));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(CallWhile(100, 13, [&] { return State() == "completed"; })) << State();
}

TEST_F(RolloutFailuresTest, WritesWithoutAnswersLeadToOneVerdict) {
  StartMesh(2, 2);
  SetHandler("v2", Failing());
  Order("v2", 60);
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "running"; }));
  m_store.SetMode(FakeStore::Mode::kAnswerLost);
  EXPECT_TRUE(CallWhile(100, 15, [&] { return State() == "rolled_back"; }));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  ExpectOnly("v1", "rolled_back");
}

TEST_F(RolloutFailuresTest, LostRollBackIsWrittenAgain) {
  RunTo("rolled_back");
  // A second trial would end otherwise.
  SetHandler("v2", Good());
  for (auto& vm : m_vms) vm->requests.clear();
  LoseSinceRunning();
  ASSERT_TRUE(CallWhile(100, 8, [&] { return State() == "rolled_back"; })) << State();
  EXPECT_EQ(RequestsOf("v2"), 0U);
  ExpectOnly("v1", "rolled_back");
}

TEST_F(RolloutFailuresTest, LostCompletionIsWrittenAgain) {
  RunTo("completed");
  LoseSinceRunning();
  ASSERT_TRUE(CallWhile(100, 8, [&] { return State() == "completed"; })) << State();
  ExpectOnly("v2", "completed");
}

TEST_F(RolloutFailuresTest, RollBackSurvivesARestartOfAllNodes) {
  RunTo("rolled_back");
  for (auto& vm : m_vms) vm->requests.clear();
  RestartAll();
  EXPECT_EQ(RequestsOf("v2"), 0U);
  ExpectOnly("v1", "rolled_back");
}

TEST_F(RolloutFailuresTest, CompletionSurvivesARestartOfAllNodes) {
  RunTo("completed");
  RestartAll();
  ExpectOnly("v2", "completed");
}

// A suspended VM may send a write long after another owner has taken over.
TEST_F(RolloutFailuresTest, DelayedWritesDoNotChangeTheVerdict) {
  RunTo("rolled_back");
  // The latest first, so that the status `running` is the last one to be written.
  for (int i = m_store.writes(); i > 0; --i) m_store.ReplayWrite(static_cast<size_t>(i - 1));
  EXPECT_EQ(State(), "rolled_back");
  ExpectOnly("v1", "rolled_back");
}

TEST_F(RolloutFailuresTest, VersionThatWasRolledBackIsNotTriedAgain) {
  RunTo("rolled_back");
  Order("v3", 40);
  RunFor(m_loop, milliseconds(300));
  Order("v2", 40);
  SetHandler("v2", Good());
  ASSERT_TRUE(CallWhile(100, 8, [&] { return State() == "rolled_back"; }));
  ExpectOnly("v1", "rolled_back");
}

}  // namespace
}  // namespace guavatrail
