// Guards against outlier detection that ejects most servers of a service, reacts to stragglers or
// to a slowdown of all servers, or never reinstates a server.
#include "outlier_detector.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1'000'000;

class OutlierDetectorTest : public testing::Test {
 protected:
  void SetUpServers(std::vector<std::string_view> nodes) {
    m_nodes = std::move(nodes);
    SetServers(m_policy, m_nodes, m_now_us);
  }
  // Records `rounds` answers of every active server, 20 ms apart; the servers named in `slow` take
  // 10 times as long.
  void Answer(int rounds, std::string_view slow) {
    for (int i = 0; i < rounds; ++i) {
      m_now_us += 20 * kMs;
      for (std::string_view node : m_nodes) {
        if (StateOf(node) != EjectionState::kActive) continue;
        bool is_slow = slow.find(node) != std::string_view::npos;
        OnAnswer(m_policy, {node, "lookup", is_slow ? 50 * kMs : 5 * kMs, 0}, m_now_us);
      }
    }
  }
  EjectionState StateOf(std::string_view node) const {
    return EjectionStateOf(m_policy, node, m_now_us);
  }
  size_t EjectedCount() const { return std::get<OutlierDetector>(m_policy).ejected_count(); }

  OutlierPolicy m_policy;
  std::vector<std::string_view> m_nodes;
  int64_t m_now_us = 0;
};

TEST_F(OutlierDetectorTest, EjectsASlowServerWithinASecond) {
  SetUpServers({"a", "b", "c"});
  Answer(50, "");
  EXPECT_EQ(EjectedCount(), 0U);
  int64_t slow_since_us = m_now_us;
  while (StateOf("b") == EjectionState::kActive && m_now_us < slow_since_us + kSecond) {
    Answer(1, "b");
  }
  EXPECT_EQ(StateOf("b"), EjectionState::kEjected);
  EXPECT_LE(m_now_us - slow_since_us, 200 * kMs);
  EXPECT_EQ(EjectedCount(), 1U);
}

TEST_F(OutlierDetectorTest, EjectsAFailingServer) {
  SetUpServers({"a", "b", "c"});
  Answer(50, "");
  for (int i = 0; i < 4; ++i) OnFailure(m_policy, "c", m_now_us);
  EXPECT_EQ(StateOf("c"), EjectionState::kEjected);
}

TEST_F(OutlierDetectorTest, EjectsAServerByItsLoadReport) {
  SetUpServers({"a", "b", "c"});
  // A single answer per server is not enough for an ejection, but the load reports cover the
  // requests of all entry nodes.
  OnAnswer(m_policy, {"a", "lookup", 5 * kMs, 5 * kMs}, m_now_us);
  OnAnswer(m_policy, {"b", "lookup", 5 * kMs, 6 * kMs}, m_now_us);
  EXPECT_EQ(EjectedCount(), 0U);
  OnAnswer(m_policy, {"c", "lookup", 5 * kMs, 50 * kMs}, m_now_us);
  EXPECT_EQ(StateOf("c"), EjectionState::kEjected);
}

TEST_F(OutlierDetectorTest, EjectsAtMostHalfOfTheServers) {
  for (size_t failing = 3; failing <= 5; ++failing) {
    m_policy = OutlierDetector();
    SetUpServers({"a", "b", "c", "d", "e"});
    Answer(50, "");
    for (int i = 0; i < 100; ++i) {
      m_now_us += 20 * kMs;
      for (size_t n = 0; n < failing; ++n) OnFailure(m_policy, m_nodes[n], m_now_us);
      EXPECT_LE(EjectedCount(), 2U);
    }
  }
}

TEST_F(OutlierDetectorTest, KeepsTheLimitWhenServersLeave) {
  SetUpServers({"a", "b", "c", "d", "e"});
  Answer(50, "");
  Answer(50, "abc");
  EXPECT_EQ(EjectedCount(), 2U);
  std::vector<std::string_view> fewer = {"a", "b"};
  SetServers(m_policy, fewer, m_now_us);
  EXPECT_EQ(EjectedCount(), 1U);
  std::vector<std::string_view> one = {"a"};
  SetServers(m_policy, one, m_now_us);
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, KeepsTheOnlyServer) {
  SetUpServers({"a"});
  for (int i = 0; i < 20; ++i) OnFailure(m_policy, "a", m_now_us);
  EXPECT_EQ(StateOf("a"), EjectionState::kActive);
}

