// Guards against a connection that is reused although nothing is read from it: its last exchange
// had paused reading, and the next request ran without an answer.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <optional>

#include "connection_pool.h"
#include "fake_server.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

TEST(PausedConnectionIsReused, AnswerToTheNextRequestIsRead) {
  EventLoop loop;
  FakeServer server(
      loop, [](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "answer")); });
  ConnectionPool pool(loop, {.ip = "127.0.0.1", .port = server.port()});
  for (int i = 0; i < 3; ++i) {
    std::optional<ExchangeResult> end;
    std::unique_ptr<Exchange> exchange;
    exchange = pool.Send({.uri = "/"}, {.head = [](const AnswerHead&) {},
                                        .data =
                                            [&](evbuffer* data) {
                                              evbuffer_drain(data, evbuffer_get_length(data));
                                              exchange->PauseReading();
                                            },
                                        .done = [&](ExchangeResult e) { end = e; }});
    ASSERT_TRUE(RunUntil(
        loop, [&] { return end.has_value(); }, std::chrono::milliseconds(1'000)))
        << "request " << i;
    EXPECT_EQ(*end, ExchangeResult::kComplete);
  }
  EXPECT_EQ(pool.connections_opened(), 1U);
}

}  // namespace
}  // namespace guavatrail
