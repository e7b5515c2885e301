// Guards against a rollout that is not carried out: a version that stays on trial, gets too many
// calls, gets calls after it was rolled back, or old servers that get calls after the verdict.
#include "rollout_fixture.h"

namespace guavatrail {
namespace {

class RolloutVerdictTest : public RolloutFixture {};

TEST_F(RolloutVerdictTest, GoodVersionIsCompletedInTime) {
  StartMesh(2, 2);
  Order("v2", 12);
  int64_t start_us = EventLoop::NowUs();
  ASSERT_TRUE(CallWhile(100, 12, [&] { return State() == "running"; }));
  ASSERT_TRUE(CallWhile(100, 12, [&] { return EventLoop::NowUs() - start_us > 5'500'000; }));
  // A small share of the calls.
  EXPECT_GT(RequestsOf("v2"), 5U);
  EXPECT_LT(RequestsOf("v2"), 60U);
  ASSERT_TRUE(CallWhile(100, 12, [&] { return State() == "completed"; }));
  EXPECT_LT(EventLoop::NowUs() - start_us, 12'000'000);
  // The old servers may end at once.
  size_t old_requests = RequestsOf("v1");
  ASSERT_FALSE(CallWhile(100, 1.5, [] { return false; }));
  EXPECT_EQ(RequestsOf("v1"), old_requests);
  EXPECT_EQ(m_statuses.size(), 1U);
  EXPECT_GT(m_statuses[200], 500);
}

TEST_F(RolloutVerdictTest, FailingVersionIsRolledBack) {
  StartMesh(2, 2);
  SetHandler("v2", Failing());
  Order("v2", 30);
  ASSERT_TRUE(CallWhile(100, 10, [&] { return State() == "rolled_back"; }));
  size_t requests = RequestsOf("v2");
  EXPECT_GE(requests, 6U);
  EXPECT_LT(requests, 50U);
  ASSERT_FALSE(CallWhile(100, 2, [] { return false; }));
  EXPECT_EQ(RequestsOf("v2"), requests);
}

// On trial, its servers get too few calls for the fault to show.
TEST_F(RolloutVerdictTest, VersionThatFailsUnderLoadIsRolledBack) {
  StartMesh(2, 2);
  constexpr size_t kBearablePerS = 12;
  for (auto& vm : m_vms) {
    if (vm->version != "v2") continue;
    auto times = std::make_shared<std::list<int64_t>>();
    vm->handler = [times](FakeConnection& c, const std::string& request) {
      int64_t now_us = EventLoop::NowUs();
      times->push_back(now_us);
      times->remove_if([&](int64_t time_us) { return now_us - time_us > 1'000'000; });
      (times->size() > kBearablePerS ? Failing() : Good())(c, request);
    };
  }
  Order("v2", 16);
  ASSERT_TRUE(CallWhile(100, 16, [&] { return State() == "rolled_back"; })) << State();
  // A tenth of the requests until the time limit, and 50.
  EXPECT_LE(RequestsOf("v2"), 1'600U / 10 + 50);
  EXPECT_LE(m_statuses[500], 60);
}

TEST_F(RolloutVerdictTest, SlowVersionIsRolledBack) {
  StartMesh(2, 2);
  SetHandler("v2", [this](FakeConnection& c, const std::string& request) {
    m_delayed.push_back(
        std::make_unique<Timer>(m_loop, [&c, request] { c.Send(ServerAnswer(request, "late")); }));
    m_delayed.back()->Start(std::chrono::milliseconds(100));
  });
  Order("v2", 30);
  ASSERT_TRUE(CallWhile(100, 20, [&] { return State() == "rolled_back"; }));
  EXPECT_LT(RequestsOf("v2"), 90U);
}

TEST_F(RolloutVerdictTest, NothingMovesForAnUnknownVersion) {
  StartMesh(2, 0);
  Order("v3", 2);
  ASSERT_FALSE(CallWhile(50, 3, [] { return false; }));
  EXPECT_EQ(State(), "none");
  EXPECT_EQ(m_statuses.size(), 1U);
  EXPECT_EQ(m_store.Find(kLeaseKind, kService), nullptr);
}

TEST_F(RolloutVerdictTest, MalformedOrdersChangeNothing) {
  StartMesh(2, 1);
  for (const nlohmann::json& spec : std::vector<nlohmann::json>{
           nullptr,
           7,
           "text",
           nlohmann::json::array(),
           {{"service", kService}},
           {{"service", kService}, {"target-version", 2}, {"step-s", 5}},
           {{"service", kService}, {"target-version", ""}, {"step-s", 5}},
           {{"service", kService}, {"target-version", "v2"}},
           {{"service", kService}, {"target-version", "v2"}, {"step-s", -1}},
           {{"service", kService}, {"target-version", "v2"}, {"step-s", 0}},
           {{"service", kService}, {"target-version", "v2"}, {"step-s", 1e300}},
           {{"service", kService}, {"target-version", "v2"}, {"step-s", "5"}},
           {{"service", "other"}, {"target-version", "v2"}, {"step-s", 5}}}) {
    m_store.Put(kKind, kService, spec);
    RunFor(m_loop, std::chrono::milliseconds(20));
  }
  m_store.Put(kKind, "nowhere", {{"service", "nowhere"}, {"target-version", "v2"}, {"step-s", 5}});
  RunFor(m_loop, std::chrono::milliseconds(1'000));
  EXPECT_EQ(State(), "none");
  EXPECT_EQ(m_store.Find(kLeaseKind, kService), nullptr);
  // The next valid order is carried out.
  Order("v2", 30);
  EXPECT_TRUE(CallWhile(50, 5, [&] { return State() == "running"; }));
}

}  // namespace
}  // namespace guavatrail
