// Guards against a crash when a follower disconnects while its request is being answered: the entry
// of the request was removed twice.
#include <gtest/gtest.h>

#include "config_relay.h"
#include "config_relay_fixture.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class ConfigRelayDisconnect : public testing::Test {
 protected:
  ConfigRelayDisconnect()
      : m_peers(m_loop, ""),
        m_relay(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                {.on_newer_table = [](auto) {}, .watch_platform = [](bool) {}}),
        m_listener(m_loop, [this](auto request) { m_relay.HandleRequest(std::move(request)); }) {
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
    m_relay.SetTable(MakeTable(1));
  }

  std::unique_ptr<FakeClient> SendRequest(uint64_t known) {
    auto client = std::make_unique<FakeClient>(m_loop, m_listener.port());
    client->Send("GET /guavatrail/v1/config HTTP/1.1\r\nHost: a\r\nX-Guavatrail-Config-Version: " +
                 std::to_string(known) + "\r\n\r\n");
    return client;
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  PeerClient m_peers;
  ConfigRelay m_relay;
  HttpListener m_listener;
};

TEST_F(ConfigRelayDisconnect, DisconnectDuringTableChange) {
  uint64_t version = 1;
  for (int round = 0; round < 50; ++round) {
    std::vector<std::unique_ptr<FakeClient>> clients;
    clients.reserve(8);
    for (int i = 0; i < 8; ++i) clients.push_back(SendRequest(version));
    RunFor(m_loop, std::chrono::milliseconds(4));
    // The change and the close reach the relay in the same iteration of the loop.
    m_relay.SetTable(MakeTable(++version));
    for (auto& client : clients) client->Close();
    RunFor(m_loop, std::chrono::milliseconds(4));
  }
}

TEST_F(ConfigRelayDisconnect, TableChangeCompletesLongPoll) {
  auto client = SendRequest(1);
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(client->status(), 0);
  m_relay.OnPlatformConfirmation();
  m_relay.SetTable(MakeTable(2));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->status(), 200);
  EXPECT_EQ(client->header("X-Guavatrail-Config-Version"), "2");
  EXPECT_LT(std::stoi(client->header("X-Guavatrail-Config-Age-Ms")), 1000);
}

TEST_F(ConfigRelayDisconnect, ExpiredLongPollReturnsConfirmationAge) {
  auto client = SendRequest(1);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->status() != 0; }));
  EXPECT_EQ(client->status(), 304);
  EXPECT_NE(client->header("X-Guavatrail-Config-Age-Ms"), "");
}

}  // namespace
}  // namespace guavatrail
