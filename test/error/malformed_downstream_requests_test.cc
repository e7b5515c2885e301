// Checks the handling of callers that pipeline requests, disconnect early, or send malformed or
// ambiguous requests.
#include <gtest/gtest.h>

#include "fake_server.h"
#include "relay_proxy.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class MalformedDownstreamRequests : public testing::Test {
 protected:
  EventLoop m_loop;
};

TEST_F(MalformedDownstreamRequests, PipelinedRequestsAreAnsweredInOrder) {
  FakeConnection* connection = nullptr;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string& request) {
    if (request.starts_with("GET /1 ")) {
      connection = &c;
    } else {
      c.Send(MakeAnswer(200, "two"));
    }
  });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  client.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunFor(m_loop, std::chrono::milliseconds(30));
  EXPECT_EQ(proxy.calls.size(), 1U);
  connection->Send(MakeAnswer(200, "one"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.body(), "one");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.received().ends_with("two"); }));
}

TEST_F(MalformedDownstreamRequests, DisconnectedCallerCancelsUpstream) {
  FakeConnection* connection = nullptr;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) { connection = &c; });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  client.Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection->peer_closed(); }));
  EXPECT_EQ(proxy.calls[0]->end_count, 1);
}

// An unread body would be parsed as the next request.
TEST_F(MalformedDownstreamRequests, BodyIsReadForAnyMethod) {
  FakeConnection* connection = nullptr;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) { connection = &c; });
  const std::string inner = "GET /2 HTTP/1.1\r\nA: b\r\n\r\n";
  for (const std::string& request :
       {"GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(inner.size()) +
            "\r\n\r\n" + inner,
        "DELETE /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n19\r\n" + inner +
            "\r\n0\r\n\r\n"}) {
    RelayProxy proxy(m_loop, server.port());
    FakeClient client(m_loop, proxy.port());
    client.Send(request);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return !proxy.calls.empty(); })) << request;
    RunFor(m_loop, std::chrono::milliseconds(30));
    ASSERT_EQ(proxy.calls.size(), 1U) << request;
    EXPECT_EQ(proxy.calls[0]->downstream->target(), "/1") << request;
    EXPECT_EQ(*proxy.calls[0]->downstream->body(), inner) << request;
  }
}

// Malformed requests. Servers disagree on where most of them end, which allows request smuggling.
TEST_F(MalformedDownstreamRequests, AmbiguousRequestsAreRefused) {
  FakeServer server(m_loop,
                    [&](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "")); });
  RelayProxy proxy(m_loop, server.port());
  const std::string get = "GET /1 HTTP/1.1\r\nHost: a\r\n";
  const std::string post = "POST /1 HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> requests = {
      post + "Content-Length: 1\r\n" + chunked + "\r\n1\r\na\r\n0\r\n\r\n",
      post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
      post + "Content-Length: 3\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      post + "Transfer-Encoding: gzip\r\n\r\nab",
      post + chunked + "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
      post + "Content-Length: +1\r\n\r\na",
      post + "Content-Length: 1, 1\r\n\r\na",
      post + chunked + "\r\nzz\r\na\r\n0\r\n\r\n",
      get + "Host: b\r\n\r\n",
      "GET /1 HTTP/1.1\r\n\r\n",
      "GET /1 HTTP/1.1\nHost: a\r\n\r\n",
      "GET /1 HTTP/1.1\r\nHost: a\nA: b\r\n\r\n",
      get + "A: b\r\n c\r\n\r\n",
      get + "A: b\rc\r\n\r\n",
      get + "A: b" + std::string(1, '\0') + "c\r\n\r\n",
      get + ": b\r\n\r\n",
      "GET  /1 HTTP/1.1\r\nHost: a\r\n\r\n",
      "GET /1 /2 HTTP/1.1\r\nHost: a\r\n\r\n",
      "GET /1 HTTP/2.0\r\nHost: a\r\n\r\n"};
  for (const std::string& request : requests) {
    FakeClient client(m_loop, proxy.port());
    client.Send(request);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client.closed_by_peer(); })) << request;
    EXPECT_EQ(client.status(), 400) << request;
  }
  EXPECT_EQ(server.requests(), 0);
}

TEST_F(MalformedDownstreamRequests, BodiesOverTheLimitAreRefused) {
  FakeServer server(m_loop,
                    [&](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "")); });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.status() != 0; }));
  EXPECT_EQ(client.status(), 413);
  FakeClient at_limit(m_loop, proxy.port());
  at_limit.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n" +
                std::string(kMaxRequestBodyBytes, 'x'));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return at_limit.HasCompleteAnswer(); }));
  EXPECT_EQ(at_limit.status(), 200);
}

TEST_F(MalformedDownstreamRequests, BodyAfter100ContinueIsRead) {
  FakeServer server(m_loop,
                    [&](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "")); });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.status() == 100; }));
  client.DiscardAnswer();
  client.Send("abc");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.status(), 200);
  ASSERT_EQ(proxy.calls.size(), 1U);
  EXPECT_EQ(*proxy.calls[0]->downstream->body(), "abc");
}

}  // namespace
}  // namespace guavatrail