TEST_F(OutlierDetectorTest, IgnoresStragglers) {
  SetUpServers({"a", "b", "c"});
  for (int i = 0; i < 50; ++i) {
    Answer(9, "");
    OnAnswer(m_policy, {"a", "lookup", kSecond, 0}, m_now_us);
  }
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, EjectsNoServerWhenAllAreSlow) {
  SetUpServers({"a", "b", "c", "d"});
  Answer(50, "");
  Answer(200, "abcd");
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, ReinstatesWhenAllServersBecomeSlow) {
  SetUpServers({"a", "b", "c", "d"});
  Answer(50, "");
  Answer(20, "a");
  ASSERT_EQ(StateOf("a"), EjectionState::kEjected);
  Answer(10, "abcd");
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, IgnoresSlowerWorkKinds) {
  SetUpServers({"a", "b"});
  for (int i = 0; i < 100; ++i) {
    m_now_us += 20 * kMs;
    OnAnswer(m_policy, {"a", "lookup", 5 * kMs, 0}, m_now_us);
    OnAnswer(m_policy, {"b", "download", 500 * kMs, 0}, m_now_us);
  }
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, ReinstatesAServerAfterGoodProbes) {
  SetUpServers({"a", "b", "c"});
  Answer(50, "");
  Answer(20, "b");
  ASSERT_EQ(StateOf("b"), EjectionState::kEjected);
  // A late answer to a call from before the ejection does not count as a probe.
  OnAnswer(m_policy, {"b", "lookup", 50 * kMs, 0}, m_now_us);
  Answer(50, "");
  ASSERT_EQ(StateOf("b"), EjectionState::kProbeDue);
  OnProbeSent(m_policy, "b", m_now_us);
  EXPECT_EQ(StateOf("b"), EjectionState::kEjected);
  OnAnswer(m_policy, {"b", "lookup", 50 * kMs, 0}, m_now_us);
  Answer(60, "");
  EXPECT_EQ(StateOf("b"), EjectionState::kEjected) << "a bad probe doubles the ejection time";
  Answer(60, "");
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(StateOf("b"), EjectionState::kProbeDue);
    OnProbeSent(m_policy, "b", m_now_us);
    OnAnswer(m_policy, {"b", "lookup", 5 * kMs, 0}, m_now_us);
  }
  EXPECT_EQ(StateOf("b"), EjectionState::kActive);
  EXPECT_EQ(EjectedCount(), 0U);
}

TEST_F(OutlierDetectorTest, RepeatsALostProbe) {
  SetUpServers({"a", "b", "c"});
  Answer(50, "");
  Answer(20, "b");
  Answer(60, "");
  ASSERT_EQ(StateOf("b"), EjectionState::kProbeDue);
  OnProbeSent(m_policy, "b", m_now_us);
  EXPECT_EQ(StateOf("b"), EjectionState::kEjected);
  m_now_us += 2 * kSecond;
  EXPECT_EQ(StateOf("b"), EjectionState::kProbeDue);
}

TEST_F(OutlierDetectorTest, ProbesByTimeAtALowCallRate) {
  SetUpServers({"a", "b", "c"});
  Answer(50, "");
  Answer(10, "b");
  ASSERT_EQ(StateOf("b"), EjectionState::kEjected);
  m_now_us += 20 * kSecond;
  EXPECT_EQ(StateOf("b"), EjectionState::kEjected);
  m_now_us += 10 * kSecond;
  EXPECT_EQ(StateOf("b"), EjectionState::kProbeDue);
}

// Guards against a server that is ejected again by the late report of its node right after it was
// reinstated because other servers have gone.
TEST_F(OutlierDetectorTest, LateReportDoesNotEjectAServerReinstatedForLackOfOthers) {
  SetUpServers({"a", "b", "c", "d"});
  Answer(50, "");
  Answer(20, "cd");
  ASSERT_EQ(EjectedCount(), 2U);
  std::vector<std::string_view> fewer = {"a", "c", "d"};
  SetServers(m_policy, fewer, m_now_us);
  ASSERT_EQ(EjectedCount(), 1U);
  std::string_view reinstated = StateOf("c") == EjectionState::kActive ? "c" : "d";
  OnAnswer(m_policy, {"a", "lookup", 5 * kMs, 5 * kMs}, m_now_us);
  OnAnswer(m_policy, {"b", "lookup", 5 * kMs, 5 * kMs}, m_now_us);
  std::vector<std::string_view> more = {"a", "b", "c", "d"};
  SetServers(m_policy, more, m_now_us);
  OnAnswer(m_policy, {"b", "lookup", 5 * kMs, 5 * kMs}, m_now_us);
  OnAnswer(m_policy, {reinstated, "lookup", 5 * kMs, 50 * kMs}, m_now_us);
  EXPECT_EQ(StateOf(reinstated), EjectionState::kActive);
}

}  // namespace
}  // namespace guavatrail
