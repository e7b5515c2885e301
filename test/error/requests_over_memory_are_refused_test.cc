// Checks that a listener refuses as not run what does not fit in the memory of the process, and
// releases it at once. Guards against clients that exhaust the memory of a node.
#include <gtest/gtest.h>

#include "downstream_request.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

// A VM of 1 MB has a budget of 500,000 bytes, of which 437,500 are for large requests.
constexpr int64_t kMemoryMb = 1;
constexpr char kGet[] = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

class RequestsOverMemory : public testing::Test {
 protected:
  RequestsOverMemory() : m_memory(std::make_shared<RequestMemory>(kMemoryMb, m_metrics)) {
    m_listener.SetMemory(m_memory);
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
  }
  ~RequestsOverMemory() override {
    m_requests.clear();
    m_memory->DetachMetrics();
  }

  std::unique_ptr<FakeClient> Send(const std::string& text) {
    auto client = std::make_unique<FakeClient>(m_loop, m_listener.port());
    client->Send(text);
    return client;
  }
  // Sends a POST that announces `length` bytes, of which `sent` follow.
  std::unique_ptr<FakeClient> SendPart(size_t length, size_t sent) {
    return Send("POST /1 HTTP/1.1\r\nHost: a\r\nX-Guavatrail-Request-Id: id-1\r\nContent-Length: " +
                std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x'));
  }
  bool WaitForHeld(int64_t low, int64_t high) {
    return RunUntil(
        m_loop, [&] { return m_memory->held_bytes() >= low && m_memory->held_bytes() <= high; });
  }
  void ExpectRefused(FakeClient& client) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
    EXPECT_EQ(client.status(), 503);
    EXPECT_EQ(client.header("X-Guavatrail-Outcome"), "not-run");
    EXPECT_EQ(client.header("X-Guavatrail-Reason"), "memory");
    EXPECT_EQ(client.header("Retry-After"), "1");
    EXPECT_EQ(client.header("Connection"), "close");
  }
  double Refused(const std::string& reason) {
    return static_cast<double>(
        m_metrics.GetCounter("memory_refused_total", "reason=\"" + reason + "\"").value());
  }

  EventLoop m_loop;
  Metrics m_metrics;
  std::vector<std::unique_ptr<DownstreamRequest>> m_requests;
  HttpListener m_listener{m_loop, [this](auto r) { m_requests.push_back(std::move(r)); }};
  std::shared_ptr<RequestMemory> m_memory;
};

TEST_F(RequestsOverMemory, BodyThatDoesNotFitIsRefused) {
  auto first = SendPart(300'000, 299'999);
  ASSERT_TRUE(WaitForHeld(299'999, 340'000));
  auto second = SendPart(300'000, 300'000);
  ExpectRefused(*second);
  // An entry node recognizes the refusal as the answer to its request.
  EXPECT_EQ(second->header("X-Guavatrail-Request-Id"), "id-1");
  EXPECT_TRUE(WaitForHeld(299'999, 340'000));
  EXPECT_EQ(Refused("no_space"), 1);
  first->Send("x");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 1; }));
  EXPECT_EQ(*m_requests[0]->body(), std::string(300'000, 'x'));
}

TEST_F(RequestsOverMemory, StalledBodyMakesRoom) {
  auto first = SendPart(300'000, 299'999);
  ASSERT_TRUE(WaitForHeld(299'999, 340'000));
  RunFor(m_loop, std::chrono::milliseconds(1'050));
  auto second = SendPart(300'000, 300'000);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 1; }));
  ExpectRefused(*first);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->closed_by_peer(); }));
  EXPECT_EQ(Refused("evicted"), 1);
}

TEST_F(RequestsOverMemory, AnnouncedLengthThatNeverFitsIsRefusedAtOnce) {
  auto client = SendPart(500'000, 0);
  ExpectRefused(*client);
  EXPECT_EQ(Refused("too_large"), 1);
}

TEST_F(RequestsOverMemory, ChunkedBodyWithoutEndIsCut) {
  auto client = Send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) client->Send("8000\r\n" + std::string(0x8000, 'x') + "\r\n");
  ExpectRefused(*client);
  for (int i = 0; i < 20; ++i) client->Send("8000\r\n" + std::string(0x8000, 'x') + "\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_EQ(m_memory->held_bytes(), 0);
  EXPECT_TRUE(m_requests.empty());
}

// Each header takes more memory than its text.
TEST_F(RequestsOverMemory, HeadOfManyShortHeadersCounts) {
  std::string headers;
  for (int i = 0; i < 6'000; ++i) headers += "a:\r\n";
  auto client = Send("GET /1 HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
  ExpectRefused(*client);
}

TEST_F(RequestsOverMemory, CompleteRequestCountsUntilItEnds) {
  auto client = SendPart(300'000, 300'000);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 1; }));
  EXPECT_GE(m_memory->held_bytes(), 300'000);
  ExpectRefused(*SendPart(300'000, 300'000));
  auto small = Send(kGet);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 2; }));
  m_requests.clear();
  EXPECT_TRUE(WaitForHeld(0, 0));
  EXPECT_EQ(m_metrics.GetGauge("request_bytes_held").value(), 0);
}

// The requests that were read ahead are never run, and the connection closes after the answer.
TEST_F(RequestsOverMemory, ReadAheadThatDoesNotFitIsDiscarded) {
  auto client = Send(kGet);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 1; }));
  auto other = SendPart(420'000, 420'000);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 2; }));
  std::string text;
  while (text.size() < 70'000) text += kGet;
  client->Send(text);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return Refused("no_space") > 0; }));
  m_requests[0]->Reply(200, {}, "done");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_EQ(client->header("Connection"), "close");
  EXPECT_EQ(client->body(), "done");
  EXPECT_EQ(m_requests.size(), 2U);
}

// Until then the answer may still be read, and new requests are refused.
TEST_F(RequestsOverMemory, AnswerThatIsNotReadForFiveSecondsIsCutOff) {
  auto client = Send(kGet);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 1; }));
  client->PauseReading();
  bool has_ended = false;
  m_requests[0]->SetEndHandler([&](bool written) { has_ended = !written; });
  std::string body;
  body.resize(20'000'000, 'x');
  m_requests[0]->Reply(200, {}, body);
  RunFor(m_loop, std::chrono::milliseconds(200));
  EXPECT_TRUE(m_requests[0]->is_memory_short());
  ExpectRefused(*Send(kGet));
  RunFor(m_loop, std::chrono::milliseconds(5'200));
  auto other = Send(kGet);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests.size() == 2; }));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return has_ended; }));
  EXPECT_LT(m_memory->held_bytes(), 100'000);
}

// libevent may free buffers that refer to a body after the node has ended.
TEST_F(RequestsOverMemory, BodyMayOutliveTheMetrics) {
  auto metrics = std::make_unique<Metrics>();
  auto memory = std::make_shared<RequestMemory>(kMemoryMb, *metrics);
  auto body = HoldBody(memory, "body", 0);
  memory->DetachMetrics();
  metrics.reset();
  memory.reset();
  EXPECT_EQ(*body, "body");
  body.reset();
}

}  // namespace
}  // namespace guavatrail
