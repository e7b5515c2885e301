// Checks that work is not sent to a backend server that is leaving or is not the expected one, and
// that outcomes are reported correctly if the server refuses work, fails or responds ambiguously.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class ServingNodeServerChecks : public GuardedServingFixture {
 protected:
  using Client = std::unique_ptr<FakeClient>;

  // Sends request 1, which the server runs in its only slot, and request 2, which waits for it.
  std::pair<Client, Client> SendRunningAndQueued() {
    Client running = Send("GET", "/1", Repeatable("1"));
    EXPECT_TRUE(WaitForRunning(1));
    Client queued = Send("GET", "/2", Repeatable("2"));
    EXPECT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 1; }));
    return {std::move(running), std::move(queued)};
  }
};

TEST_F(ServingNodeServerChecks, RequestsCarryTheServerIdAndNoNodeHeaders) {
  StartGuarded();
  auto client = Send("GET", "/a", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  EXPECT_NE(m_running[0].request.find("X-Expected: server-1\r\n"), std::string::npos);
  EXPECT_NE(m_running[0].request.find("X-Id: 1\r\n"), std::string::npos);
  EXPECT_EQ(m_running[0].request.find("X-Guavatrail-Work"), std::string::npos);
}

TEST_F(ServingNodeServerChecks, RequestForAnotherServiceIsRefused) {
  StartGuarded();
  auto client = SendAndWait("GET", "/a", Repeatable("1") + "X-Guavatrail-Service: catalogo\r\n");
  EXPECT_EQ(client->status(), 503);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(client->header("X-Guavatrail-Reason"), "wrong_service");
  EXPECT_TRUE(m_running.empty());
}

TEST_F(ServingNodeServerChecks, ClosedGateRefusesNewWorkAndFinishesRunningWork) {
  m_slots = 1;
  StartGuarded();
  auto clients = SendRunningAndQueued();
  FakeClient* running = clients.first.get();
  FakeClient* queued = clients.second.get();
  ASSERT_EQ(m_proxy->load().queued, 1);
  m_proxy->CloseGate("draining", std::chrono::milliseconds(50));
  auto late = SendAndWait("GET", "/3", Repeatable("3"));
  EXPECT_EQ(late->header("X-Guavatrail-Reason"), "draining");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return queued->HasCompleteAnswer(); }));
  EXPECT_EQ(queued->header("X-Guavatrail-Outcome"), "not-run");
  AnswerWith(MakeAnswer(200, "done", "X-Id: 1\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return running->HasCompleteAnswer(); }));
  EXPECT_EQ(running->status(), 200);
  EXPECT_EQ(m_server.requests(), 1);
}

// Guards against reports of a server that is leaving which keep its queue open (review/8).
TEST_F(ServingNodeServerChecks, FurtherClosesOfTheGateGiveTheQueueNoMoreTime) {
  m_slots = 1;
  StartGuarded();
  auto clients = SendRunningAndQueued();
  FakeClient* queued = clients.second.get();
  ASSERT_EQ(m_proxy->load().queued, 1);
  for (int i = 0; i < 10; ++i) {
    m_proxy->CloseGate("draining", std::chrono::milliseconds(150));
    RunFor(m_loop, std::chrono::milliseconds(50));
  }
  EXPECT_TRUE(queued->HasCompleteAnswer());
  EXPECT_EQ(queued->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(m_server.requests(), 1);
}

// A gate that was opened again has a queue time of its own when it is closed next.
TEST_F(ServingNodeServerChecks, QueueTimeBeginsAnewOnceTheGateWasOpen) {
  m_slots = 1;
  StartGuarded();
  m_proxy->CloseGate("draining", std::chrono::milliseconds(0));
  m_proxy->OpenGate({.id = "server-1", .started_ms = 1}, m_slots);
  auto clients = SendRunningAndQueued();
  FakeClient* queued = clients.second.get();
  ASSERT_EQ(m_proxy->load().queued, 1);
  m_proxy->CloseGate("draining", std::chrono::milliseconds(500));
  AnswerWith(MakeAnswer(200, "one", "X-Id: 1\r\n"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(200, "two", "X-Id: 2\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return queued->HasCompleteAnswer(); }));
  EXPECT_EQ(queued->body(), "two");
}

TEST_F(ServingNodeServerChecks, RefusalByTheServerIsReportedAsNotRun) {
  StartGuarded();
  auto client = Send("GET", "/a", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(503, "busy", "X-Refused: 1\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(client->header("X-Guavatrail-Reason"), "server_full");
  EXPECT_EQ(m_proxy->load().in_service, 0);
}

// Guards against an order that counts as running for good, so that its caller is never told that it
// has not run.
TEST_F(ServingNodeServerChecks, OrderRefusedByTheServerHasNotRun) {
  StartGuarded();
  std::string key = IssueKey();
  auto first = Send("POST", "/orders", Order(key) + "X-Id: 1\r\n", "one spring");
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(503, "busy", "X-Refused: 1\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  EXPECT_EQ(first->header("X-Guavatrail-Outcome"), "not-run");
  auto fence = SendAndWait("POST", "/guavatrail/v1/fence", "Idempotency-Key: " + key + "\r\n");
  EXPECT_EQ(fence->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(ServingNodeServerChecks, ErrorOfTheServerIsRelayedUnchanged) {
  StartGuarded();
  auto client = Send("GET", "/a", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(503, "broken", "X-Id: 1\r\nX-Stamp: s\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "answered");
  EXPECT_EQ(client->header("X-Stamp"), "s");
  EXPECT_EQ(client->body(), "broken");
}

TEST_F(ServingNodeServerChecks, WrongServerAtTheAddressClosesTheGate) {
  StartGuarded();
  auto client = Send("GET", "/a", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(421, ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->header("X-Guavatrail-Reason"), "wrong_server");
  EXPECT_EQ(m_wrong_server, "server-1");
  EXPECT_FALSE(m_proxy->is_gate_open());
}

TEST_F(ServingNodeServerChecks, LateAnswerToAnEarlierRequestIsDiscarded) {
  StartGuarded();
  auto first = Send("GET", "/1", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  FakeConnection* connection = m_running.front().connection;
  AnswerWith(MakeAnswer(200, "one", "X-Id: 1\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  auto second = Send("GET", "/2", Repeatable("2"));
  ASSERT_TRUE(WaitForRunning(1));
  ASSERT_EQ(m_running.front().connection, connection);
  connection->Send(MakeAnswer(200, "one", "X-Id: 1\r\n"));
  RunFor(m_loop, std::chrono::milliseconds(20));
  EXPECT_FALSE(second->HasCompleteAnswer());
  AnswerWith(MakeAnswer(200, "two", "X-Id: 2\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return second->HasCompleteAnswer(); }));
  EXPECT_EQ(second->body(), "two");
}

TEST_F(ServingNodeServerChecks, SuccessWithoutARequestIdIsRejected) {
  StartGuarded();
  auto client = Send("GET", "/1", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(MakeAnswer(200, "one"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
}

// The entry node decides whether a request may reach a server a second time.
TEST_F(ServingNodeServerChecks, RequestThatMayHaveRunIsNotResent) {
  StartGuarded();
  auto client = Send("GET", "/1", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(ServingNodeServerChecks, UnreachableServerIsReported) {
  m_server_port = UnusedPort();
  StartGuarded();
  auto client = SendAndWait("GET", "/1", Repeatable("1"));
  EXPECT_EQ(client->header("X-Guavatrail-Reason"), "unreachable");
  EXPECT_EQ(m_unreachable, "server-1");
}

}  // namespace
}  // namespace guavatrail
