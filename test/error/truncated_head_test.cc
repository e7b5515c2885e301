// Guards against an answer whose server stopped in the middle of the head and closed the
// connection: the caller must not get it as a complete answer.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class TruncatedHead : public GuardedServingFixture {
 protected:
  // The answer that a caller gets when the server sends `bytes` and closes the connection.
  std::unique_ptr<FakeClient> AnswerAndClose(const std::string& bytes, bool resets) {
    auto client = Send("GET", "/1", Repeatable("1"));
    EXPECT_TRUE(WaitForRunning(1));
    FakeConnection* connection = m_running.front().connection;
    AnswerWith(bytes);
    if (resets) {
      RunFor(m_loop, std::chrono::milliseconds(5));
      connection->Reset();
    } else {
      connection->Close();
    }
    EXPECT_TRUE(RunUntil(m_loop, [&] {
      return client->HasCompleteAnswer() || client->closed_by_peer() || client->was_reset();
    }));
    return client;
  }
};

// Every prefix of a head, with each kind of framing, also where an answer may end with its
// connection.
TEST_F(TruncatedHead, IsNoAnswer) {
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Stamp: 5a\r\n\r\n"};
  m_allows_close_delimited_answers = true;
  StartGuarded();
  for (const std::string& head : heads) {
    for (size_t length = 0; length < head.size(); ++length) {
      SCOPED_TRACE(head.substr(0, length));
      auto client = AnswerAndClose(head.substr(0, length), false);
      EXPECT_EQ(client->status(), kHttpBadGateway);
      EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
    }
  }
}

TEST_F(TruncatedHead, IsNoAnswerAfterAReset) {
  m_allows_close_delimited_answers = true;
  StartGuarded();
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n";
  for (size_t length = 0; length < head.size(); length += 5) {
    SCOPED_TRACE(head.substr(0, length));
    EXPECT_EQ(AnswerAndClose(head.substr(0, length), true)->status(), kHttpBadGateway);
  }
}

// A whole head that promises a body, of which nothing or a part follows.
TEST_F(TruncatedHead, WholeHeadWithoutItsBodyIsNotComplete) {
  m_allows_close_delimited_answers = true;
  StartGuarded();
  const std::string start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  for (const std::string& bytes :
       {start + "Content-Length: 12\r\n\r\n", start + "Content-Length: 12\r\n\r\nshort",
        start + "Transfer-Encoding: chunked\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"}) {
    SCOPED_TRACE(bytes);
    EXPECT_FALSE(AnswerAndClose(bytes, false)->HasCompleteAnswer());
  }
}

}  // namespace
}  // namespace guavatrail
