// Checks that a node buffers only a bounded part of an answer while its caller reads slowly.
#include <gtest/gtest.h>

#include "fake_server.h"
#include "relay_proxy.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr size_t kAnswerBytes = 50'000'000;
constexpr size_t kBound = 262'144;

class StreamRelayBoundsMemory : public testing::TestWithParam<bool> {
 protected:
  // Sends the answer only as fast as the connection accepts it, so that the fake server buffers
  // little of it.
  void SendMore(FakeConnection& connection) {
    constexpr size_t kPart = 65'536;
    while (m_sent < kAnswerBytes && connection.unsent_bytes() < kPart) {
      size_t n = std::min(kPart, kAnswerBytes - m_sent);
      connection.Send(std::string(n, 'a'));
      m_sent += n;
      if (m_sent == kAnswerBytes && GetParam()) connection.Send("\r\n0\r\n\r\n");
    }
  }

  std::string Head() const {
    char size[32];
    snprintf(size, sizeof(size), "%zx", kAnswerBytes);
    // A single chunk is the worst case for a parser that buffers chunks.
    return GetParam()
               ? std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size +
                     "\r\n"
               : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n";
  }

  EventLoop m_loop;
  size_t m_sent = 0;
};

TEST_P(StreamRelayBoundsMemory, WhileTheCallerReadsSlowly) {
  FakeConnection* connection = nullptr;
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
    connection = &c;
    c.Send(Head());
  });
  RelayProxy proxy(m_loop, server.port());
  FakeClient client(m_loop, proxy.port());
  client.Send("GET /manual.pdf HTTP/1.1\r\nHost: a\r\n\r\n");
  client.PauseReading();
  size_t largest = 0;
  auto step = [&] {
    if (connection != nullptr) SendMore(*connection);
    if (proxy.calls.empty()) return false;
    largest = std::max(largest, proxy.calls[0]->downstream->UnsentBytes());
    return true;
  };
  // While the caller does not read, the transfer stops once the socket buffers are full.
  size_t before = 1;
  while (before != m_sent || m_sent == 0) {
    before = m_sent;
    RunUntil(
        m_loop, [&] { return step() && false; }, std::chrono::milliseconds(100));
  }
  EXPECT_LT(m_sent, kAnswerBytes);
  EXPECT_TRUE(proxy.calls[0]->exchange->is_paused());
  client.ResumeReading();
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return step() && proxy.calls[0]->end_count > 0; }, std::chrono::seconds(30)));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.received().size() >= kAnswerBytes; }));
  // Each call of HasCompleteAnswer() decodes up to 50 MB, which is slow on a busy machine.
  RunUntil(
      m_loop, [&] { return client.HasCompleteAnswer(); }, std::chrono::seconds(30));
  EXPECT_EQ(client.body().size(), kAnswerBytes);
  EXPECT_LT(largest, kBound);
  EXPECT_GT(largest, 0U);
}

INSTANTIATE_TEST_SUITE_P(Framing, StreamRelayBoundsMemory, testing::Bool());

}  // namespace
}  // namespace guavatrail
