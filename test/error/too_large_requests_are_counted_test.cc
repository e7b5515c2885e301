// Guards against limits on the size of requests that refuse without a trace in the metrics.
#include <gtest/gtest.h>

#include "fake_server.h"
#include "http_listener.h"
#include "pending_replies.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class TooLargeRequests : public testing::Test {
 protected:
  TooLargeRequests() {
    m_listener.SetLimits({.max_head_bytes = 1'000, .max_body_bytes = 1'000});
    m_listener.SetMetrics(m_metrics, "test");
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
  }

  int StatusOf(const std::string& request) {
    FakeClient client(m_loop, m_listener.port());
    client.Send(request);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
    return client.status();
  }
  uint64_t Counted() {
    return m_metrics.GetCounter("requests_too_large_total", "port=\"test\"").value();
  }

  EventLoop m_loop;
  Metrics m_metrics;
  PendingReplies m_replies{m_loop};
  HttpListener m_listener{
      m_loop, [this](auto request) { m_replies.Reply(std::move(request), kHttpOk, {}); }};
};

TEST_F(TooLargeRequests, AreCounted) {
  EXPECT_EQ(StatusOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"), 413);
  EXPECT_EQ(Counted(), 1U);
  EXPECT_EQ(StatusOf("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'x') + "\r\n\r\n"), 431);
  EXPECT_EQ(Counted(), 2U);
}

TEST_F(TooLargeRequests, OthersAreNotCounted) {
  StatusOf("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(StatusOf("GET / HTTP/9.1\r\n\r\n") / 100, 4);
  EXPECT_EQ(Counted(), 0U);
}

}  // namespace
}  // namespace guavatrail
