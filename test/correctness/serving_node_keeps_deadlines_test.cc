// Guards against a deadline that is lost on the way, a slot that a cancelled caller keeps, and a
// refusal of work that ran.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class ServingNodeKeepsDeadlines : public ServingFixture {};

int DeadlineIn(const std::string& request) {
  size_t at = request.find("X-Guavatrail-Deadline-Ms: ");
  return at == std::string::npos ? -1 : std::stoi(request.substr(at + 26));
}

TEST_F(ServingNodeKeepsDeadlines, TheRemainingTimeIsPassedOn) {
  Start();
  auto client = Send("GET", "/a", Lookup("1", 400));
  ASSERT_TRUE(WaitForRunning(1));
  int remaining = DeadlineIn(m_running.front().request);
  EXPECT_GT(remaining, 0);
  EXPECT_LE(remaining, 400);
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_NE(client->header("X-Guavatrail-Load"), "");
  EXPECT_NE(client->header("X-Guavatrail-Server-Us"), "");
  EXPECT_EQ(client->header("X-Guavatrail-Request-Id"), "1");
}

TEST_F(ServingNodeKeepsDeadlines, ARunningRequestIsGivenUpAtItsDeadline) {
  Start();
  auto client = SendAndWait("GET", "/a", Lookup("1", 50));
  EXPECT_EQ(client->status(), 504);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_running.front().connection->peer_closed(); }));
  EXPECT_EQ(m_proxy->load().in_service, 0);
}

TEST_F(ServingNodeKeepsDeadlines, AWaitingRequestIsRefusedAsNotRun) {
  m_slots = 1;
  Start();
  auto running = Send("GET", "/a", Lookup("1"));
  ASSERT_TRUE(WaitForRunning(1));
  auto waiting = SendAndWait("GET", "/b", Lookup("2", 100));
  EXPECT_EQ(waiting->status(), 503);
  EXPECT_EQ(waiting->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_NE(waiting->header("Retry-After"), "");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(ServingNodeKeepsDeadlines, ACallerThatLeavesFreesItsSlot) {
  m_slots = 1;
  Start();
  auto first = Send("GET", "/a", Lookup("1"));
  ASSERT_TRUE(WaitForRunning(1));
  auto second = Send("GET", "/b", Lookup("2"));
  auto third = Send("GET", "/c", Lookup("3"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 2; }));
  second.reset();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 1; }));
  first.reset();
  ASSERT_TRUE(WaitForRunning(2));
  EXPECT_TRUE(m_running[1].request.starts_with("GET /c "));
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_running[0].connection->peer_closed(); }));
}

TEST_F(ServingNodeKeepsDeadlines, AServerThatRefusesConnectionsHasNotRunIt) {
  m_server_port = UnusedPort();
  Start();
  std::string key = IssueKey();
  auto lookup = SendAndWait("GET", "/a", Lookup("1"));
  EXPECT_EQ(lookup->status(), 503);
  EXPECT_EQ(lookup->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(SendAndWait("POST", "/orders", Order(key))->status(), 428);
}

TEST_F(ServingNodeKeepsDeadlines, AKeptAliveConnectionThatClosesDoesNotFailALookup) {
  Start();
  auto first = Send("GET", "/a", Lookup("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  // The server reads the second request on the kept-alive connection and closes it.
  auto second = Send("GET", "/b", Lookup("2"));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Close();
  m_running.clear();
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext("again");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return second->HasCompleteAnswer(); }));
  EXPECT_EQ(second->body(), "again");
}

TEST_F(ServingNodeKeepsDeadlines, AProbeTellsKnownRequestsFromUnknownOnes) {
  Start();
  auto client = Send("GET", "/a", Lookup("n1-7"));
  ASSERT_TRUE(WaitForRunning(1));
  EXPECT_EQ(SendAndWait("GET", "/guavatrail/v1/request/n1-7")->status(), 200);
  EXPECT_EQ(SendAndWait("GET", "/guavatrail/v1/request/n1-8")->status(), 404);
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(SendAndWait("GET", "/guavatrail/v1/request/n1-7")->status(), 404);
}

}  // namespace
}  // namespace guavatrail
