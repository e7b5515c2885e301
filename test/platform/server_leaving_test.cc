// Checks that a backend server which states in its answers that it is leaving gets no new work from
// a node that has relayed such an answer. Guards against nodes that ignore the statement, or forget
// it because of a later report, a restart or an outage of the store.
#include "limit_fixture.h"

namespace guavatrail {
namespace {

using std::chrono::milliseconds;

class ServerLeavingTest : public LimitFixture {
 protected:
  void StartServer() {
    m_serving = &AddServer("i-1", m_backend);
    StartEntries();
    RunFor(m_loop, milliseconds(600));
  }

  // Both entry nodes relay an answer of the server that is leaving.
  void StateLeave() {
    m_backend.notice = Leaving();
    auto second =
        Send(m_entries[1]->settings.listen.caller_port, "GET", "/parts/1", CallHeaders("leave-2"));
    EXPECT_EQ(Call(*m_entries[0], "/parts/1", "leave-1")->status(), 200);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return second->HasCompleteAnswer(); }));
  }

  // Sends requests from `entry` and returns how many reach the server.
  size_t CountArrivals(Vm& entry) {
    size_t before = m_backend.arrival_us.size();
    for (int i = 0; i < 5; ++i) {
      Call(entry, "/parts/1", "after-" + std::to_string(m_next++));
      RunFor(m_loop, milliseconds(20));
    }
    return m_backend.arrival_us.size() - before;
  }

  // The node beside the server starts anew, the store is back, and the server reports as ready.
  void ExpectNoWorkAfterARestart() {
    m_serving->node.reset();
    StartNode(*m_serving);
    m_store.SetMode(FakeStore::Mode::kHealthy);
    RunFor(m_loop, milliseconds(300));
    EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
    RunFor(m_loop, milliseconds(100));
    EXPECT_EQ(CountArrivals(*m_entries[0]), 0U);
    EXPECT_EQ(CountArrivals(*m_entries[1]), 0U);
  }

  Backend m_backend;
  Vm* m_serving = nullptr;
  int m_next = 0;
};

TEST_F(ServerLeavingTest, GetsNoNewWork) {
  StartServer();
  StateLeave();
  EXPECT_EQ(CountArrivals(*m_entries[0]), 0U);
  auto answer = Call(*m_entries[0], "/parts/1", "last");
  EXPECT_EQ(answer->status(), 503);
  EXPECT_NE(answer->header("Retry-After"), "");
}

// The server never reports that it drains.
TEST_F(ServerLeavingTest, LaterReportDoesNotReturnItToService) {
  StartServer();
  StateLeave();
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_EQ(CountArrivals(*m_entries[0]), 0U);
}

TEST_F(ServerLeavingTest, StatementSurvivesARestartOfTheServingNode) {
  StartServer();
  StateLeave();
  RunFor(m_loop, milliseconds(200));
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, milliseconds(300));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  // An entry node that has not been told gets no way around it either.
  Vm& other = AddVm("front");
  CallUntil(other, "/parts/1", 503);
  EXPECT_EQ(CountArrivals(other), 0U);
  EXPECT_EQ(CountArrivals(*m_entries[0]), 0U);
}

// The statement could not be stored, and the new process knows the server as ready.
TEST_F(ServerLeavingTest, StatementSurvivesARestartDuringAStoreOutage) {
  StartServer();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  StateLeave();
  ExpectNoWorkAfterARestart();
}

// The leave was acknowledged while the store was away and could not be stored. The new process
// reads a record that is older, and gets a heartbeat that was sent before the leave.
TEST_F(ServerLeavingTest, ReportedLeaveSurvivesARestartDuringAStoreOutage) {
  StartServer();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  ASSERT_EQ(Deregister(*m_serving, "i-1"), 200);
  for (Vm* entry : m_entries) EXPECT_EQ(Call(*entry, "/parts/1", "refused")->status(), 503);
  ExpectNoWorkAfterARestart();
}

// The leave was acknowledged while the store was away, so nothing has stored it, and nobody has
// sent a request since, so no entry node knows it. The server still serves.
class UnstoredLeaveTest : public ServerLeavingTest {
 protected:
  void LeaveDuringAnOutage() {
    StartServer();
    m_store.SetMode(FakeStore::Mode::kUnavailable);
    ASSERT_EQ(Deregister(*m_serving, "i-1"), 200);
    m_serving->health_handler = [](FakeConnection& c, const std::string&) {
      c.Send(HealthAnswer(503, "i-1"));
    };
  }

  // The store is back, the node starts anew, and a report that was sent before the leave arrives.
  void RestartAndDeliverLateReport() {
    m_serving->node.reset();
    m_store.SetMode(FakeStore::Mode::kHealthy);
    StartNode(*m_serving);
    RunFor(m_loop, milliseconds(300));
    EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
    RunFor(m_loop, milliseconds(300));
  }

