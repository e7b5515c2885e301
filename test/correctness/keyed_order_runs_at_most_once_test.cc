// Guards against an order that the backend server gets twice, or after it was reported as not run.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class KeyedOrderRunsAtMostOnce : public ServingFixture {};

TEST_F(KeyedOrderRunsAtMostOnce, ARepeatWhileItRunsIsInProgress) {
  Start();
  std::string key = IssueKey();
  auto first = Send("POST", "/orders", Order(key), "spring");
  ASSERT_TRUE(WaitForRunning(1));
  auto repeat = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(repeat->status(), 409);
  EXPECT_EQ(repeat->header("X-Guavatrail-Outcome"), "unknown");
  AnswerNext("order 7");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  EXPECT_EQ(first->body(), "order 7");
  EXPECT_EQ(first->header("X-Guavatrail-Outcome"), "answered");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, ALaterRepeatGetsTheStoredAnswer) {
  Start();
  m_answers_immediately = true;
  std::string key = IssueKey();
  SendAndWait("POST", "/orders", Order(key));
  auto repeat = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(repeat->status(), 200);
  EXPECT_EQ(repeat->body(), "done");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, ALargeAnswerLeavesItsOutcome) {
  Start();
  std::string key = IssueKey();
  auto first = Send("POST", "/orders", Order(key));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext(std::string(70'000, 'x'));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  EXPECT_EQ(first->body().size(), 70'000U);
  auto repeat = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(repeat->status(), 410);
  EXPECT_EQ(repeat->header("X-Guavatrail-Outcome"), "answered");
  EXPECT_EQ(repeat->header("X-Guavatrail-Order-Status"), "200");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, AnotherIncarnationDoesNotRunIt) {
  Start();
  std::string key = IssueKey();
  m_proxy.reset();
  Start(kIncarnation + 1);
  auto answer = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(answer->status(), 504);
  EXPECT_EQ(answer->header("X-Guavatrail-Outcome"), "unknown");
  auto fence = SendAndWait("POST", "/guavatrail/v1/fence", "Idempotency-Key: " + key + "\r\n");
  EXPECT_EQ(fence->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_server.requests(), 0);
}

TEST_F(KeyedOrderRunsAtMostOnce, AFencedKeyDoesNotRun) {
  Start();
  std::string key = IssueKey();
  auto fence = SendAndWait("POST", "/guavatrail/v1/fence", "Idempotency-Key: " + key + "\r\n");
  EXPECT_EQ(fence->header("X-Guavatrail-Outcome"), "not-run");
  auto order = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(order->status(), 428);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(m_server.requests(), 0);
}

TEST_F(KeyedOrderRunsAtMostOnce, AFenceTakesAWaitingOrderOutOfTheQueue) {
  m_slots = 1;
  Start();
  std::string key = IssueKey();
  auto running = Send("POST", "/orders", Order(IssueKey()));
  ASSERT_TRUE(WaitForRunning(1));
  auto waiting = Send("POST", "/orders", Order(key));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 1; }));
  auto fence = SendAndWait("POST", "/guavatrail/v1/fence", "Idempotency-Key: " + key + "\r\n");
  EXPECT_EQ(fence->header("X-Guavatrail-Outcome"), "not-run");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return waiting->HasCompleteAnswer(); }));
  EXPECT_EQ(waiting->header("X-Guavatrail-Outcome"), "not-run");
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return running->HasCompleteAnswer(); }));
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->status(), 428);
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, AFenceOfARunningOrderSaysSo) {
  Start();
  std::string key = IssueKey();
  auto order = Send("POST", "/orders", Order(key));
  ASSERT_TRUE(WaitForRunning(1));
  auto fence = SendAndWait("POST", "/guavatrail/v1/fence", "Idempotency-Key: " + key + "\r\n");
  EXPECT_EQ(fence->header("X-Guavatrail-Outcome"), "running");
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return order->HasCompleteAnswer(); }));
  EXPECT_EQ(order->status(), 200);
}

TEST_F(KeyedOrderRunsAtMostOnce, ItRunsOnWhenItsCallerLeaves) {
  Start();
  std::string key = IssueKey();
  auto order = Send("POST", "/orders", Order(key));
  ASSERT_TRUE(WaitForRunning(1));
  order.reset();
  RunFor(m_loop, std::chrono::milliseconds(30));
  EXPECT_FALSE(m_running.front().connection->peer_closed());
  AnswerNext("order 8");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().in_service == 0; }));
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->body(), "order 8");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, AtItsDeadlineItIsUnknownAndALaterRepeatLearnsTheAnswer) {
  Start();
  std::string key = IssueKey();
  auto order = SendAndWait("POST", "/orders", Order(key, 50));
  EXPECT_EQ(order->status(), 504);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->status(), 409);
  AnswerNext("order 9");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().in_service == 0; }));
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->body(), "order 9");
}

TEST_F(KeyedOrderRunsAtMostOnce, AServerThatBreaksOffLeavesItUnknown) {
  Start();
  std::string key = IssueKey();
  auto order = Send("POST", "/orders", Order(key));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return order->HasCompleteAnswer(); }));
  EXPECT_EQ(order->status(), 502);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(KeyedOrderRunsAtMostOnce, AForgedKeyDoesNotRun) {
  Start();
  std::string key = IssueKey();
  key.back() = key.back() == '0' ? '1' : '0';
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->status(), 428);
  EXPECT_EQ(m_server.requests(), 0);
}

}  // namespace
}  // namespace guavatrail
