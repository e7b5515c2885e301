// Guards against a node on a full link that throws away answers with the configuration because they
// are late, and then reads whole configurations over that link until none arrives in time.
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

// A follower on a thin link, and a watcher whose answers take `kLateAnswer`.
class LateConfigAnswersCount : public testing::Test {
 protected:
  LateConfigAnswersCount()
      : m_watcher(m_loop,
                  [this](FakeConnection& c, const std::string& question) {
                    m_last_question = question;
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
    std::vector<Endpoint> endpoints(2);
    endpoints[0] = {.node = "node-1", .data_centre = "braga", .link_mbps = 7};
    endpoints[1] = {.node = "node-2", .data_centre = "braga", .ip = "127.0.0.1"};
    endpoints[1].link_mbps = 140;
    endpoints[1].peer_port = m_watcher.port();
    m_relay.SetEndpoints(std::make_shared<const EndpointList>(std::move(endpoints)));
  }

  void AnswerLater(int connection) {
    ++m_questions;
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
  int m_questions = 0;
  std::string m_last_question;
  std::list<std::unique_ptr<Timer>> m_timers;
  FakeServer m_watcher;
  PeerClient m_peers;
  ConfigRelay m_relay;
};

TEST_F(LateConfigAnswersCount, AChangeIsTakenFromALateAnswer) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_questions == 1; }, std::chrono::milliseconds(2'000)));
  m_watcher_version = 2;
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == 2; }, std::chrono::milliseconds(1'800)));
}

TEST_F(LateConfigAnswersCount, ASlowSourceIsAskedAgainInPlaceOfThePlatform) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_questions == 1; }, std::chrono::milliseconds(2'000)));
  RunFor(m_loop, kLateAnswer + std::chrono::milliseconds(1'500));
  EXPECT_GE(m_questions, 2);
  m_watcher_version = 3;
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == 3; }, std::chrono::milliseconds(2'500)));
}

TEST_F(LateConfigAnswersCount, AfterALostSourceTheNextQuestionDoesNotWait) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_questions == 2; }, std::chrono::milliseconds(6'000)));
  EXPECT_NE(m_last_question.find("X-Guavatrail-Config-Wait-Ms: 0\r\n"), std::string::npos);
}

TEST_F(LateConfigAnswersCount, ALargeAnswerMayTakeLongerThanItsTimeoutWhileItArrives) {
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

TEST_F(LateConfigAnswersCount, ButASilentAnswerEndsAtItsTimeout) {
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