  void ExpectNoWork() {
    EXPECT_EQ(CountArrivals(*m_entries[0]), 0U);
    EXPECT_EQ(CountArrivals(*m_entries[1]), 0U);
  }
};

TEST_F(UnstoredLeaveTest, SurvivesAKillOfTheNode) {
  LeaveDuringAnOutage();
  RestartAndDeliverLateReport();
  ExpectNoWork();
}

TEST_F(UnstoredLeaveTest, SurvivesAPlannedStopOfTheNode) {
  LeaveDuringAnOutage();
  m_serving->node->Stop();
  RunFor(m_loop, std::chrono::seconds(4));
  RestartAndDeliverLateReport();
  ExpectNoWork();
}

// The server answers health checks with success, and states its leave in the header only.
TEST_F(UnstoredLeaveTest, IsLearnedFromTheHeaderOfAHealthCheck) {
  LeaveDuringAnOutage();
  m_serving->health_handler = [](FakeConnection& c, const std::string&) {
    c.Send(HealthAnswer(200, "i-1", Leaving()));
  };
  RestartAndDeliverLateReport();
  ExpectNoWork();
}

// Reports go on arriving late, so the check is repeated.
TEST_F(UnstoredLeaveTest, HoldsThroughFurtherLateReports) {
  LeaveDuringAnOutage();
  RestartAndDeliverLateReport();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
    RunFor(m_loop, milliseconds(300));
  }
  ExpectNoWork();
}

// The server has closed its port, so nothing answers the check.
TEST_F(UnstoredLeaveTest, HoldsOnceTheServerHasClosedItsPort) {
  LeaveDuringAnOutage();
  m_serving->server->Crash();
  RestartAndDeliverLateReport();
  m_serving->server->Restart();
  ExpectNoWork();
}

// Another server has started at the address and has not reported yet.
TEST_F(UnstoredLeaveTest, HoldsOnceAnotherServerAnswersAtTheAddress) {
  LeaveDuringAnOutage();
  m_serving->health_handler = [](FakeConnection& c, const std::string&) {
    c.Send(HealthAnswer(200, "i-2"));
  };
  RestartAndDeliverLateReport();
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  ExpectNoWork();
  m_serving->sequence = 0;
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-2", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entries[0], "/parts/1", 200));
}

// A server whose first check gets no answer gets work after its next report.
TEST_F(UnstoredLeaveTest, CheckWithoutAnswerIsRepeated) {
  StartServer();
  m_serving->server->Crash();
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, milliseconds(300));
  m_serving->server->Restart();
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_TRUE(CallUntil(*m_entries[0], "/parts/1", 200));
}

// The node is stopped and started alone while its server, which has left, still serves. A report
// that was sent before the leave arrives at the new process.
TEST_F(ServerLeavingTest, ReportedLeaveSurvivesAPlannedStop) {
  StartServer();
  ASSERT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node->Stop();
  RunFor(m_loop, std::chrono::seconds(4));
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, milliseconds(300));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  Vm& other = AddVm("front");
  CallUntil(other, "/parts/1", 503);
  EXPECT_EQ(CountArrivals(other), 0U);
}

TEST_F(ServerLeavingTest, WorkGoesToTheOtherServer) {
  Backend other;
  AddServer("i-2", other);
  StartServer();
  m_backend.notice = Leaving();
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(Call(*m_entries[0], "/parts/1", "both-" + std::to_string(i))->status(), 200) << i;
  }
  EXPECT_LE(m_backend.arrival_us.size(), 5U);
}

TEST_F(ServerLeavingTest, NextLifetimeUnderTheSameIdGetsWork) {
  StartServer();
  StateLeave();
  m_backend.notice = "";
  m_serving->sequence = 0;
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-1", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entries[0], "/parts/1", 200));
}

// The answer of the previous lifetime is read after the first report of the next one, as happens
// when a node has been suspended.
TEST_F(ServerLeavingTest, LateStatementOfThePreviousLifetimeIsIgnored) {
  StartServer();
  FakeConnection* connection = nullptr;
  std::string request;
  auto handler = m_serving->handler;
  m_serving->handler = [&](FakeConnection& c, const std::string& text) {
    connection = &c;
    request = text;
  };
  auto running =
      Send(m_entries[0]->settings.listen.caller_port, "GET", "/parts/1", CallHeaders("running"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  m_serving->sequence = 0;
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-1", "ready", 2000), 200);
  m_serving->handler = handler;
  connection->Send(MakeAnswer(200, "done",
                              "X-Request-Id: " + HeaderIn(request, "X-Request-Id") +
                                  "\r\nX-Response-Stamp: stamp\r\n" + Leaving()));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return running->HasCompleteAnswer(); }));
  EXPECT_EQ(running->status(), 200);
  EXPECT_TRUE(CallUntil(*m_entries[0], "/parts/1", 200));
}

}  // namespace
}  // namespace guavatrail
