// Checks that an order is sent at most once, and that it is reported as not run only if it cannot
// run any more.
#include "entry_fixture.h"

namespace guavatrail {
namespace {

class OrderOutcome : public EntryFixture {
 protected:
  static void AnswerOk(FakeConnection& c, const std::string&) {
    c.Send(MakeAnswer(201, "order 7"));
  }

  // A well-formed order key bound to `node`.
  static std::string FakeKey(const std::string& node = "encomendas-1") {
    return "gt1." + node + ".1700000000000.1." + std::string(32, 'a');
  }
};

TEST_F(OrderOutcome, OrderWithoutKeyGetsAKeyAndRunsOnce) {
  Server& server = AddServer(AnswerOk);
  Start();
  auto first = SendAndWait("POST", "/orders");
  EXPECT_EQ(first->status(), 428);
  EXPECT_EQ(first->header("X-Guavatrail-Outcome"), "not-run");
  std::string key = first->header("Idempotency-Key");
  ASSERT_TRUE(ParseOrderKey(key));
  EXPECT_EQ(server.requests.size(), 0U);
  auto order = SendAndWait("POST", "/orders", KeyHeader(key));
  EXPECT_EQ(order->status(), 201);
  EXPECT_EQ(order->body(), "order 7");
  auto repeat = SendAndWait("POST", "/orders", KeyHeader(key));
  EXPECT_EQ(repeat->status(), 201);
  EXPECT_EQ(repeat->body(), "order 7");
  EXPECT_EQ(server.requests.size(), 1U);
}

TEST_F(OrderOutcome, KeyedOrderIsSentOnlyToTheNodeOfItsKey) {
  Server& one = AddServer(AnswerOk);
  Server& two = AddServer(AnswerOk);
  Start();
  for (int i = 0; i < 6; ++i) {
    std::string key = SendAndWait("POST", "/orders")->header("Idempotency-Key");
    size_t before = (ParseOrderKey(key)->node == one.name ? one : two).requests.size();
    EXPECT_EQ(SendAndWait("POST", "/orders", KeyHeader(key))->status(), 201);
    EXPECT_EQ((ParseOrderKey(key)->node == one.name ? one : two).requests.size(), before + 1);
  }
}

TEST_F(OrderOutcome, FencedKeyIsReplacedByANewOne) {
  AddServer(AnswerOk);
  Start();
  std::string key = SendAndWait("POST", "/orders")->header("Idempotency-Key");
  FakeClient fence(m_loop, m_endpoints[0].peer_port);
  fence.Send("POST /guavatrail/v1/fence HTTP/1.1\r\nHost: a\r\n" + KeyHeader(key) +
             "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return fence.HasCompleteAnswer(); }));
  auto repeat = SendAndWait("POST", "/orders", KeyHeader(key));
  EXPECT_EQ(repeat->status(), 428);
  EXPECT_NE(repeat->header("Idempotency-Key"), key);
  EXPECT_EQ(SendAndWait("POST", "/orders", KeyHeader(repeat->header("Idempotency-Key")))->status(),
            201);
}

TEST_F(OrderOutcome, OrderOfADrainingNodeGetsAKeyOfAnotherNode) {
  Server& leaving = AddServer(AnswerOk);
  Start();
  std::string key = SendAndWait("POST", "/orders")->header("Idempotency-Key");
  Server& staying = AddServer(AnswerOk);
  PublishEndpoints();
  leaving.proxy->StartDrain([] {});
  auto refused = SendAndWait("POST", "/orders", KeyHeader(key));
  EXPECT_EQ(refused->status(), 428);
  std::string fresh = refused->header("Idempotency-Key");
  EXPECT_EQ(ParseOrderKey(fresh)->node, staying.name);
  EXPECT_EQ(SendAndWait("POST", "/orders", KeyHeader(fresh))->status(), 201);
  EXPECT_EQ(leaving.requests.size(), 0U);
}

TEST_F(OrderOutcome, OrderIsFencedBeforeItIsReportedAsNotRun) {
  Server& node = AddFakeNode([](FakeConnection& c, const std::string& request) {
    if (request.starts_with("POST /guavatrail/v1/fence")) {
      c.Send(NodeAnswer(request, 200, "not-run"));
    } else {
      c.Close();
    }
  });
  Start();
  auto order = SendAndWait("POST", "/orders", KeyHeader(FakeKey()));
  EXPECT_EQ(order->status(), 503);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(CountRequests(node, "POST /orders"), 1);
  EXPECT_EQ(CountRequests(node, "POST /guavatrail/v1/fence"), 1);
}

TEST_F(OrderOutcome, OutcomeIsUnknownWithoutConfirmedFence) {
  for (const char* outcome : {"running", "answered", "unknown", ""}) {
    m_endpoints.clear();
    Server& node = AddFakeNode([&](FakeConnection& c, const std::string& request) {
      bool is_fence = request.starts_with("POST /guavatrail/v1/fence");
      if (is_fence && *outcome != '\0') c.Send(NodeAnswer(request, 200, outcome));
      if (!is_fence) c.Close();
    });
    Start();
    auto order = SendAndWait("POST", "/orders", KeyHeader(FakeKey(node.name)));
    EXPECT_EQ(order->status(), 504) << outcome;
    EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "unknown") << outcome;
    EXPECT_EQ(CountRequests(node, "POST /orders"), 1);
  }
}

TEST_F(OrderOutcome, OutcomeIsUnknownIfTheNodeIsDead) {
  AddEndpoint("encomendas-9", UnusedPort());
  Server& other = AddServer(AnswerOk);
  Start();
  auto order = SendAndWait("POST", "/orders", KeyHeader(FakeKey("encomendas-9")));
  EXPECT_EQ(order->status(), 504);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(SendAndWait("POST", "/orders", KeyHeader(FakeKey("encomendas-77")))->status(), 504);
  EXPECT_EQ(other.requests.size(), 0U);
}

TEST_F(OrderOutcome, OrderToAHungNodeIsSentOnceAndItsOutcomeIsUnknown) {
  Server& node = AddFakeNode([](FakeConnection&, const std::string&) {});
  Start();
  int64_t start_us = EventLoop::NowUs();
  auto order =
      SendAndWait("POST", "/orders", KeyHeader(FakeKey()) + "X-Guavatrail-Deadline-Ms: 200\r\n");
  EXPECT_EQ(order->status(), 504);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_LT(EventLoop::NowUs() - start_us, 2'000'000);
  EXPECT_EQ(CountRequests(node, "POST /orders"), 1);
}

TEST_F(OrderOutcome, OrderWithPerRequestKeyIsSentOnce) {
  auto close = [](FakeConnection& c, const std::string&) { c.Close(); };
  Server& one = AddFakeNode(close);
  Server& two = AddFakeNode(close);
  Start();
  auto note = SendAndWait("POST", "/notes/1");
  EXPECT_EQ(note->status(), 502);
  EXPECT_EQ(note->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(one.requests.size() + two.requests.size(), 1U);
  EXPECT_EQ(m_outcomes, std::vector{CallOutcome::kUnknown});
}

TEST_F(OrderOutcome, RefusedOrderIsSentToAnotherNode) {
  Server& one = AddFakeNode([](FakeConnection& c, const std::string& request) {
    c.Send(NodeAnswer(request, 503, "not-run", "", "X-Guavatrail-Retry-After-Ms: 4000\r\n"));
  });
  Server& two = AddServer(AnswerOk);
  Start();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(SendAndWait("POST", "/notes/1")->status(), 201);
  EXPECT_EQ(two.requests.size(), 6U);
  EXPECT_LE(one.requests.size(), 1U);
}

TEST_F(OrderOutcome, RefusalByAllNodesCarriesTheirRetryAfter) {
  AddFakeNode([](FakeConnection& c, const std::string& request) {
    c.Send(NodeAnswer(request, 503, "not-run", "", "X-Guavatrail-Retry-After-Ms: 3500\r\n"));
  });
  Start();
  auto refused = SendAndWait("GET", "/pecas/1");
  EXPECT_EQ(refused->status(), 503);
  EXPECT_EQ(refused->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(refused->header("Retry-After"), "4");
  EXPECT_EQ(m_outcomes, std::vector{CallOutcome::kRefused});
}

}  // namespace
}  // namespace guavatrail
