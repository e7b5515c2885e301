// Guards against new work for a backend server that has left, drained or been replaced, when
// reports come late, out of order or from somebody else.
#include <gtest/gtest.h>

#include "server_registry.h"

namespace guavatrail {
namespace {

class ServerRegistryFollowsReports : public testing::Test {
 protected:
  static ServerReport ReportOf(const std::string& id, int64_t started_ms, uint64_t sequence,
                               ServerState state = ServerState::kReady) {
    ServerReport report;
    report.lifetime = {id, started_ms};
    report.sequence = sequence;
    report.service = "catalogo";
    report.address = "10.0.0.1:80";
    report.slots = 9;
    report.state = state;
    return report;
  }

  ReportOutcome Report(const ServerReport& report) { return m_registry.OnReport(report, 0); }

  ServerRegistry m_registry{"catalogo", "10.0.0.1:80"};
};

TEST_F(ServerRegistryFollowsReports, AFirstReportMakesTheServerReady) {
  EXPECT_FALSE(m_registry.IsReady());
  EXPECT_EQ(Report(ReportOf("a", 100, 4)), ReportOutcome::kChanged);
  EXPECT_TRUE(m_registry.IsReady());
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kRefreshed);
}

TEST_F(ServerRegistryFollowsReports, ALateReportDoesNotUndoADrain) {
  Report(ReportOf("a", 100, 4));
  EXPECT_EQ(Report(ReportOf("a", 100, 6, ServerState::kDraining)), ReportOutcome::kChanged);
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kStale);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, ALateReportDoesNotUndoALeave) {
  Report(ReportOf("a", 100, 4));
  EXPECT_EQ(m_registry.OnLeave("a", std::nullopt), ReportOutcome::kChanged);
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kStale);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, ALeaveThatOvertakesTheFirstReportHolds) {
  m_registry.OnLeave("a", std::nullopt);
  EXPECT_EQ(Report(ReportOf("a", 100, 1)), ReportOutcome::kStale);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, AReusedIdWithALaterStartIsANewServer) {
  Report(ReportOf("a", 100, 9));
  m_registry.OnLeave("a", 100);
  EXPECT_EQ(Report(ReportOf("a", 200, 1)), ReportOutcome::kChanged);
  EXPECT_TRUE(m_registry.IsReady());
  EXPECT_EQ(m_registry.OnLeave("a", 100), ReportOutcome::kStale);
  EXPECT_TRUE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, AReportOfAnEarlierServerAtTheAddressIsStale) {
  Report(ReportOf("a", 100, 9));
  EXPECT_EQ(Report(ReportOf("b", 200, 1)), ReportOutcome::kChanged);
  EXPECT_EQ(Report(ReportOf("a", 100, 10)), ReportOutcome::kStale);
  EXPECT_EQ(m_registry.current()->report.lifetime.id, "b");
}

TEST_F(ServerRegistryFollowsReports, ReportsOfOthersAreForeign) {
  ServerReport report = ReportOf("a", 100, 1);
  report.service = "manuais";
  EXPECT_EQ(Report(report), ReportOutcome::kForeign);
  report = ReportOf("a", 100, 1);
  report.address = "10.0.0.2:80";
  EXPECT_EQ(Report(report), ReportOutcome::kForeign);
  EXPECT_EQ(m_registry.current(), nullptr);
}

TEST_F(ServerRegistryFollowsReports, ARestartedNodeKeepsAStoredDrain) {
  m_registry.Restore(ReportOf("a", 100, 6, ServerState::kDraining), 0);
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kStale);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, ARestartedNodeKeepsAStoredLeave) {
  m_registry.Restore(ReportOf("a", 100, 6, ServerState::kLeft), 0);
  EXPECT_EQ(Report(ReportOf("a", 100, 7)), ReportOutcome::kStale);
  EXPECT_EQ(Report(ReportOf("b", 200, 1)), ReportOutcome::kChanged);
  EXPECT_TRUE(m_registry.IsReady());
}

// A node that has just started may hear of its server before it has read its own record.
TEST_F(ServerRegistryFollowsReports, ALeaveBeforeTheStoredReportIsReadHolds) {
  m_registry.OnLeave("a", std::nullopt);
  m_registry.Restore(ReportOf("a", 100, 6), 0);
  EXPECT_FALSE(m_registry.IsReady());
  EXPECT_EQ(Report(ReportOf("a", 100, 7)), ReportOutcome::kStale);
}

TEST_F(ServerRegistryFollowsReports, ALeaveWithAStartTimeBeforeTheStoredReportIsReadHolds) {
  m_registry.OnLeave("a", 100);
  m_registry.Restore(ReportOf("a", 100, 6), 0);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, ALateReportBeforeTheStoredLeaveIsReadDoesNotUndoIt) {
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kChanged);
  m_registry.Restore(ReportOf("a", 100, 6, ServerState::kLeft), 0);
  EXPECT_FALSE(m_registry.IsReady());
  EXPECT_EQ(Report(ReportOf("a", 100, 7)), ReportOutcome::kStale);
}

TEST_F(ServerRegistryFollowsReports, ALateReportBeforeTheStoredDrainIsReadDoesNotUndoIt) {
  Report(ReportOf("a", 100, 5));
  m_registry.Restore(ReportOf("a", 100, 6, ServerState::kDraining), 0);
  EXPECT_FALSE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, AReportBeforeTheStoredOneIsReadIsNotUndoneByIt) {
  Report(ReportOf("a", 100, 7, ServerState::kDraining));
  m_registry.Restore(ReportOf("a", 100, 6), 0);
  EXPECT_FALSE(m_registry.IsReady());
  Report(ReportOf("b", 200, 1));
  m_registry.Restore(ReportOf("a", 100, 6, ServerState::kLeft), 0);
  EXPECT_EQ(m_registry.current()->report.lifetime.id, "b");
  EXPECT_TRUE(m_registry.IsReady());
}

TEST_F(ServerRegistryFollowsReports, AServerKnownFromStorageOnlyIsMarkedUntilItReports) {
  m_registry.Restore(ReportOf("a", 100, 6), 0);
  EXPECT_TRUE(m_registry.current()->is_restored);
  EXPECT_EQ(Report(ReportOf("a", 100, 6)), ReportOutcome::kStale);
  EXPECT_TRUE(m_registry.current()->is_restored);
  EXPECT_EQ(Report(ReportOf("a", 100, 7)), ReportOutcome::kRefreshed);
  EXPECT_FALSE(m_registry.current()->is_restored);
}

TEST_F(ServerRegistryFollowsReports, AServerFoundToBeAnotherOneIsForgotten) {
  Report(ReportOf("a", 100, 4));
  m_registry.RejectLifetime({"a", 100});
  EXPECT_FALSE(m_registry.IsReady());
  EXPECT_EQ(Report(ReportOf("a", 100, 5)), ReportOutcome::kStale);
  EXPECT_EQ(Report(ReportOf("b", 200, 1)), ReportOutcome::kChanged);
}

}  // namespace
}  // namespace guavatrail
