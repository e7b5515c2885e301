// Guards against an answer that holds a slot of the backend server for good because the entry node
// that asked for it is hung, so that it does not end the answer at its timeout.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

const std::string kBegunAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart";
const std::string kOpenEndedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: 1\r\n\r\npart";

class ServingNodeEndsAnswers : public GuardedServingFixture {
 protected:
  static std::string Timeout(int timeout_ms) {
    return "X-Guavatrail-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  }

  void ExpectServerIsFree() {
    EXPECT_TRUE(RunUntil(m_loop, [&] { return m_server.last_connection().peer_closed(); }));
    EXPECT_EQ(m_proxy->load().in_service, 0);
  }
};

TEST_F(ServingNodeEndsAnswers, AtTheTimeout) {
  Start();
  int64_t start_us = EventLoop::NowUs();
  auto client = Send("GET", "/a", Lookup("1", 100) + Timeout(400));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Send(kBegunAnswer);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_GE(EventLoop::NowUs() - start_us, 400'000);
  EXPECT_FALSE(client->HasCompleteAnswer());
  ExpectServerIsFree();
}

// Entry nodes of earlier versions do not send the timeout.
TEST_F(ServingNodeEndsAnswers, AtTheDeadlineIfNoTimeoutIsKnown) {
  Start();
  auto client = Send("GET", "/a", Lookup("1", 200));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Send(kBegunAnswer);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  ExpectServerIsFree();
}

TEST_F(ServingNodeEndsAnswers, ThatEndWithTheirConnection) {
  m_allows_close_delimited_answers = true;
  StartGuarded();
  auto client = Send("GET", "/a", Lookup("t-1", 100) + "X-Id: 1\r\n" + Timeout(400));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerWith(kOpenEndedAnswer);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_FALSE(client->HasCompleteAnswer());
  ExpectServerIsFree();
}

// A server that sends too slowly counts as failing, and a caller that disconnects does not.
TEST_F(ServingNodeEndsAnswers, TimeoutCountsAsAFailureOfTheServer) {
  auto failing_percent = [this] {
    m_answers_immediately = true;
    std::string load = SendAndWait("GET", "/b", Lookup("last"))->header("X-Guavatrail-Load");
    m_answers_immediately = false;
    size_t at = load.find("failing=");
    return at == std::string::npos ? 0 : std::stoi(load.substr(at + 8));
  };
  Start();
  auto left = Send("GET", "/a", Lookup("1"));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Send(kBegunAnswer);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return left->status() == 200; }));
  left.reset();
  ExpectServerIsFree();
  m_running.clear();
  EXPECT_EQ(failing_percent(), 0);
  auto late = Send("GET", "/a", Lookup("2", 100));
  ASSERT_TRUE(WaitForRunning(1));
  m_running.front().connection->Send(kBegunAnswer);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return late->closed_by_peer(); }));
  m_running.clear();
  EXPECT_GT(failing_percent(), 0);
}

}  // namespace
}  // namespace guavatrail
