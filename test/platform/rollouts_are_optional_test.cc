// Guards against a node that reads, writes or sends anything for rollouts although they are off.
#include "rollout_fixture.h"

namespace guavatrail {
namespace {

class RolloutsAreOptionalTest : public RolloutFixture {};

TEST_F(RolloutsAreOptionalTest, NothingHappensWhileTheyAreOff) {
  m_has_rollouts = false;
  StartMesh(1, 1);
  SetHandler("v2", Failing());
  Order("v2", 2);
  ASSERT_FALSE(CallWhile(100, 3, [] { return false; }));
  EXPECT_EQ(State(), "none");
  EXPECT_EQ(m_store.list_calls(kKind), 0);
  EXPECT_EQ(m_store.list_calls(kLeaseKind), 0);
  EXPECT_EQ(m_store.stale_watches(kKind) + m_store.exact_watches(kKind), 0);
  EXPECT_EQ(m_store.Find(kLeaseKind, kService), nullptr);
  for (const std::string& name : m_store.NamesOf("guavatrail-endpoints")) {
    EXPECT_FALSE(m_store.Find("guavatrail-endpoints", name)->contains("version"));
  }
  auto reply = SendAndWait(m_vms[1]->settings.listen.peer_port, "POST", kRolloutPath, "", "x");
  EXPECT_EQ(reply->status(), 404);
}

}  // namespace
}  // namespace guavatrail
