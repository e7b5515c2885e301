// Guards against clients that keep all connections of a port with requests that they do not
// complete or answers that they do not read, and so keep other callers out.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr size_t kMaxConnections = 8;
// Longer than the time for which an incomplete request may be without progress.
constexpr std::chrono::milliseconds kStallTime{1'300};
constexpr std::chrono::milliseconds kAnswerStallTime{5'300};
const std::string kRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kHead = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";

class StalledConnections : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(m_listener.Listen("127.0.0.1", 0));
    m_listener.SetMaxConnections(kMaxConnections);
    m_listener.SetMetrics(m_metrics, "test");
  }

  void FillPort(const std::string& text) {
    while (m_clients.size() < kMaxConnections) {
      m_clients.push_back(std::make_unique<FakeClient>(m_loop, m_listener.port()));
      m_clients.back()->Send(text);
    }
    ASSERT_TRUE(RunUntil(m_loop, [this] { return m_listener.connections() == kMaxConnections; }));
  }

  EventLoop m_loop;
  Metrics m_metrics;
  Counter& m_counter = m_metrics.GetCounter("stalled_connections_closed_total", "port=\"test\"");
  std::vector<std::unique_ptr<DownstreamRequest>> m_requests;
  HttpListener m_listener{m_loop, [this](auto r) { m_requests.push_back(std::move(r)); }};
  std::vector<std::unique_ptr<FakeClient>> m_clients;
};

TEST_F(StalledConnections, IncompleteRequestsAreRefusedAsNotRun) {
  FillPort(kHead + "x");
  FakeClient late(m_loop, m_listener.port());
  late.Send(kRequest);
  ASSERT_TRUE(RunUntil(
      m_loop, [this] { return m_requests.size() == 1; }, std::chrono::milliseconds(10'000)));
  FakeClient& first = *m_clients.front();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first.HasCompleteAnswer(); }));
  EXPECT_EQ(first.status(), 503);
  EXPECT_EQ(first.header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(first.header("X-Guavatrail-Reason"), "no_room");
  EXPECT_EQ(first.header("Retry-After"), "1");
  EXPECT_GE(m_counter.value(), 1U);
}

// Single bytes would otherwise keep a connection for as long as the client likes.
TEST_F(StalledConnections, SingleBytesAreNoProgress) {
  FillPort(kHead);
  FakeClient late(m_loop, m_listener.port());
  late.Send(kRequest);
  for (int i = 0; i < 100 && m_requests.empty(); ++i) {
    for (auto& client : m_clients) client->Send("x");
    RunFor(m_loop, std::chrono::milliseconds(100));
  }
  EXPECT_EQ(m_requests.size(), 1U);
}

TEST_F(StalledConnections, UploadInProgressStays) {
  FillPort(kHead);
  FakeClient& upload = *m_clients.front();
  for (int i = 0; i < 6; ++i) {
    upload.Send(std::string(16'384, 'x'));
    RunFor(m_loop, kStallTime / 3);
  }
  EXPECT_FALSE(upload.HasCompleteAnswer());
  EXPECT_TRUE(m_clients.back()->HasCompleteAnswer());
}

TEST_F(StalledConnections, RequestsThatRunStay) {
  FillPort(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [this] { return m_requests.size() == kMaxConnections; }));
  RunFor(m_loop, kStallTime);
  EXPECT_EQ(m_listener.connections(), kMaxConnections);
  EXPECT_EQ(m_counter.value(), 0U);
}

TEST_F(StalledConnections, AnswersThatAreNotReadAreCutOff) {
  FillPort(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [this] { return m_requests.size() == kMaxConnections; }));
  for (auto& client : m_clients) client->PauseReading();
  std::string body;
  body.resize(20'000'000, 'x');
  m_requests.front()->Reply(200, {}, body);
  RunFor(m_loop, kStallTime);
  EXPECT_EQ(m_listener.connections(), kMaxConnections);
  RunFor(m_loop, kAnswerStallTime);
  EXPECT_EQ(m_listener.connections(), kMaxConnections - 1);
  EXPECT_EQ(m_counter.value(), 1U);
}

// A port with room bears slow clients until its own timeouts.
TEST_F(StalledConnections, PortWithRoomClosesNone) {
  FakeClient slow(m_loop, m_listener.port());
  slow.Send(kHead + "x");
  RunFor(m_loop, kStallTime);
  EXPECT_FALSE(slow.HasCompleteAnswer());
  EXPECT_EQ(m_listener.connections(), 1U);
}

}  // namespace
}  // namespace guavatrail
