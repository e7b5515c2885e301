// Guards against a node that serves an older configuration than other nodes have, because it
// started while the platform had come back from an older copy.
#include <gtest/gtest.h>

#include "config_codec.h"
#include "config_relay.h"
#include "config_relay_fixture.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr uint64_t kOlder = 1;
constexpr uint64_t kNewer = 5;

// node-1, which watches the platform, and node-2, a node of another data centre.
class ConfigRelayNewerTable : public testing::Test {
 protected:
  ConfigRelayNewerTable()
      : m_other(m_loop, [this](FakeConnection& c, const std::string&) { Answer(c); }),
        m_peers(m_loop, ""),
        m_relay(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                {.on_newer_table =
                     [this](auto table) {
                       m_adopted = table->version();
                       m_relay.SetTable(std::move(table));
                     },
                 .watch_platform = [](bool) {}}),
        m_listener(m_loop, [this](auto request) { m_relay.HandleRequest(std::move(request)); }) {
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
    std::vector<Endpoint> endpoints(2);
    endpoints[0] = {.node = "node-1", .data_centre = "braga", .ip = "127.0.0.1"};
    endpoints[1] = {.node = "node-2", .data_centre = "faro", .ip = "127.0.0.1"};
    endpoints[1].peer_port = m_other.port();
    m_relay.SetEndpoints(std::make_shared<const EndpointList>(std::move(endpoints)));
  }

  // Answers as a node with version m_other_version.
  void Answer(FakeConnection& connection) {
    ++m_requests;
    std::string headers = "X-Guavatrail-Config-Version: " + std::to_string(m_other_version) +
                          "\r\nX-Guavatrail-Config-Age-Ms: 10\r\n";
    if (m_other_version <= kOlder) {
      connection.Send("HTTP/1.1 304 Not Modified\r\n" + headers + "\r\n");
      return;
    }
    connection.Send(MakeAnswer(200, EncodeTable(*MakeTable(m_other_version)), headers));
  }

  void StartWithOlderTableOfThePlatform() {
    m_relay.Start();
    m_relay.SetTable(MakeTable(kOlder));
    m_relay.OnPlatformConfirmation();
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  uint64_t m_other_version = kNewer;
  uint64_t m_adopted = 0;
  int m_requests = 0;
  FakeServer m_other;
  PeerClient m_peers;
  ConfigRelay m_relay;
  HttpListener m_listener;
};

TEST_F(ConfigRelayNewerTable, StartingNodeAsksOthers) {
  StartWithOlderTableOfThePlatform();
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == kNewer; }, std::chrono::milliseconds(1'500)));
}

TEST_F(ConfigRelayNewerTable, StartingNodeAsksAtMostThreeTimes) {
  m_other_version = kOlder;
  StartWithOlderTableOfThePlatform();
  RunFor(m_loop, std::chrono::milliseconds(2'500));
  EXPECT_EQ(m_requests, 3);
}

TEST_F(ConfigRelayNewerTable, SourceAsksItsFollower) {
  m_relay.SetTable(MakeTable(kOlder));
  m_relay.OnPlatformConfirmation();
  m_relay.Start();
  auto follower = std::make_unique<FakeClient>(m_loop, m_listener.port());
  follower->Send(
      "GET /guavatrail/v1/config HTTP/1.1\r\nHost: a\r\nX-Guavatrail-Config-Wait-Ms: 500\r\n"
      "X-Guavatrail-Config-Asker: node-2\r\nX-Guavatrail-Config-Version: 5\r\n\r\n");
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_adopted == kNewer; }, std::chrono::milliseconds(500)));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return follower->HasCompleteAnswer(); }));
  EXPECT_EQ(follower->status(), 304);
}

}  // namespace
}  // namespace guavatrail
