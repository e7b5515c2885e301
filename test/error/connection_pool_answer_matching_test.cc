// Checks that an answer is never delivered to a request other than its own.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <optional>

#include "connection_pool.h"
#include "fake_server.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

struct Result {
  std::string body;
  std::optional<ExchangeResult> end;
};

std::unique_ptr<Exchange> Get(ConnectionPool& pool, const std::string& uri, Result& result) {
  return pool.Send({.uri = uri}, {.head = [](const AnswerHead&) {},
                                  .data =
                                      [&result](evbuffer* data) {
                                        std::string part(evbuffer_get_length(data), '\0');
                                        evbuffer_remove(data, part.data(), part.size());
                                        result.body += part;
                                      },
                                  .done = [&result](ExchangeResult end) { result.end = end; }});
}

class ConnectionPoolAnswerMatching : public testing::Test {
 protected:
  EventLoop m_loop;
};

TEST_F(ConnectionPoolAnswerMatching, AfterCancellation) {
  FakeConnection* slow = nullptr;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string& request) {
    if (request.starts_with("GET /slow")) {
      slow = &c;
    } else {
      if (slow != nullptr) slow->Send(MakeAnswer(200, "slow"));
      c.Send(MakeAnswer(200, "fast"));
    }
  });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port()});
  Result cancelled;
  auto first = Get(pool, "/slow", cancelled);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return slow != nullptr; }));
  first.reset();
  Result result;
  auto second = Get(pool, "/fast", result);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return result.end.has_value(); }));
  EXPECT_EQ(*result.end, ExchangeResult::kComplete);
  EXPECT_EQ(result.body, "fast");
  EXPECT_FALSE(cancelled.end);
  EXPECT_TRUE(slow->peer_closed());
  EXPECT_EQ(pool.connections(), 1U);
}

TEST_F(ConnectionPoolAnswerMatching, AfterSurplusBytes) {
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
    std::string answer = MakeAnswer(200, c.number() == 1 ? "first" : "second");
    c.Send(c.number() == 1 ? answer + MakeAnswer(200, "stray") : answer);
  });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port()});
  Result first_result;
  Result second_result;
  auto first = Get(pool, "/1", first_result);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first_result.end.has_value(); }));
  EXPECT_EQ(first_result.body, "first");
  auto second = Get(pool, "/2", second_result);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return second_result.end.has_value(); }));
  EXPECT_EQ(second_result.body, "second");
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(ConnectionPoolAnswerMatching, EachConnectionCarriesOneRequestAtATime) {
  std::vector<FakeConnection*> waiting;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) { waiting.push_back(&c); });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port(), .max_connections = 2});
  std::vector<Result> results(5);
  std::vector<std::unique_ptr<Exchange>> exchanges;
  exchanges.reserve(results.size());
  for (int i = 0; i < 5; ++i) {
    exchanges.push_back(Get(pool, "/" + std::to_string(i), results[i]));
  }
  for (int answered = 0; answered < 5; ++answered) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return !waiting.empty(); }));
    EXPECT_LE(waiting.size(), 2U);
    waiting.front()->Send(MakeAnswer(200, std::to_string(answered)));
    waiting.erase(waiting.begin());
    ASSERT_TRUE(RunUntil(m_loop, [&] { return results[answered].end.has_value(); }));
    EXPECT_EQ(results[answered].body, std::to_string(answered));
  }
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(ConnectionPoolAnswerMatching, ClosedIdleConnectionIsRemoved) {
  FakeServer server(m_loop,
                    [](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "a")); });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port()});
  Result result;
  auto exchange = Get(pool, "/1", result);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return result.end.has_value(); }));
  EXPECT_EQ(pool.idle_connections(), 1U);
  server.last_connection().Close();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return pool.connections() == 0; }));
}

}  // namespace
}  // namespace guavatrail
