// Guards against a coordinator that loses or counts twice what nodes have admitted, or that grants
// more than the part of the quota of the nodes that report to it.
#include "quota_ledger.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kUsPerS = 1'000'000;
constexpr char kName[] = "loja";

class QuotaLedgerTest : public testing::Test {
 protected:
  struct Node {
    std::string name;
    uint64_t process = 1;
    QuotaCounters counters;
    QuotaCounters base;
  };

  QuotaLedgerTest() {
    m_ledger.SetQuotas({{kName, {.name = kName, .rate_per_s = 100, .burst = 100}}});
    m_ledger.SetNodes({"node-1", "node-2", "node-3", "node-4"});
    for (int i = 1; i <= 4; ++i) m_nodes.push_back({.name = "node-" + std::to_string(i)});
  }

  QuotaReport MakeReport(const Node& node) const {
    return {.node = node.name,
            .process = node.process,
            .time_us = m_now_us,
            .base_time_us = m_now_us - QuotaBaseAgeUs(4),
            .usages = {{kName, node.counters, node.base}}};
  }
  QuotaReply Report(const Node& node) { return m_ledger.OnReport(MakeReport(node), m_now_us); }
  // Each node offers and admits this many requests in each period.
  QuotaReply Run(size_t nodes, uint64_t offered, uint64_t admitted, int periods) {
    QuotaReply reply;
    for (int i = 0; i < periods; ++i) {
      m_now_us += 250'000;
      for (size_t n = 0; n < nodes; ++n) {
        m_nodes[n].counters.offered += offered;
        m_nodes[n].counters.admitted += admitted;
        reply = Report(m_nodes[n]);
      }
    }
    return reply;
  }

  int64_t m_now_us = 100 * kUsPerS;
  QuotaLedger m_ledger;
  std::vector<Node> m_nodes;
};

TEST_F(QuotaLedgerTest, BucketStartsEmptyAndFills) {
  Report(m_nodes[0]);
  EXPECT_LE(m_ledger.LevelOf(kName), 0);
  Run(4, 1, 1, 40);
  EXPECT_NEAR(m_ledger.LevelOf(kName), 100, 5);
}

TEST_F(QuotaLedgerTest, DemandBelowTheQuotaIsNotListed) {
  QuotaReply reply = Run(4, 4, 4, 20);
  EXPECT_TRUE(reply.limits.empty());
  EXPECT_EQ(reply.reporting_share, 1);
}

TEST_F(QuotaLedgerTest, ShareSuitsTheDemand) {
  QuotaReply reply = Run(4, 25, 6, 40);
  // 400 requests a second are offered, and the bucket is near its equilibrium.
  ASSERT_EQ(reply.limits.size(), 1U);
  EXPECT_GT(reply.limits[0].share, 0.2);
  EXPECT_LT(reply.limits[0].share, 0.6);
  EXPECT_GT(reply.limits[0].rate_per_s, 20);
}

TEST_F(QuotaLedgerTest, LostReportLosesNothing) {
  Run(4, 25, 25, 4);
  double before = m_ledger.LevelOf(kName);
  m_now_us += 250'000;
  m_nodes[0].counters.admitted += 10;
  m_nodes[0].counters.offered += 10;  // The report is lost.
  Run(1, 10, 10, 1);
  // Half a second of refill of one node of four, less what it has admitted.
  EXPECT_NEAR(m_ledger.LevelOf(kName), before + 12.5 - 20, 0.1);
}

TEST_F(QuotaLedgerTest, CopyOfAReportCountsOnce) {
  Run(4, 25, 25, 4);
  double before = m_ledger.LevelOf(kName);
  QuotaReport report = MakeReport(m_nodes[3]);
  for (int i = 0; i < 3; ++i) m_ledger.OnReport(report, m_now_us);
  EXPECT_EQ(m_ledger.LevelOf(kName), before);
}

TEST_F(QuotaLedgerTest, ReturnedRequestsAreGivenBack) {
  Run(4, 50, 50, 4);
  double before = m_ledger.LevelOf(kName);
  m_nodes[0].counters.returned += 30;
  Report(m_nodes[0]);
  EXPECT_NEAR(m_ledger.LevelOf(kName), before + 30, 0.1);
}

// The counters of a restarted process begin at 0 again.
TEST_F(QuotaLedgerTest, RestartedNodeIsCountedFromItsBase) {
  Run(4, 25, 25, 4);
  double before = m_ledger.LevelOf(kName);
  m_nodes[0].process = 2;
  m_nodes[0].counters = {20, 20, 0};
  m_nodes[0].base = {15, 15, 0};
  Report(m_nodes[0]);
  EXPECT_NEAR(m_ledger.LevelOf(kName), before + 1.5 * 25 - 5, 0.1);
}

TEST_F(QuotaLedgerTest, GroupIsThePartOfTheNodesThatReport) {
  Run(4, 25, 10, 8);
  QuotaReply reply = Run(2, 25, 10, 8);
  EXPECT_EQ(reply.reporting_share, 0.5);
  // The other half of the nodes may have another coordinator.
  EXPECT_LE(m_ledger.LevelOf(kName), 50);
  EXPECT_LE(reply.limits.at(0).share, 0.5);
}

// A paused coordinator does not know how long it was paused.
TEST_F(QuotaLedgerTest, RefillFollowsTheClocksOfTheNodes) {
  Run(4, 25, 25, 8);
  double before = m_ledger.LevelOf(kName);
  int64_t now_us = m_now_us;
  m_now_us += kUsPerS;
  for (const Node& node : m_nodes) m_ledger.OnReport(MakeReport(node), now_us);
  EXPECT_NEAR(m_ledger.LevelOf(kName), before + 100, 0.1);
}

TEST_F(QuotaLedgerTest, LowerLimitScalesTheDebt) {
  Run(4, 100, 100, 4);
  double before = m_ledger.LevelOf(kName);
  ASSERT_LT(before, 0);
  m_ledger.SetQuotas({{kName, {.name = kName, .rate_per_s = 10, .burst = 10}}});
  EXPECT_NEAR(m_ledger.LevelOf(kName), before / 10, 0.01);
}

TEST_F(QuotaLedgerTest, UnknownWorkspacesAndRemovedQuotasAreIgnored) {
  QuotaReport report = MakeReport(m_nodes[0]);
  report.usages[0].workspace = "other";
  EXPECT_TRUE(m_ledger.OnReport(report, m_now_us).limits.empty());
  Run(4, 100, 100, 4);
  m_ledger.SetQuotas({});
  EXPECT_TRUE(Run(4, 100, 100, 1).limits.empty());
  EXPECT_EQ(m_ledger.limited(), 0U);
}

// Clients of the peer port can report under names that they make up.
TEST_F(QuotaLedgerTest, NodesThatAreNotKnownAreLimited) {
  size_t counted = 0;
  for (int i = 0; i < 1'000; ++i) {
    Node node{.name = "forged-" + std::to_string(i)};
    if (!m_ledger.HasRoomFor(node.name)) continue;
    Report(node);
    ++counted;
  }
  EXPECT_GE(counted, 64U);
  EXPECT_LE(counted, 68U);
  for (const Node& node : m_nodes) EXPECT_TRUE(m_ledger.HasRoomFor(node.name));
  EXPECT_TRUE(m_ledger.HasRoomFor("forged-0"));
}

}  // namespace
}  // namespace guavatrail
