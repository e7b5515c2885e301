// Guards against a part of an answer that the caller can take for the whole.
#include <gtest/gtest.h>

#include "fake_server.h"
#include "relay_proxy.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class StreamRelayNeverShortensAnswers : public testing::Test {
 protected:
  // Lets the server send `bytes` and close once the caller has got the head, and runs until the
  // caller has an end.
  void Answer(const std::string& bytes, const std::string& request = kRequest) {
    FakeConnection* connection = nullptr;
    FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
      connection = &c;
      c.Send(bytes);
    });
    RelayProxy proxy(m_loop, server.port());
    m_client = std::make_unique<FakeClient>(m_loop, proxy.port());
    m_client->Send(request);
    RunUntil(
        m_loop, [&] { return m_client->status() != 0; }, std::chrono::milliseconds(100));
    connection->Close();
    ASSERT_TRUE(RunUntil(m_loop, [&] { return IsAtEnd(request); }));
  }

  bool IsAtEnd(const std::string& request) {
    if (m_client->closed_by_peer() || m_client->HasCompleteAnswer()) return true;
    return request.starts_with("HEAD") && m_client->status() != 0;
  }

  static constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  EventLoop m_loop;
  std::unique_ptr<FakeClient> m_client;
};

TEST_F(StreamRelayNeverShortensAnswers, ContentLengthNotReached) {
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
  EXPECT_TRUE(m_client->closed_by_peer());
  EXPECT_EQ(m_client->header("Content-Length"), "10");
  EXPECT_FALSE(m_client->HasCompleteAnswer());
}

TEST_F(StreamRelayNeverShortensAnswers, LastChunkMissing) {
  Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n");
  EXPECT_TRUE(m_client->closed_by_peer());
  EXPECT_EQ(m_client->status(), 200);
  EXPECT_FALSE(m_client->HasCompleteAnswer());
}

TEST_F(StreamRelayNeverShortensAnswers, ChunkCutInTheMiddle) {
  Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n12345");
  EXPECT_TRUE(m_client->closed_by_peer());
  EXPECT_FALSE(m_client->HasCompleteAnswer());
}

TEST_F(StreamRelayNeverShortensAnswers, EndMarkedOnlyByClose) {
  Answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345");
  EXPECT_EQ(m_client->status(), 502);
}

TEST_F(StreamRelayNeverShortensAnswers, CutForACallerOfHttp10WithoutLength) {
  Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
         "GET /a HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(m_client->was_reset());
}

TEST_F(StreamRelayNeverShortensAnswers, BreakTogetherWithTheHead) {
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
    c.Close();
  });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.closed_by_peer(); }));
  EXPECT_FALSE(client.HasCompleteAnswer());
}

TEST_F(StreamRelayNeverShortensAnswers, WholeAnswersPass) {
  Answer(
      "HTTP/1.1 200 OK\r\nX-A: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nContent-Length: "
      "5\r\n\r\n12345");
  EXPECT_EQ(m_client->body(), "12345");
  EXPECT_EQ(m_client->header("X-A"), "1");
  EXPECT_EQ(m_client->header("X-Hop"), "");
  EXPECT_FALSE(m_client->closed_by_peer());
  Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n1\r\n6\r\n0\r\n\r\n");
  EXPECT_EQ(m_client->body(), "123456");
  Answer("HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n");
  EXPECT_EQ(m_client->status(), 304);
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(m_client->header("Content-Length"), "500");
}

}  // namespace
}  // namespace guavatrail
