// Guards against a server that writes an earlier refusal once more on a kept connection: the
// request that is running there must not be reported as not run, nor reach another server.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class RepeatedRefusal : public GuardedServingFixture {
 protected:
  static std::string Refusal(const std::string& id_line) {
    return MakeAnswer(503, "full", id_line + "X-Refused: 1\r\n");
  }

  static std::string Once(const std::string& id) {
    return "X-Guavatrail-Work: order;importance=2;short;once\r\nX-Guavatrail-Request-Id: t-" + id +
           "\r\nX-Guavatrail-Deadline-Ms: 5000\r\nX-Id: " + id + "\r\n";
  }

  // Lets the server answer request "1" with `bytes`, which begin with a refusal. Returns the
  // connection of the server.
  FakeConnection* AnswerFirstWith(const std::string& bytes) {
    StartGuarded();
    auto first = Send("GET", "/1", Repeatable("1"));
    EXPECT_TRUE(WaitForRunning(1));
    FakeConnection* connection = m_running.front().connection;
    AnswerWith(bytes);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
    EXPECT_EQ(first->header("X-Guavatrail-Outcome"), "not-run");
    return connection;
  }

  // Starts order "2" on the connection on which request "1" was refused.
  void RefuseOneAndStartAnother() {
    FakeConnection* connection = AnswerFirstWith(Refusal("X-Id: 1\r\n"));
    m_second = Send("POST", "/2", Once("2"));
    ASSERT_TRUE(WaitForRunning(1));
    ASSERT_EQ(m_running.front().connection, connection);
  }

  void ExpectSecondIsServedOnAnotherConnection(const FakeConnection* first) {
    m_second = Send("POST", "/2", Once("2"));
    ASSERT_TRUE(WaitForRunning(1));
    EXPECT_NE(m_running.front().connection, first);
    AnswerWith(MakeAnswer(200, "done", "X-Id: 2\r\n"));
    ASSERT_TRUE(RunUntil(m_loop, [&] { return m_second->HasCompleteAnswer(); }));
    EXPECT_EQ(m_second->body(), "done");
  }

  std::unique_ptr<FakeClient> m_second;
};

TEST_F(RepeatedRefusal, WithTheEarlierIdIsDiscarded) {
  RefuseOneAndStartAnother();
  m_running.front().connection->Send(Refusal("X-Id: 1\r\n"));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_second->received(), "");
  AnswerWith(MakeAnswer(200, "done", "X-Id: 2\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_second->HasCompleteAnswer(); }));
  EXPECT_EQ(m_second->status(), kHttpOk);
  EXPECT_EQ(m_second->body(), "done");
}

TEST_F(RepeatedRefusal, TogetherWithTheAnswerIsDiscarded) {
  RefuseOneAndStartAnother();
  AnswerWith(Refusal("X-Id: 1\r\n") + Refusal("X-Id: 1\r\n") +
             MakeAnswer(200, "done", "X-Id: 2\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_second->HasCompleteAnswer(); }));
  EXPECT_EQ(m_second->body(), "done");
}

TEST_F(RepeatedRefusal, WithoutAnIdLeavesTheOutcomeUnknown) {
  RefuseOneAndStartAnother();
  AnswerWith(Refusal(""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_second->HasCompleteAnswer(); }));
  EXPECT_EQ(m_second->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_second->status(), kHttpBadGateway);
}

TEST_F(RepeatedRefusal, WithoutAnIdAsWrongServerLeavesTheOutcomeUnknown) {
  RefuseOneAndStartAnother();
  AnswerWith(MakeAnswer(kHttpMisdirected, ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_second->HasCompleteAnswer(); }));
  EXPECT_EQ(m_second->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_wrong_server, "");
}

// The refusal is written twice at once, so that the copy waits where the next answer is expected.
TEST_F(RepeatedRefusal, BehindTheFirstOneEndsTheConnection) {
  FakeConnection* connection = AnswerFirstWith(Refusal("X-Id: 1\r\n") + Refusal(""));
  ExpectSecondIsServedOnAnotherConnection(connection);
}

// The copy arrives while no request is on the connection.
TEST_F(RepeatedRefusal, OnAnIdleConnectionEndsIt) {
  FakeConnection* connection = AnswerFirstWith(Refusal("X-Id: 1\r\n"));
  connection->Send(Refusal(""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection->peer_closed(); }));
  ExpectSecondIsServedOnAnotherConnection(connection);
}

}  // namespace
}  // namespace guavatrail
