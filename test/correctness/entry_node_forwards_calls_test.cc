// Guards against calls that are not answered whole, not placed elsewhere when that is safe, or
// reported falsely.
#include "entry_fixture.h"

namespace guavatrail {
namespace {

class EntryNodeForwardsCalls : public EntryFixture {
 protected:
  static void AnswerOk(FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "spring")); }
};

TEST_F(EntryNodeForwardsCalls, AnAnswerComesBackWhole) {
  Server& server = AddServer(AnswerOk);
  Start();
  auto client =
      SendAndWait("GET", "/pecas/4711?colour=red",
                  "X-Guavatrail-Work: forged\r\nX-Guavatrail-Request-Id: forged\r\nX-A: b\r\n");
  EXPECT_EQ(client->status(), 200);
  EXPECT_EQ(client->body(), "spring");
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "answered");
  EXPECT_NE(client->header("X-Guavatrail-Load"), "");
  ASSERT_EQ(server.requests.size(), 1U);
  EXPECT_TRUE(server.requests[0].starts_with("GET /pecas/4711?colour=red HTTP/1.1"));
  EXPECT_EQ(HeaderIn(server.requests[0], "X-A"), "b");
  EXPECT_EQ(HeaderIn(server.requests[0], "X-Guavatrail-Work"), "");
  EXPECT_EQ(m_outcomes, std::vector{CallOutcome::kGood});
  EXPECT_EQ(m_body_bytes, 6U);
  EXPECT_EQ(m_metrics.GetHistogram("call_added_us", "kind=\"lookup\"").count(), 1U);
}

TEST_F(EntryNodeForwardsCalls, WithoutRouteTableOrServerNothingIsRun) {
  Start();
  auto no_route = SendAndWait("GET", "/elsewhere");
  EXPECT_EQ(no_route->status(), 404);
  EXPECT_EQ(no_route->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(SendAndWait("POST", "/guavatrail/v1/order-key")->status(), 404);
  auto no_server = SendAndWait("GET", "/pecas/1");
  EXPECT_EQ(no_server->status(), 503);
  EXPECT_EQ(no_server->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_NE(no_server->header("Retry-After"), "");
  m_table = nullptr;
  auto no_table = SendAndWait("GET", "/pecas/1");
  EXPECT_EQ(no_table->status(), 503);
  EXPECT_EQ(no_table->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_NE(no_table->header("Retry-After"), "");
}

TEST_F(EntryNodeForwardsCalls, CallersDoNotReachTheNodesOwnPaths) {
  m_resources.emplace_back(Route{"all", "/", "encomendas", "lookup"});
  AddServer(AnswerOk);
  Start();
  EXPECT_EQ(SendAndWait("GET", "/anything")->status(), 200);
  auto key = SendAndWait("POST", "/guavatrail/v1/order-key");
  EXPECT_EQ(key->status(), 404);
  EXPECT_EQ(key->header("Idempotency-Key"), "");
}

TEST_F(EntryNodeForwardsCalls, TheShorterDeadlineIsPassedOn) {
  Server& server = AddServer(AnswerOk);
  Start();
  SendAndWait("GET", "/pecas/1", "X-Guavatrail-Deadline-Ms: 300\r\n");
  SendAndWait("GET", "/pecas/1", "X-Guavatrail-Deadline-Ms: 900000\r\n");
  int shorter = std::stoi(HeaderIn(server.requests[0], "X-Guavatrail-Deadline-Ms"));
  int own = std::stoi(HeaderIn(server.requests[1], "X-Guavatrail-Deadline-Ms"));
  EXPECT_GT(shorter, 100);
  EXPECT_LE(shorter, 300);
  EXPECT_GT(own, 4000);
  EXPECT_LE(own, 5000);
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", "X-Guavatrail-Deadline-Ms: soon\r\n")->status(), 400);
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", "X-Guavatrail-Deadline-Ms: 0\r\n")->status(), 503);
  EXPECT_EQ(server.requests.size(), 2U);
}

TEST_F(EntryNodeForwardsCalls, AtItsDeadlineACallGetsItsAnswer) {
  AddServer([](FakeConnection&, const std::string&) {});
  Start();
  int64_t start_us = EventLoop::NowUs();
  auto client = SendAndWait("GET", "/pecas/1", "X-Guavatrail-Deadline-Ms: 100\r\n");
  EXPECT_EQ(client->status(), 504);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_LT(EventLoop::NowUs() - start_us, 1'000'000);
}

TEST_F(EntryNodeForwardsCalls, ANodeThatRefusesConnectionsIsPassedOver) {
  AddEndpoint("encomendas-0", UnusedPort());
  AddServer(AnswerOk);
  Start();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(SendAndWait("POST", "/notes/1")->status(), 200);
    EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 200);
  }
}

TEST_F(EntryNodeForwardsCalls, ADrainingNodeIsPassedOver) {
  Server& leaving = AddServer(AnswerOk);
  AddServer(AnswerOk);
  Start();
  leaving.proxy->StartDrain([] {});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 200);
    EXPECT_EQ(SendAndWait("POST", "/notes/1")->status(), 200);
  }
  EXPECT_EQ(leaving.requests.size(), 0U);
}

