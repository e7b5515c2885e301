// Guards against a node on a congested link that discards late answers with the configuration, and
// then repeatedly requests whole configurations over that link, none of which arrives in time.
#include <gtest/gtest.h>

#include <list>

#include "config_codec.h"
#include "config_relay.h"
#include "config_relay_fixture.h"
#include "fake_server.h"
#include "http_query.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr std::chrono::milliseconds kLateAnswer{1'200};

// A follower on a slow link, and a watcher whose answers take `kLateAnswer`.
class ConfigRelayLateAnswer : public testing::Test {
 protected:
  ConfigRelayLateAnswer()
      : m_watcher(m_loop,
                  [this](FakeConnection& c, const std::string& request) {
                    m_last_request = request;
                    AnswerLater(c.number());
                  }),
        m_peers(m_loop, ""),
        m_relay(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                {.on_newer_table =
                     [this](auto table) {
                       m_adopted = table->version();
                       m_relay.SetTable(std::move(table));
                     },
                 .watch_platform = [this](bool on) { m_watches_platform = on; }}) {
    m_relay.SetTable(MakeTable(1));
    m_relay.OnPlatformConfirmation();
    m_relay.Start();
    m_relay.SetEndpoints(MakeSourceEndpoints(m_watcher.port()));
  }

  void AnswerLater(int connection) {
    ++m_requests;
    m_timers.push_back(std::make_unique<Timer>(m_loop, [this, connection] {
      std::string body = EncodeTable(*MakeTable(m_watcher_version));
      std::string answer =
          "HTTP/1.1 200 OK\r\nX-Guavatrail-Config-Version: " + std::to_string(m_watcher_version) +
          "\r\nX-Guavatrail-Config-Age-Ms: 10\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n";
      FakeConnection* c = m_watcher.Find(connection);
      if (c != nullptr) c->Send(answer + body);
    }));
    m_timers.back()->Start(kLateAnswer);
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  uint64_t m_watcher_version = 1;
  uint64_t m_adopted = 0;
  bool m_watches_platform = false;
  int m_requests = 0;
  std::string m_last_request;
  std::list<std::unique_ptr<Timer>> m_timers;
  FakeServer m_watcher;
  PeerClient m_peers;
  ConfigRelay m_relay;
};

TEST_F(ConfigRelayLateAnswer, ChangeInALateAnswerIsUsed) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_requests == 1; }, std::chrono::milliseconds(2'000)));
  m_watcher_version = 2;
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == 2; }, std::chrono::milliseconds(1'800)));
}

TEST_F(ConfigRelayLateAnswer, SlowSourceIsRetriedInsteadOfThePlatform) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_requests == 1; }, std::chrono::milliseconds(2'000)));
  RunFor(m_loop, kLateAnswer + std::chrono::milliseconds(1'500));
  EXPECT_GE(m_requests, 2);
  m_watcher_version = 3;
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == 3; }, std::chrono::milliseconds(2'500)));
}

TEST_F(ConfigRelayLateAnswer, RequestAfterLostSourceDoesNotLongPoll) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_requests == 2; }, std::chrono::milliseconds(6'000)));
  EXPECT_NE(m_last_request.find("X-Guavatrail-Config-Wait-Ms: 0\r\n"), std::string::npos);
}

TEST_F(ConfigRelayLateAnswer, TimeoutDoesNotEndAnAnswerInProgress) {
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    for (int i = 1; i <= 6; ++i) {
      m_timers.push_back(std::make_unique<Timer>(m_loop, [&c] { c.Send("x"); }));
      m_timers.back()->Start(i * std::chrono::milliseconds(60));
    }
  });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port(), .max_connections = 1});
  std::optional<HttpReply> reply;
  bool is_done = false;
  HttpQuery query(m_loop, pool, {.method = EVHTTP_REQ_GET, .uri = "/"},
                  std::chrono::milliseconds(150), [&](std::optional<HttpReply> r) {
                    reply = std::move(r);
                    is_done = true;
                  });
  ASSERT_TRUE(RunUntil(m_loop, [&] { return is_done; }));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->body, "xxxxxx");
}

TEST_F(ConfigRelayLateAnswer, StalledAnswerTimesOut) {
  FakeServer server(m_loop, [&](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nx");
  });
  ConnectionPool pool(m_loop, {.ip = "127.0.0.1", .port = server.port(), .max_connections = 1});
  bool is_done = false;
  HttpQuery query(m_loop, pool, {.method = EVHTTP_REQ_GET, .uri = "/"},
                  std::chrono::milliseconds(150), [&](const std::optional<HttpReply>& r) {
                    EXPECT_FALSE(r);
                    is_done = true;
                  });
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return is_done; }, std::chrono::milliseconds(600)));
}

}  // namespace
}  // namespace guavatrail
