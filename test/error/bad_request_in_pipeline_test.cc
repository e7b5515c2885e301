// Guards against input that is refused in place of the answer of an earlier request, or that takes
// the earlier requests of its connection with it.
#include "pipeline_fixture.h"

namespace guavatrail {
namespace {

class BadRequestInPipeline : public PipelineFixture {
 protected:
  // Sends two good requests and then `bytes`, checks that the refusal follows their answers, and
  // that nothing behind them was started.
  void ExpectRefusedInOrder(const std::string& bytes, int status) {
    m_calls.clear();
    auto client = Connect(Get("/lookups/1") + Get("/lookups/2") + bytes);
    ASSERT_TRUE(WaitForCalls(2)) << bytes.substr(0, 80);
    EXPECT_TRUE(StaysAtCalls(2)) << bytes.substr(0, 80);
    EXPECT_EQ(client->received(), "");
    Answer(1);
    Answer(0);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
    EXPECT_FALSE(client->was_reset());
    auto answers = AnswersIn(client->received());
    ASSERT_EQ(answers.size(), 3U) << bytes.substr(0, 80);
    EXPECT_EQ(answers[0].body + answers[1].body, "/lookups/1/lookups/2");
    EXPECT_EQ(HeaderIn(answers[0].head, "Connection") + HeaderIn(answers[1].head, "Connection"),
              "");
    EXPECT_EQ(answers[2].status, status) << bytes.substr(0, 80);
    EXPECT_EQ(HeaderIn(answers[2].head, "Connection"), "close");
    EXPECT_EQ(HeaderIn(answers[2].head, "X-Guavatrail-Outcome"), "not-run");
    EXPECT_EQ(m_calls.size(), 2U);
  }
};

TEST_F(BadRequestInPipeline, IsRefusedInOrder) {
  const std::string post = "POST /lookups/3 HTTP/1.1\r\nHost: a\r\n";
  const std::string behind = Get("/lookups/4");
  ExpectRefusedInOrder("GET  /lookups/3 HTTP/1.1\r\nHost: a\r\n\r\n" + behind, 400);
  ExpectRefusedInOrder("\x16\x03\x01garbage\r\n\r\n" + behind, 400);
  ExpectRefusedInOrder(post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab" + behind, 400);
  ExpectRefusedInOrder(post + "Content-Length: 1048577\r\n\r\n" + behind, 413);
  ExpectRefusedInOrder(Get("/lookups/3", "A: " + std::string(70'000, 'a') + "\r\n"), 431);
  ExpectRefusedInOrder("LINK /lookups/3 HTTP/1.1\r\nHost: a\r\n\r\n" + behind, 501);
  // A body that is read when its turn has come.
  ExpectRefusedInOrder(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + behind, 400);
}

// Input behind a refused request is not kept, and a caller that leaves is noticed.
TEST_F(BadRequestInPipeline, CallerMayLeaveBeforeTheRefusal) {
  auto client = Connect(Get("/lookups/1") + "garbage\r\n\r\n" + std::string(1'000'000, 'x'));
  ASSERT_TRUE(WaitForCalls(1));
  RunFor(m_loop, std::chrono::milliseconds(50));
  client->Close();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_calls[0]->cancelled == 1; }));
}

TEST_F(BadRequestInPipeline, UnfinishedRequestTimesOutInOrder) {
  HttpLimits limits;
  limits.read_timeout = std::chrono::milliseconds(50);
  m_listener.SetLimits(limits);
  ExpectRefusedInOrder("GET /lookups/3 HTTP/1.1\r\nHost:", 408);
  ExpectRefusedInOrder("POST /lookups/3 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabc", 408);
}

// Neither a request that waits for earlier answers nor a connection with a request in progress is
// subject to the times for reading and for idle connections.
TEST_F(BadRequestInPipeline, WaitingRequestDoesNotTimeOut) {
  HttpLimits limits;
  limits.read_timeout = std::chrono::milliseconds(30);
  limits.idle_timeout = std::chrono::milliseconds(30);
  m_listener.SetLimits(limits);
  auto client =
      Connect(Get("/lookups/1") + Get("/lookups/2") + MakeRequest("POST", "/orders/3", "", "abc"));
  ASSERT_TRUE(WaitForCalls(2));
  RunFor(m_loop, std::chrono::milliseconds(150));
  Answer(0);
  RunFor(m_loop, std::chrono::milliseconds(100));
  Answer(1);
  ASSERT_TRUE(WaitForCalls(3));
  EXPECT_EQ(*m_calls[2]->request->body(), "abc");
  Answer(2);
  EXPECT_EQ(Bodies(*client, 3), "/lookups/1 /lookups/2 /orders/3");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); })) << "the idle time";
}

TEST_F(BadRequestInPipeline, ContinueIsNotSentBeforeEarlierAnswers) {
  auto client = Connect(
      Get("/lookups/1") +
      "POST /lookups/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  ASSERT_TRUE(WaitForCalls(1));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(client->received(), "");
  Answer(0);
  EXPECT_EQ(Bodies(*client, 2), "/lookups/1 ");
  EXPECT_TRUE(client->received().ends_with("HTTP/1.1 100 Continue\r\n\r\n"));
  client->DiscardAnswer();
  client->Send("abc");
  ASSERT_TRUE(WaitForCalls(2));
  Answer(1);
  EXPECT_EQ(Bodies(*client, 1), "/lookups/2");
}

}  // namespace
}  // namespace guavatrail
