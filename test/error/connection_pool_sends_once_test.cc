// Guards against a request that the HTTP library or the pool sends a second time by itself.
#include <gtest/gtest.h>

#include <optional>

#include "connection_pool.h"
#include "fake_server.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class ConnectionPoolSendsOnce : public testing::Test {
 protected:
  std::unique_ptr<Exchange> Start(ConnectionPool& pool, std::optional<ExchangeResult>& end) {
    return pool.Send({.method = EVHTTP_REQ_POST,
                      .uri = "/orders",
                      .body = std::make_shared<const std::string>("one spring")},
                     {.head = [](const AnswerHead&) {},
                      .data = [](evbuffer*) {},
                      .done = [&end](ExchangeResult e) { end = e; }});
  }

  EventLoop m_loop;
};

TEST_F(ConnectionPoolSendsOnce, WhenTheServerReadsTheRequestAndCloses) {
  FakeServer server(m_loop, [](FakeConnection& c, const std::string&) { c.Close(); });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port()});
  std::optional<ExchangeResult> end;
  auto exchange = Start(pool, end);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return end.has_value(); }));
  EXPECT_EQ(*end, ExchangeResult::kBroken);
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(server.connections(), 1);
}

TEST_F(ConnectionPoolSendsOnce, WhenAKeptAliveConnectionIsClosedAsTheRequestIsWritten) {
  FakeServer server(m_loop,
                    [](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "a")); });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port()});
  std::optional<ExchangeResult> end;
  auto first = Start(pool, end);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return end.has_value(); }));
  ASSERT_EQ(pool.idle_connections(), 1U);
  end.reset();
  // The close and the request cross: both happen before the loop runs again.
  auto second = Start(pool, end);
  server.last_connection().Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return end.has_value(); }));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_LE(server.requests(), 2);
  EXPECT_EQ(server.requests() == 2, *end == ExchangeResult::kComplete);
}

TEST_F(ConnectionPoolSendsOnce, WhenTheConnectionIsRefused) {
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = UnusedPort()});
  std::optional<ExchangeResult> end;
  auto exchange = Start(pool, end);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return end.has_value(); }));
  EXPECT_EQ(*end, ExchangeResult::kNotSent);
  EXPECT_FALSE(exchange->may_have_been_sent());
  EXPECT_EQ(pool.connections_opened(), 1U);
}

TEST_F(ConnectionPoolSendsOnce, WhenTheAttemptFailsAtOnce) {
  // Neither a source address of another host nor a broadcast destination can be used; the system
  // says so inside the call that starts the connection, as it does when ports run out.
  for (const auto& [ip, local_ip] : std::vector<std::pair<std::string, std::string>>{
           {"127.0.0.1", "192.0.2.1"}, {"255.255.255.255", ""}}) {
    ConnectionPool pool(m_loop, {.ip = ip, .port = UnusedPort(), .local_ip = local_ip});
    std::optional<ExchangeResult> end;
    auto exchange = Start(pool, end);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return end.has_value(); })) << ip;
    EXPECT_EQ(*end, ExchangeResult::kNotSent) << ip;
    RunFor(m_loop, std::chrono::milliseconds(20));
    EXPECT_EQ(pool.connections(), 0U);
  }
}

}  // namespace
}  // namespace guavatrail
