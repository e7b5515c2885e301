// Guards against a node that follows a reply of the coordinator for too long, that loses count of
// what it has admitted, or that admits more than its part without a coordinator.
#include "quota_enforcer.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kUsPerS = 1'000'000;
constexpr char kName[] = "loja";

class QuotaEnforcerTest : public testing::Test {
 protected:
  QuotaEnforcerTest() { SetQuota(100, 100); }

  void SetQuota(double rate_per_s, double burst) {
    m_enforcer.SetQuotas({{kName, {.name = kName, .rate_per_s = rate_per_s, .burst = burst}}},
                         m_now_us);
  }
  bool Reply(const QuotaReply& reply, std::string_view coordinator = "node-1") {
    return m_enforcer.OnReply(coordinator, m_now_us, reply, m_now_us);
  }
  int Admit(int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) admitted += m_enforcer.Admit(kName, m_now_us) ? 1 : 0;
    return admitted;
  }
  static QuotaReply Limited(double share, double rate_per_s, double burst) {
    return {.reporting_share = 1, .limits = {{kName, share, rate_per_s, burst}}};
  }

  int64_t m_now_us = 100 * kUsPerS;
  RandomSource m_random{3};
  QuotaEnforcer m_enforcer{"node-2", 1, m_random};
};

TEST_F(QuotaEnforcerTest, RequestsWithoutAQuotaAreAdmitted) {
  Reply(Limited(0, 0, 0));
  EXPECT_TRUE(m_enforcer.Admit("other", m_now_us));
  EXPECT_TRUE(m_enforcer.Admit("", m_now_us));
  m_enforcer.SetQuotas({{kName, {.name = kName}}}, m_now_us);
  EXPECT_FALSE(m_enforcer.has_quotas());
  EXPECT_EQ(Admit(1'000), 1'000);
}

TEST_F(QuotaEnforcerTest, ShareAndRateOfTheReplyAreKept) {
  Reply(Limited(0.25, 1'000, 1'000));
  EXPECT_NEAR(Admit(200), 50, 1);
  Reply(Limited(1, 10, 5));
  EXPECT_EQ(Admit(100), 5);
  m_now_us += 200'000;
  EXPECT_EQ(Admit(100), 2);
}

TEST_F(QuotaEnforcerTest, RefusalNamesATimeToWait) {
  Reply(Limited(0, 0, 0));
  auto refused = m_enforcer.Admit(kName, m_now_us);
  ASSERT_FALSE(refused);
  EXPECT_GE(refused.error().retry_after_ms, 1'000);
  EXPECT_LE(refused.error().retry_after_ms, 10'000);
}

// A node never admits more than the whole quota itself, whatever a reply says.
TEST_F(QuotaEnforcerTest, OneNodeStaysWithinTheQuota) {
  Reply({.reporting_share = 1});
  int admitted = Admit(10'000);
  EXPECT_LE(admitted, 110);
  for (int i = 0; i < 10; ++i) {
    m_now_us += 100'000;
    Reply({.reporting_share = 1});
    admitted += Admit(1'000);
  }
  EXPECT_LE(admitted, 210);
}

// A paused coordinator answers late, and what it grants then is of the past.
TEST_F(QuotaEnforcerTest, LateReplyIsNotApplied) {
  EXPECT_FALSE(m_enforcer.OnReply("node-1", m_now_us - kUsPerS, {.reporting_share = 1}, m_now_us));
  EXPECT_FALSE(m_enforcer.IsCoordinated(m_now_us));
  EXPECT_TRUE(m_enforcer.OnReply("node-1", m_now_us - 900'000, {.reporting_share = 1}, m_now_us));
  EXPECT_TRUE(m_enforcer.IsCoordinated(m_now_us));
  EXPECT_FALSE(m_enforcer.IsCoordinated(m_now_us + 100'000));
}

TEST_F(QuotaEnforcerTest, ReplyToAnEarlierReportIsNotApplied) {
  ASSERT_TRUE(m_enforcer.OnReply("node-1", m_now_us, Limited(0, 0, 0), m_now_us));
  EXPECT_FALSE(m_enforcer.OnReply("node-1", m_now_us - 1'000, {.reporting_share = 1}, m_now_us));
  EXPECT_EQ(Admit(100), 0);
}

// Right after a change of the coordinator, few nodes have reported to the new one.
TEST_F(QuotaEnforcerTest, CoordinatorOfFewNodesWaitsForTheEndOfTheFormerReply) {
  ASSERT_TRUE(Reply({.reporting_share = 1}, "node-1"));
  EXPECT_FALSE(Reply({.reporting_share = 0.1}, "node-3"));
  EXPECT_TRUE(Reply({.reporting_share = 0.95}, "node-3"));
  EXPECT_TRUE(Reply({.reporting_share = 0.4}, "node-3"));
  m_now_us += kUsPerS;
  EXPECT_TRUE(Reply({.reporting_share = 0.1}, "node-1"));
}

TEST_F(QuotaEnforcerTest, SilentCoordinatorEndsFreeAdmission) {
  m_enforcer.SetNodeCount(60);
  Reply({.reporting_share = 1});
  m_now_us += 600'000;
  EXPECT_LE(Admit(1'000), 4);
}

// All 60 nodes together admit the quota; none has a whole request a second.
TEST_F(QuotaEnforcerTest, NodesAloneTogetherStayWithinASmallQuota) {
  constexpr size_t kNodes = 60;
  int admitted = 0;
  for (size_t i = 0; i < kNodes; ++i) {
    QuotaEnforcer enforcer("node", i, m_random);
    enforcer.SetQuotas({{kName, {.name = kName, .rate_per_s = 5, .burst = 5}}}, 0);
    enforcer.SetNodeCount(kNodes);
    enforcer.OnReply("node-1", 0, {.reporting_share = 1}, 0);
    for (int64_t ms = 1'000; ms < 6'000; ms += 10) {
      admitted += enforcer.Admit(kName, ms * 1'000) ? 1 : 0;
    }
  }
  EXPECT_GE(admitted, 15);
  EXPECT_LE(admitted, 40);
}

TEST_F(QuotaEnforcerTest, ReportCountsOfferedAdmittedAndReturned) {
  Reply(Limited(0.5, 1'000, 1'000));
  int admitted = Admit(100);
  m_enforcer.Return(kName, m_now_us);
  m_enforcer.Return("other", m_now_us);
  QuotaReport report = m_enforcer.MakeReport(m_now_us);
  ASSERT_EQ(report.usages.size(), 1U);
  EXPECT_EQ(report.usages[0].total, (QuotaCounters{100, static_cast<uint64_t>(admitted), 1}));
  EXPECT_EQ(report.usages[0].base, QuotaCounters{});
}

TEST_F(QuotaEnforcerTest, MoreIsNotReturnedThanWasAdmitted) {
  Admit(1);
  for (int i = 0; i < 3; ++i) m_enforcer.Return(kName, m_now_us);
  EXPECT_EQ(m_enforcer.MakeReport(m_now_us).usages[0].total.returned, 1U);
}

TEST_F(QuotaEnforcerTest, WorkspaceWithoutRequestsIsNotReported) {
  EXPECT_TRUE(m_enforcer.MakeReport(m_now_us).usages.empty());
  Admit(1);
  EXPECT_EQ(m_enforcer.MakeReport(m_now_us).usages.size(), 1U);
  m_now_us += 2 * kUsPerS;
  EXPECT_TRUE(m_enforcer.MakeReport(m_now_us).usages.empty());
}

}  // namespace
}  // namespace guavatrail
