// Checks that a call on a connection that has gone silent fails soon, and that slow requests that
// are still in progress are not cancelled.
#include "entry_fixture.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecondUs = 1'000'000;
// 1 s of silence, 1 s for the probe, 0.25 s grace period, and a margin.
constexpr int64_t kMaxDetectionUs = 3 * kSecondUs;

class SilentConnectionIsFound : public EntryFixture {
 protected:
  static bool IsProbe(const std::string& request) {
    return request.starts_with("GET /guavatrail/v1/request/");
  }

  // Starts with a node that does not answer calls and answers probes with `probe`; if it is
  // empty, probes are not answered either.
  void StartSilentNode(const std::string& probe) {
    AddFakeNode([probe](FakeConnection& c, const std::string& request) {
      if (IsProbe(request) && !probe.empty()) c.Send(probe);
    });
    Start();
  }
};

TEST_F(SilentConnectionIsFound, WhenTheNodeDoesNotKnowTheRequest) {
  StartSilentNode(MakeAnswer(404, ""));
  int64_t start_us = EventLoop::NowUs();
  auto client = SendAndWait("POST", "/notes/1");
  EXPECT_EQ(client->status(), 502);
  EXPECT_LT(EventLoop::NowUs() - start_us, kMaxDetectionUs);
  EXPECT_EQ(m_metrics.GetCounter("silent_connections_total").value(), 1U);
}

TEST_F(SilentConnectionIsFound, WhenTheNodeDoesNotAnswerTheProbe) {
  StartSilentNode("");
  int64_t start_us = EventLoop::NowUs();
  auto client = SendAndWait("POST", "/notes/1");
  EXPECT_EQ(client->status(), 502);
  EXPECT_GT(EventLoop::NowUs() - start_us, kSecondUs);
  EXPECT_LT(EventLoop::NowUs() - start_us, kMaxDetectionUs);
}

TEST_F(SilentConnectionIsFound, WhenTheAnswerWasWrittenButNotReceived) {
  // The node reports 4096 written bytes; none have arrived.
  StartSilentNode(MakeAnswer(200, "4096"));
  int64_t start_us = EventLoop::NowUs();
  auto client = SendAndWait("POST", "/notes/1");
  EXPECT_EQ(client->status(), 502);
  EXPECT_LT(EventLoop::NowUs() - start_us, kMaxDetectionUs);
}

TEST_F(SilentConnectionIsFound, LookupIsRetriedOnAnotherNode) {
  StartSilentNode(MakeAnswer(404, ""));
  AddServer([](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "spring")); });
  PublishEndpoints();
  std::vector<std::unique_ptr<FakeClient>> clients;
  clients.reserve(6);
  for (int i = 0; i < 6; ++i) clients.push_back(Send("GET", "/pecas/" + std::to_string(i)));
  int64_t start_us = EventLoop::NowUs();
  for (auto& client : clients) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
    EXPECT_EQ(client->body(), "spring");
  }
  EXPECT_LT(EventLoop::NowUs() - start_us, kMaxDetectionUs);
  EXPECT_GE(m_servers[0]->requests.size(), 1U);
}

TEST_F(SilentConnectionIsFound, SlowRequestInProgressIsKept) {
  FakeConnection* connection = nullptr;
  Server& server = AddServer([&](FakeConnection& c, const std::string&) { connection = &c; });
  Start();
  auto client = Send("POST", "/notes/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return connection != nullptr; }));
  RunFor(m_loop, std::chrono::milliseconds(2700));
  EXPECT_FALSE(connection->peer_closed());
  connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nspr");
  RunFor(m_loop, std::chrono::milliseconds(1600));
  connection->Send("ing");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->body(), "spring");
  EXPECT_EQ(server.requests.size(), 1U);
  EXPECT_EQ(m_metrics.GetCounter("silent_connections_total").value(), 0U);
}

}  // namespace
}  // namespace guavatrail