TEST_F(EntryNodeForwardsCalls, ALookupIsTriedElsewhereWhenItsNodeBreaks) {
  Server& broken = AddFakeNode([](FakeConnection& c, const std::string&) { c.Close(); });
  AddServer(AnswerOk);
  Start();
  for (int i = 0; i < 8; ++i) EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 200);
  EXPECT_GE(broken.requests.size(), 1U);
}

TEST_F(EntryNodeForwardsCalls, ALookupThatAServerShedsIsTriedElsewhere) {
  auto shed = [](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(503, "busy")); };
  Server& shedding = AddServer(shed);
  AddServer(AnswerOk);
  Start();
  for (int i = 0; i < 8; ++i) EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 200);
  EXPECT_GE(shedding.requests.size(), 1U);
  // What may not be repeated keeps the answer of its server.
  m_endpoints.pop_back();
  PublishEndpoints();
  EXPECT_EQ(SendAndWait("POST", "/notes/1")->body(), "busy");
  EXPECT_EQ(SendAndWait("GET", "/pecas/1")->body(), "busy");
}

TEST_F(EntryNodeForwardsCalls, ALookupThatIsSlowIsHedgedAndTheLoserCancelled) {
  FakeConnection* hung = nullptr;
  bool hang_next = false;
  auto handler = [&](FakeConnection& c, const std::string&) {
    if (hang_next) {
      hang_next = false;
      hung = &c;
    } else {
      c.Send(MakeAnswer(200, "spring"));
    }
  };
  AddServer(handler);
  AddServer(handler);
  m_hedge_budget = 1.0;
  Start();
  // Enough calls to know the usual latency.
  for (int i = 0; i < 50; ++i) ASSERT_EQ(SendAndWait("GET", "/pecas/1")->status(), 200);
  hang_next = true;
  auto client = SendAndWait("GET", "/pecas/1");
  EXPECT_EQ(client->body(), "spring");
  ASSERT_NE(hung, nullptr);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return hung->peer_closed(); }));
  EXPECT_EQ(m_outcomes.size(), 51U);
}

TEST_F(EntryNodeForwardsCalls, AnAnswerCutOnItsWayIsCutForTheCaller) {
  FakeConnection* connection = nullptr;
  AddServer([&](FakeConnection& c, const std::string&) {
    connection = &c;
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
  });
  Start();
  auto client = Send("GET", "/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->received().ends_with("12345"); }));
  connection->Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_FALSE(client->HasCompleteAnswer());
  EXPECT_EQ(m_outcomes, std::vector{CallOutcome::kIncomplete});
}

TEST_F(EntryNodeForwardsCalls, AnAnswerToAnotherRequestIsNotTaken) {
  AddFakeNode([](FakeConnection& c, const std::string&) {
    c.Send(NodeAnswer("\r\nX-Guavatrail-Request-Id: another\r\n", 200, "answered", "wrong"));
  });
  Start();
  auto client = SendAndWait("GET", "/pecas/1");
  EXPECT_EQ(client->status(), 502);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
}

TEST_F(EntryNodeForwardsCalls, ACallerThatLeavesCancelsItsCall) {
  FakeConnection* connection = nullptr;
  AddServer([&](FakeConnection& c, const std::string&) { connection = &c; });
  Start();
  auto client = Send("GET", "/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  client.reset();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return connection->peer_closed(); }));
  EXPECT_TRUE(m_outcomes.empty());
}

TEST_F(EntryNodeForwardsCalls, ADrainEndsWhenAllCallsHaveTheirAnswers) {
  FakeConnection* connection = nullptr;
  AddServer([&](FakeConnection& c, const std::string&) { connection = &c; });
  Start();
  auto client = Send("GET", "/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  bool idle = false;
  m_entry->StartDrain([&] { idle = true; });
  EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 503);
  EXPECT_FALSE(idle);
  connection->Send(MakeAnswer(200, "spring"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return idle; }));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->body(), "spring");
}

}  // namespace
}  // namespace guavatrail
