// Guards against a source that sends its whole table to all requesters at the same time, and
// against a follower that treats a referral to another node as a failure of its source.
#include <gtest/gtest.h>

#include "config_codec.h"
#include "config_relay.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr uint64_t kVersion = 7;

// Large enough that TableReferrals sends no more than its minimum of two tables in parallel.
std::shared_ptr<const ConfigTable> LargeTable() {
  std::vector<Resource> resources = {Service{.name = "catalogo"}, WorkKind{.name = "lookup"}};
  for (int i = 0; i < 9'000; ++i) {
    Route route;
    route.name = "route-" + std::to_string(i);
    route.path_prefix = "/a-rather-long-path-of-a-route/" + std::to_string(i) + "/";
    route.service = "catalogo";
    route.work = "lookup";
    resources.emplace_back(route);
  }
  return std::make_shared<const ConfigTable>(*ConfigTable::FromResources(kVersion, resources));
}

Endpoint EndpointAt(const std::string& node, uint16_t port, double link_mbps) {
  Endpoint endpoint{.node = node, .data_centre = "braga", .ip = "127.0.0.1"};
  endpoint.peer_port = port;
  endpoint.link_mbps = link_mbps;
  return endpoint;
}

class ConfigRelayReferral : public testing::Test {
 protected:
  // Starts `m_holder`, a node that has the large table.
  ConfigRelayReferral()
      : m_peers(m_loop, ""),
        m_holder(m_loop, {"node-3", "braga"}, m_peers, m_metrics, m_random,
                 {.on_newer_table = [](auto) {}, .watch_platform = [](bool) {}}),
        m_listener(m_loop, [this](auto request) { m_holder.HandleRequest(std::move(request)); }) {
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
    m_holder.OnPlatformConfirmation();
    m_holder.SetTable(LargeTable());
  }

  std::unique_ptr<FakeClient> SendRequest(const std::string& requester, uint64_t known) {
    auto client = std::make_unique<FakeClient>(m_loop, m_listener.port());
    client->Send("GET /guavatrail/v1/config HTTP/1.1\r\nHost: a\r\nX-Guavatrail-Config-Wait-Ms: " +
                 std::string("0\r\nX-Guavatrail-Config-Asker: ") + requester +
                 "\r\nX-Guavatrail-Config-Version: " + std::to_string(known) + "\r\n\r\n");
    return client;
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  PeerClient m_peers;
  ConfigRelay m_holder;
  HttpListener m_listener;
};

TEST_F(ConfigRelayReferral, ThirdRequesterIsReferredToAnotherHolder) {
  m_holder.SetEndpoints(std::make_shared<const EndpointList>(std::vector<Endpoint>{
      EndpointAt("node-2", 1, 100), EndpointAt("node-3", 2, 100), EndpointAt("node-4", 3, 10)}));
  for (const char* node : {"node-2", "node-4"}) {
    auto client = SendRequest(node, kVersion);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client->status() == 304; }));
  }
  auto first = SendRequest("node-5", 0);
  auto second = SendRequest("node-6", 0);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->status() != 0 && second->status() != 0; }));
  auto third = SendRequest("node-7", 0);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return third->HasCompleteAnswer(); }));
  EXPECT_EQ(first->status(), 200);
  EXPECT_EQ(second->status(), 200);
  EXPECT_EQ(third->status(), 503);
  // The link of node-4 is too slow to serve tables.
  EXPECT_EQ(third->header("X-Guavatrail-Config-Holder"), "node-2");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return first->HasCompleteAnswer(); }));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return second->HasCompleteAnswer(); }));
  auto fourth = SendRequest("node-7", 0);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return fourth->status() != 0; }));
  EXPECT_EQ(fourth->status(), 200);
}

// The link of a watcher carries the tables of all its followers, so it must not be a slow one.
TEST_F(ConfigRelayReferral, NodeWithSlowLinkDoesNotWatchThePlatform) {
  for (const char* data_centre : {"aveiro", "beja", "evora", "faro", "leiria", "viseu"}) {
    bool is_watching = false;
    ConfigRelay relay(
        m_loop, {"node-1", data_centre}, m_peers, m_metrics, m_random,
        {.on_newer_table = [](auto) {}, .watch_platform = [&](bool on) { is_watching = on; }});
    std::vector<Endpoint> endpoints = {EndpointAt("node-1", 1, 14), EndpointAt("node-2", 2, 140),
                                       EndpointAt("node-3", 3, 140)};
    endpoints[0].data_centre = data_centre;
    endpoints[1].data_centre = "porto";
    relay.SetEndpoints(std::make_shared<const EndpointList>(std::move(endpoints)));
    relay.Start();
    EXPECT_FALSE(is_watching) << data_centre;
  }
}

// A follower whose source refers it to node `named`.
class ReferredFollower : public ConfigRelayReferral {
 protected:
  void Follow(const std::string& named) {
    m_source = std::make_unique<FakeServer>(m_loop, [this, named](FakeConnection& c, auto&) {
      ++m_requests;
      c.Send("HTTP/1.1 503 Busy\r\nX-Guavatrail-Config-Holder: " + named +
             "\r\nContent-Length: 0\r\n\r\n");
    });
    m_follower = std::make_unique<ConfigRelay>(
        m_loop, Candidate{"node-1", "braga"}, m_peers, m_metrics, m_random,
        ConfigRelay::Callbacks{.on_newer_table =
                                   [this](auto table) {
                                     m_adopted = table->version();
                                     m_follower->SetTable(std::move(table));
                                   },
                               .watch_platform = [this](bool on) { m_watches_platform = on; }});
    m_follower->SetEndpoints(std::make_shared<const EndpointList>(std::vector<Endpoint>{
        EndpointAt("node-1", 1, 10), EndpointAt("node-2", m_source->port(), 100),
        EndpointAt("node-3", m_listener.port(), 10)}));
    m_follower->Start();
  }

  std::unique_ptr<FakeServer> m_source;
  std::unique_ptr<ConfigRelay> m_follower;
  uint64_t m_adopted = 0;
  int m_requests = 0;
  bool m_watches_platform = false;
};

TEST_F(ReferredFollower, FetchesTableFromReferredNode) {
  Follow("node-3");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_adopted == kVersion; }));
  EXPECT_FALSE(m_watches_platform);
  // Later requests go to its own source again.
  int before = m_requests;
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_requests > before; }));
}

TEST_F(ReferredFollower, ReturnsToSourceWhenReferredNodeIsUnknown) {
  Follow("node-9");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_requests >= 3; }));
  EXPECT_FALSE(m_watches_platform);
  // The platform is the last resort.
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_watches_platform; }));
}

TEST_F(ReferredFollower, ReturnsToSourceAfterEmptyReferral) {
  Follow("");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_requests >= 3; }));
  EXPECT_FALSE(m_watches_platform);
}

}  // namespace
}  // namespace guavatrail
