// Guards the path of a request over nodes on the users' platform: what a node believes of
// configuration and servers, and what it tells callers, the platform and the server beside it.
#include "endpoint_record.h"
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

class MeshNodeTest : public MeshFixture {
 protected:
  void StartPair() {
    m_entry = &AddVm("front");
    m_serving = &AddVm("catalogo");
    PutConfig(7, "catalogo");
    ASSERT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
    ASSERT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
    m_serving->requests.clear();
  }

  // Time within which all nodes know a new server.
  static constexpr std::chrono::milliseconds kEndpointNews{600};
  // Time after the stop signal from which a node hands its server no new work.
  static constexpr std::chrono::milliseconds kGateClosedAfterStop{2'000};

  Vm* m_entry = nullptr;
  Vm* m_serving = nullptr;
};

TEST_F(MeshNodeTest, ANodeWithoutAConfigurationIsNotReadyAndRefuses) {
  Vm& machine = AddVm("catalogo");
  EXPECT_FALSE(IsReady(machine));
  auto answer = Call(machine, "/parts/1", "1");
  EXPECT_EQ(answer->status(), 503);
  EXPECT_NE(answer->header("Retry-After"), "");
  PutConfig(7, "catalogo");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return IsReady(machine); }));
}

TEST_F(MeshNodeTest, ARequestReachesTheServerAndItsAnswerTheCaller) {
  StartPair();
  auto answer = Call(*m_entry, "/parts/1?a=b", "id-1");
  EXPECT_EQ(answer->status(), 200);
  EXPECT_EQ(answer->body(), "done");
  EXPECT_EQ(answer->header("X-Response-Stamp"), "stamp");
  EXPECT_EQ(answer->header("X-Guavatrail-Outcome"), "");
  ASSERT_EQ(m_serving->requests.size(), 1U);
  const std::string& request = m_serving->requests[0];
  EXPECT_TRUE(request.starts_with("GET /parts/1?a=b HTTP/1.1\r\n"));
  EXPECT_EQ(HeaderIn(request, "X-Request-Id"), "id-1");
  EXPECT_EQ(HeaderIn(request, "X-Caller-Service"), "front");
  EXPECT_EQ(HeaderIn(request, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(HeaderIn(request, "Host"), "shop.example");
  int64_t left_ms = std::stoll(HeaderIn(request, "X-Deadline-Ms"));
  EXPECT_GT(left_ms, 1500);
  EXPECT_LE(left_ms, 2000);
}

TEST_F(MeshNodeTest, ACallerCannotNameItsOwnServiceOrServer) {
  StartPair();
  SendAndWait(m_entry->settings.listen.caller_port, "GET", "/parts/1",
              CallHeaders("1") + "X-Caller-Service: kassa\r\nX-Expect-Instance: i-9\r\n");
  ASSERT_EQ(m_serving->requests.size(), 1U);
  EXPECT_EQ(HeaderIn(m_serving->requests[0], "X-Caller-Service"), "front");
  EXPECT_EQ(HeaderIn(m_serving->requests[0], "X-Expect-Instance"), "i-1");
}

// Guards against calls to the store that grow with the number of nodes where one node could tell
// the others, and against a follower that misses what its source tells.
TEST_F(MeshNodeTest, FollowersLearnOfServersWithoutTheStore) {
  StartPair();
  for (int i = 0; i < 4; ++i) AddVm("manuais");
  // Roles settle within a second.
  for (size_t i = 2; i < m_vms.size(); ++i) {
    ASSERT_EQ(SendHeartbeat(*m_vms[i], "i-m" + std::to_string(i)), 200);
  }
  RunFor(m_loop, std::chrono::milliseconds(2'500));
  int before = m_store.calls();
  PutConfig(8, "garantias");
  Vm& joined = AddVm("garantias");
  ASSERT_EQ(SendHeartbeat(joined, "i-g"), 200);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
  EXPECT_FALSE(joined.requests.empty());
  RunFor(m_loop, std::chrono::milliseconds(1'000));
  // The one watcher's watches, the new node's reading and record, and what was under way.
  EXPECT_LE(m_store.calls() - before, 12);
}

// Guards against a node that needs the store for what its neighbours know.
TEST_F(MeshNodeTest, ARestartedNodeHasTheConfigurationFromAnotherOne) {
  StartPair();
  for (int i = 0; i < 2; ++i) AddVm("manuais");
  for (size_t i = 2; i < m_vms.size(); ++i) {
    ASSERT_EQ(SendHeartbeat(*m_vms[i], "i-m" + std::to_string(i)), 200);
  }
  RunFor(m_loop, std::chrono::milliseconds(2'500));
  int readings = 0;
  for (auto& machine : m_vms) {
    machine->node.reset();
    RunFor(m_loop, std::chrono::milliseconds(200));
    int before = m_store.list_calls("config");
    StartNode(*machine);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(*machine); }));
    readings += m_store.list_calls("config") - before;
    RunFor(m_loop, std::chrono::milliseconds(500));
  }
  // The watcher reads it for itself; the others take over from it for a moment at most.
  EXPECT_LE(readings, 2);
}

TEST_F(MeshNodeTest, AnOlderConfigurationIsNotTakenUp) {
  StartPair();
  PutConfig(5, "elsewhere");
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, AnUnreadableConfigurationLeavesTheLastOneInForce) {
  StartPair();
  m_store.Put("config", "main", {{"version", 9}, {"listeners", "?"}});
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, AChangeIsInForceWithinTwoSeconds) {
  StartPair();
  Vm& other = AddVm("manuais");
  ASSERT_EQ(SendHeartbeat(other, "i-2"), 200);
  RunFor(m_loop, std::chrono::milliseconds(100));
  PutConfig(8, "manuais");
  EXPECT_TRUE(RunUntil(
      m_loop,
      [&] {
        Call(*m_entry, "/parts/1", "1");
        return !other.requests.empty();
      },
      std::chrono::milliseconds(2000)));
}

TEST_F(MeshNodeTest, ADrainingServerGetsNoNewWorkOnceAcknowledged) {
  StartPair();
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "draining"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  m_serving->sequence -= 2;
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "ready"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "2")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

TEST_F(MeshNodeTest, ALeaveIsAcknowledgedWhileTheStoreIsAway) {
  StartPair();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

TEST_F(MeshNodeTest, ARestartedNodeKnowsThatItsServerHasLeft) {
  StartPair();
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a server that left while its restarted node had not yet read what it knew of it.
TEST_F(MeshNodeTest, ALeaveThatComesBeforeTheRecordIsReadHolds) {
  StartPair();
  m_serving->node.reset();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  StartNode(*m_serving);
  auto leave = Send(m_serving->settings.listen.control_port, "DELETE", "/guavatrail/instances/i-1");
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_FALSE(leave->HasCompleteAnswer()) << "acknowledged before it could be stored";
  m_store.SetMode(FakeStore::Mode::kHealthy);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return leave->HasCompleteAnswer(); }));
  EXPECT_EQ(leave->status(), 200);
  RunFor(m_loop, std::chrono::milliseconds(1'500));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a late report that reaches a restarted node while the store is away, and brings a
// server back that has left.
TEST_F(MeshNodeTest, AStoredLeaveHoldsThoughALateReportCameFirst) {
  StartPair();
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node.reset();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  StartNode(*m_serving);
  SendHeartbeat(*m_serving, "i-1");
  RunFor(m_loop, std::chrono::milliseconds(1'200));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  RunFor(m_loop, std::chrono::milliseconds(1'500));
  m_serving->requests.clear();
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a leave that was acknowledged while the store was away, and forgotten with the
// process: a server that says nothing any more is not served for longer than a moment.
TEST_F(MeshNodeTest, ARestoredServerThatStaysSilentIsTakenOutOfUse) {
  StartPair();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node.reset();
  m_store.SetMode(FakeStore::Mode::kHealthy);
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(2'500));
  m_serving->requests.clear();
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  // A living server is back with its next report.
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-2", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

// The same where the record could be read only after reports had begun to be believed.
TEST_F(MeshNodeTest, ARestoredServerThatStaysSilentIsTakenOutOfUseAlsoWhenItsRecordIsReadLate) {
  StartPair();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(1'500));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  RunFor(m_loop, std::chrono::milliseconds(3'500));
  m_serving->requests.clear();
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a drain by an operator that ends with the node's process.
TEST_F(MeshNodeTest, AnOperatorsDrainHoldsOverARestartOfTheNode) {
  StartPair();
  ASSERT_EQ(SendAndWait(m_serving->settings.listen.admin_port, "POST", "/v1/drain")->status(), 202);
  RunFor(m_loop, std::chrono::milliseconds(200));
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  // The server's next start is in use again.
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

TEST_F(MeshNodeTest, ARestartedNodeServesAgainWithoutAReport) {
  StartPair();
  m_serving->node.reset();
  StartNode(*m_serving);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

TEST_F(MeshNodeTest, AForgedReportChangesNothing) {
  StartPair();
  std::string path = "/guavatrail/instances/i-9";
  EXPECT_EQ(
      SendAndWait(m_serving->settings.listen.control_port, "PUT", path, "", "\x81?")->status(),
      400);
  EXPECT_EQ(SendAndWait(m_serving->settings.listen.control_port, "PUT", path, "",
                        R"({"service":"manuais","address":"127.0.0.1:1","state":"ready","seq":1})")
                ->status(),
            200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, AnOrderThatMayHaveRunIsNotSentAgainAndNotCalledRefused) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointNews);
  auto cut = [](FakeConnection& c, const std::string&) { c.Close(); };
  m_serving->handler = cut;
  second.handler = cut;
  auto answer = SendAndWait(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                            CallHeaders("o-1"), "one spring");
  EXPECT_EQ(answer->status(), 502);
  EXPECT_EQ(m_serving->requests.size() + second.requests.size(), 1U);
}

// Guards against a failure that a second server could have answered, and against more servers than
// the route's attempts.
TEST_F(MeshNodeTest, ALookupThatAServerBreaksOffGoesToAnotherOne) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointNews);
  auto garbled = [](FakeConnection& c, const std::string&) {
    c.Send("no answer\r\n\r\n");
    c.Close();
  };
  m_serving->handler = garbled;
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(Call(*m_entry, "/parts/1", "l-" + std::to_string(i))->status(), 200) << i;
  }
  second.handler = garbled;
  m_serving->requests.clear();
  second.requests.clear();
  EXPECT_EQ(Call(*m_entry, "/parts/1", "last")->status(), 502);
  EXPECT_LE(m_serving->requests.size() + second.requests.size(), 2U);
}

TEST_F(MeshNodeTest, ARefusalOfAServerSendsAnOrderElsewhere) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointNews);
  m_serving->handler = [](FakeConnection& c, const std::string& request) {
    std::string id = "X-Request-Id: " + HeaderIn(request, "X-Request-Id") + "\r\n";
    c.Send(MakeAnswer(503, "", "X-Not-Run: 1\r\n" + id));
  };
  for (int i = 0; i < 8; ++i) {
    auto answer = SendAndWait(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                              CallHeaders("o-" + std::to_string(i)), "one spring");
    EXPECT_EQ(answer->status(), 200) << i;
  }
  EXPECT_EQ(second.requests.size(), 8U);
}

// Guards against a second copy of a refusal that is taken for the answer to the next request, which
// has run: its caller would send the order once more.
TEST_F(MeshNodeTest, ARefusalThatNamesNoRequestIsNotBelievedOnAUsedConnection) {
  StartPair();
  int orders = 0;
  m_serving->handler = [&](FakeConnection& c, const std::string& request) {
    if (!request.starts_with("POST")) {
      c.Send(ServerAnswer(request, "done"));
      return;
    }
    ++orders;
    c.Send(MakeAnswer(503, "", "X-Not-Run: 1\r\n"));
  };
  ASSERT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
  auto answer = SendAndWait(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                            CallHeaders("o-1"), "one spring");
  EXPECT_EQ(orders, 1);
  EXPECT_EQ(answer->status(), 502);
}

TEST_F(MeshNodeTest, ACallerThatLeavesCancelsTheWork) {
  StartPair();
  FakeConnection* connection = nullptr;
  m_serving->handler = [&](FakeConnection& c, const std::string&) { connection = &c; };
  auto client = Send(m_entry->settings.listen.caller_port, "GET", "/parts/1", CallHeaders("1"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  client->Close();
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return connection->peer_closed(); }, std::chrono::milliseconds(500)));
}

TEST_F(MeshNodeTest, ARequestHasItsFinalAnswerAtItsTimeout) {
  StartPair();
  PutConfig(8, "catalogo", 0.3);
  RunFor(m_loop, std::chrono::milliseconds(100));
  m_serving->handler = [](FakeConnection&, const std::string&) {};
  auto start = std::chrono::steady_clock::now();
  auto answer = Call(*m_entry, "/parts/1", "1");
  EXPECT_EQ(answer->status(), 504);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(700));
}

TEST_F(MeshNodeTest, AStoppingNodeSaysSoAndFinishesWhatRuns) {
  StartPair();
  PutConfig(8, "catalogo", 5);
  RunFor(m_loop, std::chrono::milliseconds(1'000));
  FakeConnection* connection = nullptr;
  std::string request;
  m_serving->handler = [&](FakeConnection& c, const std::string& text) {
    connection = &c;
    request = text;
  };
  auto client = Send(m_entry->settings.listen.caller_port, "GET", "/parts/1",
                     "X-Request-Id: 1\r\nX-Deadline-Ms: 5000\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  m_serving->node->Stop();
  EXPECT_FALSE(IsReady(*m_serving));
  RunFor(m_loop, kGateClosedAfterStop);
  // A heartbeat must not bring the node back into use.
  SendHeartbeat(*m_serving, "i-1");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "2")->status(), 503);
  connection->Send(ServerAnswer(request, "done"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->status(), 200);
}

// Guards against a request that is accepted after the node was found idle, and cut off when the
// process ends a moment later.
TEST_F(MeshNodeTest, AStoppingNodeRefusesCallersBeforeItEnds) {
  StartPair();
  m_entry->node->Stop();
  // The time in which callers still come, and one look whether the node is idle.
  RunFor(m_loop, std::chrono::milliseconds(2'720));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "late")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a planned stop that takes a living server out of use from its first moment, and
// against work that is taken too late to finish before the process ends.
TEST_F(MeshNodeTest, AStoppingNodeHasWorkDoneForOthersAtFirst) {
  StartPair();
  m_serving->node->Stop();
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    served += Call(*m_entry, "/parts/1", std::to_string(i))->status() == 200 ? 1 : 0;
    RunFor(m_loop, std::chrono::milliseconds(100));
  }
  EXPECT_EQ(served, 10);
  RunFor(m_loop, kGateClosedAfterStop - std::chrono::milliseconds(1'000));
  m_serving->requests.clear();
  EXPECT_EQ(Call(*m_entry, "/parts/1", "late")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against work for a server that leaves while the node beside it stops.
TEST_F(MeshNodeTest, AServerThatLeavesDuringAStopGetsNoNewWork) {
  StartPair();
  m_serving->node->Stop();
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-1", "draining"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a node that follows a watcher which no longer hears from the store.
TEST_F(MeshNodeTest, AFollowerOfACutOffWatcherTurnsElsewhere) {
  std::vector<Vm*> machines;
  for (int i = 0; i < 3; ++i) {
    machines.push_back(&AddVm("catalogo"));
    ASSERT_EQ(SendHeartbeat(*machines.back(), "i-" + std::to_string(i)), 200);
  }
  PutConfig(7, "catalogo");
  for (Vm* machine : machines) ASSERT_TRUE(CallUntil(*machine, "/parts/1", 200));
  // One watcher is left once all have read the list of endpoints.
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_store.OpenWatches("config") == 1; }, std::chrono::milliseconds(4000)));
  m_store.BlackholeWatches("config");
  PutConfig(8, "gone");
  for (Vm* machine : machines) {
    EXPECT_TRUE(RunUntil(
        m_loop, [&] { return Call(*machine, "/parts/1", "1")->status() == 503; },
        std::chrono::milliseconds(2500)));
  }
}

// Guards against a drain that is accepted and undone by the next heartbeat.
TEST_F(MeshNodeTest, ADrainedServerGetsNoNewWork) {
  StartPair();
  SendAndWait(m_serving->settings.listen.admin_port, "POST", "/v1/drain");
  SendHeartbeat(*m_serving, "i-1");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

TEST_F(MeshNodeTest, ALapsedEntryIsWrittenAgain) {
  StartPair();
  m_store.Remove(platform::kEndpointKind, "node-2");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_store.Find(platform::kEndpointKind, "node-2") != nullptr; },
      std::chrono::milliseconds(2000)));
}

}  // namespace
}  // namespace guavatrail
