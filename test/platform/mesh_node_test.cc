// Tests nodes on the users' platform end to end: the configuration and endpoints that they apply,
// and their answers to callers, to the platform and to the backend server.
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

  // Time in which all nodes learn of a new server.
  static constexpr std::chrono::milliseconds kEndpointPropagation{600};
  // Time after the stop signal from which the node refuses new work for its server.
  static constexpr std::chrono::milliseconds kGateClosedAfterStop{2'000};

  Vm* m_entry = nullptr;
  Vm* m_serving = nullptr;
};

TEST_F(MeshNodeTest, NodeWithoutConfigIsNotReadyAndRefusesCalls) {
  Vm& vm = AddVm("catalogo");
  EXPECT_FALSE(IsReady(vm));
  auto answer = Call(vm, "/parts/1", "1");
  EXPECT_EQ(answer->status(), 503);
  EXPECT_NE(answer->header("Retry-After"), "");
  PutConfig(7, "catalogo");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return IsReady(vm); }));
}

TEST_F(MeshNodeTest, ForwardsRequestAndAnswer) {
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
  int64_t remaining_ms = std::stoll(HeaderIn(request, "X-Deadline-Ms"));
  EXPECT_GT(remaining_ms, 1500);
  EXPECT_LE(remaining_ms, 2000);
}

TEST_F(MeshNodeTest, CallerCannotSetServiceOrServerHeaders) {
  StartPair();
  SendAndWait(m_entry->settings.listen.caller_port, "GET", "/parts/1",
              CallHeaders("1") + "X-Caller-Service: kassa\r\nX-Expect-Instance: i-9\r\n");
  ASSERT_EQ(m_serving->requests.size(), 1U);
  EXPECT_EQ(HeaderIn(m_serving->requests[0], "X-Caller-Service"), "front");
  EXPECT_EQ(HeaderIn(m_serving->requests[0], "X-Expect-Instance"), "i-1");
}

// Guards against store calls by every node where one node can pass the changes on, and against a
// follower that misses changes from its source.
TEST_F(MeshNodeTest, FollowersReceiveEndpointsFromOtherNodes) {
  StartPair();
  for (int i = 0; i < 4; ++i) AddVm("manuais");
  // The nodes decide within a second which of them watches the store.
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
  // Expected are the watches of the one watcher, the list and the record of the new node, and calls
  // that were in flight.
  EXPECT_LE(m_store.calls() - before, 12);
}

// Guards against a restarted node that reads the store although other nodes have the configuration.
TEST_F(MeshNodeTest, RestartedNodeGetsConfigFromAnotherNode) {
  StartPair();
  for (int i = 0; i < 2; ++i) AddVm("manuais");
  for (size_t i = 2; i < m_vms.size(); ++i) {
    ASSERT_EQ(SendHeartbeat(*m_vms[i], "i-m" + std::to_string(i)), 200);
  }
  RunFor(m_loop, std::chrono::milliseconds(2'500));
  int reads = 0;
  for (auto& vm : m_vms) {
    vm->node.reset();
    RunFor(m_loop, std::chrono::milliseconds(200));
    int before = m_store.list_calls("config");
    StartNode(*vm);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(*vm); }));
    reads += m_store.list_calls("config") - before;
    RunFor(m_loop, std::chrono::milliseconds(500));
  }
  // The watcher reads it from the store; another node may replace the watcher during its restart.
  EXPECT_LE(reads, 2);
}

