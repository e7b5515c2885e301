// Guards against a planned stop that cuts off a request, takes new work, or never ends.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class DrainCutsNothing : public ServingFixture {};

TEST_F(DrainCutsNothing, RunningAndWaitingRequestsAreAnsweredWhole) {
  m_slots = 1;
  Start();
  auto running = Send("GET", "/a", Lookup("1"));
  ASSERT_TRUE(WaitForRunning(1));
  auto waiting = Send("GET", "/b", Lookup("2"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 1; }));
  bool idle = false;
  m_proxy->StartDrain([&] { idle = true; });
  auto refused = SendAndWait("GET", "/c", Lookup("3"));
  EXPECT_EQ(refused->status(), 503);
  EXPECT_EQ(refused->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(refused->header("X-Guavatrail-Reason"), "draining");
  EXPECT_NE(refused->header("Retry-After"), "");
  EXPECT_FALSE(idle);
  // An answer under way is finished too.
  FakeConnection* connection = m_running.front().connection;
  m_running.clear();
  connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return running->received().ends_with("abc"); }));
  EXPECT_FALSE(idle);
  connection->Send("def");
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return idle; }));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return waiting->HasCompleteAnswer(); }));
  EXPECT_EQ(running->body(), "abcdef");
  EXPECT_EQ(waiting->body(), "done");
  EXPECT_EQ(m_server.requests(), 2);
}

TEST_F(DrainCutsNothing, OrdersAreRefusedForGood) {
  Start();
  std::string key = IssueKey();
  bool idle = false;
  m_proxy->StartDrain([&] { idle = true; });
  auto order = SendAndWait("POST", "/orders", Order(key));
  EXPECT_EQ(order->status(), 428);
  EXPECT_EQ(order->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(SendAndWait("POST", "/guavatrail/v1/order-key")->status(), 503);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return idle; }));
  EXPECT_EQ(m_server.requests(), 0);
}

}  // namespace
}  // namespace guavatrail
