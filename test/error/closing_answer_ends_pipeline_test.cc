// Guards against a connection that is closed while later requests of it run: callers send the
// requests behind a closing answer again, whatever their kind.
#include "pipeline_fixture.h"

namespace guavatrail {
namespace {

class ClosingAnswerEndsPipeline : public PipelineFixture {
 protected:
  // Waits until the connection has been closed, and checks that of its answers only the last one
  // announced it.
  void ExpectCloseAfter(const FakeClient& client, size_t count) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client.closed_by_peer(); }));
    auto answers = AnswersIn(client.received());
    ASSERT_EQ(answers.size(), count);
    for (size_t i = 0; i < count; ++i) {
      EXPECT_EQ(HeaderIn(answers[i].head, "Connection"), i + 1 < count ? "" : "close") << i;
    }
    EXPECT_EQ(m_calls.size(), count);
    for (auto& call : m_calls) EXPECT_EQ(call->written, 1);
  }
};

TEST_F(ClosingAnswerEndsPipeline, RequestWithConnectionClose) {
  auto client = Connect(Get("/lookups/1") + Get("/lookups/2", "Connection: close\r\n") +
                        Get("/lookups/3") + Get("/lookups/4"));
  ASSERT_TRUE(WaitForCalls(2));
  Answer(1);
  EXPECT_TRUE(StaysAtCalls(2));
  Answer(0);
  ExpectCloseAfter(*client, 2);
}

// HTTP/1.0 has no pipelining: such a request waits, and its answer closes the connection.
TEST_F(ClosingAnswerEndsPipeline, Http10Request) {
  auto client = Connect(Get("/lookups/1") + "GET /lookups/2 HTTP/1.0\r\n\r\n" + Get("/lookups/3"));
  ASSERT_TRUE(WaitForCalls(1));
  EXPECT_TRUE(StaysAtCalls(1));
  Answer(0);
  ASSERT_TRUE(WaitForCalls(2));
  Answer(1);
  ExpectCloseAfter(*client, 2);
}

// An answer to HTTP/1.0 that turns out to end by the close does not take started requests with it.
TEST_F(ClosingAnswerEndsPipeline, Http10AnswerWithoutLength) {
  auto client =
      Connect("GET /lookups/1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + Get("/lookups/2"));
  ASSERT_TRUE(WaitForCalls(1));
  EXPECT_TRUE(StaysAtCalls(1));
  m_calls[0]->request->StartReply(kHttpOk, "", {}, std::nullopt);
  m_calls[0]->request->FinishReply();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_EQ(client->header("Connection"), "close");
  EXPECT_EQ(m_calls.size(), 1U);
}

TEST_F(ClosingAnswerEndsPipeline, NodeThatClosesConnections) {
  auto client = Connect(Get("/lookups/1") + Get("/lookups/2"));
  ASSERT_TRUE(WaitForCalls(2));
  m_listener.CloseAfterAnswers();
  client->Send(Get("/lookups/3") + Get("/lookups/4"));
  ASSERT_TRUE(WaitForCalls(3));
  EXPECT_TRUE(StaysAtCalls(3));
  for (size_t i : {2, 0, 1}) Answer(i);
  ExpectCloseAfter(*client, 3);
}

TEST_F(ClosingAnswerEndsPipeline, NearlyFullPort) {
  m_listener.SetMaxConnections(4);
  auto client = Connect(Get("/lookups/1"));
  ASSERT_TRUE(WaitForCalls(1));
  std::vector<std::unique_ptr<FakeClient>> others;
  others.reserve(3);
  for (int i = 0; i < 3; ++i) others.push_back(Connect(""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_listener.connections() == 4; }));
  client->Send(Get("/lookups/2") + Get("/lookups/3"));
  ASSERT_TRUE(WaitForCalls(2));
  EXPECT_TRUE(StaysAtCalls(2));
  Answer(0);
  Answer(1);
  ExpectCloseAfter(*client, 2);
}

}  // namespace
}  // namespace guavatrail