TEST_F(MeshNodeTest, OlderConfigIsIgnored) {
  StartPair();
  PutConfig(5, "elsewhere");
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, MalformedConfigLeavesTheLastOneInForce) {
  StartPair();
  m_store.Put("config", "main", {{"version", 9}, {"listeners", "?"}});
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, ChangeIsInForceWithinTwoSeconds) {
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

TEST_F(MeshNodeTest, DrainingServerGetsNoNewWorkOnceAcknowledged) {
  StartPair();
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "draining"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  m_serving->sequence -= 2;
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "ready"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "2")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

TEST_F(MeshNodeTest, LeaveIsAcknowledgedDuringAStoreOutage) {
  StartPair();
  m_store.SetMode(FakeStore::Mode::kNoAnswer);
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

TEST_F(MeshNodeTest, RestartedNodeKnowsThatItsServerHasLeft) {
  StartPair();
  EXPECT_EQ(Deregister(*m_serving, "i-1"), 200);
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a leave that is lost because it arrives before the restarted node has read its
// stored record.
TEST_F(MeshNodeTest, LeaveBeforeTheRecordIsReadTakesEffect) {
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

// Guards against a late report that reaches a restarted node during a store outage and returns a
// server that has left to service.
TEST_F(MeshNodeTest, StoredLeaveOverridesALateReport) {
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

// Guards against requests to a server whose leave was acknowledged during a store outage and lost
// with the process: a restored server without reports gets work for a short time only.
TEST_F(MeshNodeTest, SilentRestoredServerGetsNoNewWork) {
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
  // A running server returns to service with its next report.
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-2", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

// The same if the record is read only after the node has started to apply reports without it.
TEST_F(MeshNodeTest, SilentRestoredServerGetsNoNewWorkIfItsRecordIsReadLate) {
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

// Guards against an operator's drain that is lost when the node restarts.
TEST_F(MeshNodeTest, OperatorDrainSurvivesANodeRestart) {
  StartPair();
  ASSERT_EQ(SendAndWait(m_serving->settings.listen.admin_port, "POST", "/v1/drain")->status(), 202);
  RunFor(m_loop, std::chrono::milliseconds(200));
  m_serving->node.reset();
  StartNode(*m_serving);
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  // The drain ends when the server restarts.
  EXPECT_EQ(SendHeartbeat(*m_serving, "i-1", "ready", 2000), 200);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

TEST_F(MeshNodeTest, RestartedNodeServesWithoutANewReport) {
  StartPair();
  m_serving->node.reset();
  StartNode(*m_serving);
  EXPECT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
}

TEST_F(MeshNodeTest, ForgedReportIsIgnored) {
  StartPair();
  std::string path = "/guavatrail/instances/i-9";
  EXPECT_EQ(
      SendAndWait(m_serving->settings.listen.control_port, "PUT", path, "", "\x81?")->status(),
      400);
  EXPECT_EQ(
      SendAndWait(m_serving->settings.listen.control_port, "PUT", path, "",
                  R"({"service":"manuais","address":"127.0.0.1:1","zone":"braga","version":"v1",
                                "slots":9,"state":"ready","cold-left-s":0,"seq":1})")
          ->status(),
      200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
}

TEST_F(MeshNodeTest, OrderThatMayHaveRunIsNeitherRetriedNorReportedAsRefused) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointPropagation);
  auto cut = [](FakeConnection& c, const std::string&) { c.Close(); };
  m_serving->handler = cut;
  second.handler = cut;
  auto answer = SendAndWait(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                            CallHeaders("o-1"), "one spring");
  EXPECT_EQ(answer->status(), 502);
  EXPECT_EQ(m_serving->requests.size() + second.requests.size(), 1U);
}

// Guards against failing a lookup that another server could answer, and against trying more servers
// than the attempts of the route.
TEST_F(MeshNodeTest, FailedLookupIsRetriedOnAnotherServer) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointPropagation);
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

TEST_F(MeshNodeTest, OrderRefusedByAServerIsSentToAnother) {
  StartPair();
  Vm& second = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(second, "i-2"), 200);
  RunFor(m_loop, kEndpointPropagation);
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

// Guards against a duplicate of a refusal that is taken for the answer to the next request on the
// connection. That request has run, and its caller would repeat the order.
TEST_F(MeshNodeTest, RefusalWithoutRequestIdIsIgnoredOnAReusedConnection) {
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

TEST_F(MeshNodeTest, CallerDisconnectCancelsTheRequest) {
  StartPair();
  FakeConnection* connection = nullptr;
  m_serving->handler = [&](FakeConnection& c, const std::string&) { connection = &c; };
  auto client = Send(m_entry->settings.listen.caller_port, "GET", "/parts/1", CallHeaders("1"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  client->Close();
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return connection->peer_closed(); }, std::chrono::milliseconds(500)));
}

TEST_F(MeshNodeTest, RequestIsAnsweredAtItsTimeout) {
  StartPair();
  PutConfig(8, "catalogo", 0.3);
  RunFor(m_loop, std::chrono::milliseconds(100));
  m_serving->handler = [](FakeConnection&, const std::string&) {};
  auto start = std::chrono::steady_clock::now();
  auto answer = Call(*m_entry, "/parts/1", "1");
  EXPECT_EQ(answer->status(), 504);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(700));
}

TEST_F(MeshNodeTest, StoppingNodeIsNotReadyAndFinishesRunningRequests) {
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
  // A heartbeat must not open the gate again.
  SendHeartbeat(*m_serving, "i-1");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "2")->status(), 503);
  connection->Send(ServerAnswer(request, "done"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->status(), 200);
}

// Guards against a request that is accepted after the node has been found idle and is aborted when
// the process ends.
TEST_F(MeshNodeTest, StoppingNodeRefusesCallersBeforeItExits) {
  StartPair();
  m_entry->node->Stop();
  // The time in which the platform still sends callers, and one interval of the idle check.
  RunFor(m_loop, std::chrono::milliseconds(2'720));
  EXPECT_EQ(Call(*m_entry, "/parts/1", "late")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a stopping node that refuses work for its running server immediately, and against
// one that accepts work too late to finish it before the process ends.
TEST_F(MeshNodeTest, StoppingNodeAcceptsWorkFromOtherNodesAtFirst) {
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

// Guards against new work for a server that leaves while its node is stopping.
TEST_F(MeshNodeTest, ServerThatLeavesDuringAStopGetsNoNewWork) {
  StartPair();
  m_serving->node->Stop();
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-1", "draining"), 200);
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a node that keeps following a watcher that has lost its connection to the store.
TEST_F(MeshNodeTest, FollowerOfADisconnectedWatcherChangesItsSource) {
  std::vector<Vm*> vms;
  for (int i = 0; i < 3; ++i) {
    vms.push_back(&AddVm("catalogo"));
    ASSERT_EQ(SendHeartbeat(*vms.back(), "i-" + std::to_string(i)), 200);
  }
  PutConfig(7, "catalogo");
  for (Vm* vm : vms) ASSERT_TRUE(CallUntil(*vm, "/parts/1", 200));
  // Once all nodes have the list of endpoints, only one of them watches the store.
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_store.OpenWatches("config") == 1; }, std::chrono::milliseconds(4000)));
  m_store.BlackholeWatches("config");
  PutConfig(8, "gone");
  for (Vm* vm : vms) {
    EXPECT_TRUE(RunUntil(
        m_loop, [&] { return Call(*vm, "/parts/1", "1")->status() == 503; },
        std::chrono::milliseconds(2500)));
  }
}

// Guards against an operator's drain that is undone by the next heartbeat.
TEST_F(MeshNodeTest, DrainedServerGetsNoNewWork) {
  StartPair();
  SendAndWait(m_serving->settings.listen.admin_port, "POST", "/v1/drain");
  SendHeartbeat(*m_serving, "i-1");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// Guards against a node that no other node can find because something else has written its record.
TEST_F(MeshNodeTest, UnreadableRecordIsWrittenAgain) {
  PutConfig(1, "catalogo");
  Vm& vm = AddVm("catalogo");
  ASSERT_EQ(SendHeartbeat(vm, "i-1"), 200);
  ASSERT_TRUE(CallUntil(vm, "/parts/1", 200));
  m_store.Put("guavatrail-endpoints", vm.settings.node.name, {{"service", 7}});
  EXPECT_TRUE(RunUntil(m_loop, [&] {
    const auto* record = m_store.Find("guavatrail-endpoints", vm.settings.node.name);
    return record != nullptr && record->contains("server");
  }));
}

TEST_F(MeshNodeTest, RemovedRecordIsWrittenAgain) {
  StartPair();
  m_store.Remove(platform::kEndpointKind, "node-2");
  EXPECT_EQ(Call(*m_entry, "/parts/1", "1")->status(), 200);
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_store.Find(platform::kEndpointKind, "node-2") != nullptr; },
      std::chrono::milliseconds(2000)));
}

}  // namespace
}  // namespace guavatrail
