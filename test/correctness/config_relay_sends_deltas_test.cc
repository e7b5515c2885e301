// Guards against sending a whole table over a slow link when the follower needs only the
// difference, and against a difference that leaves the follower with another table than its source.
#include <gtest/gtest.h>

#include "config_codec.h"
#include "config_relay.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

ConfigTable TableWith(uint64_t version, int routes, const std::string& last_service) {
  std::vector<Resource> resources = {Service{.name = "a"}, Service{.name = "b"},
                                     WorkKind{.name = "lookup"}};
  for (int i = 0; i < routes; ++i) {
    Route route;
    route.name = "r-" + std::to_string(i);
    route.path_prefix = "/" + route.name + "/";
    route.service = i + 1 == routes ? last_service : "a";
    route.work = "lookup";
    resources.emplace_back(route);
  }
  return *ConfigTable::FromResources(version, resources);
}

std::shared_ptr<const ConfigTable> Shared(ConfigTable table) {
  return std::make_shared<const ConfigTable>(std::move(table));
}

TEST(ConfigRelaySendsDeltas, DifferenceTurnsOneTableIntoTheOther) {
  ConfigTable before = TableWith(7, 50, "a");
  ConfigTable after = TableWith(12, 49, "b");
  ReleaseNote note = after.ChangeSince(before);
  EXPECT_EQ(note.changed.size(), 1U);
  EXPECT_EQ(note.withdrawn.size(), 1U);
  auto applied = before.Apply(note);
  ASSERT_TRUE(applied) << applied.error().message;
  EXPECT_EQ(applied->AtVersion(12), after);
  EXPECT_EQ(EncodeTable(applied->AtVersion(12)), EncodeTable(after));
}

class ConfigRelayPair : public testing::Test {
 protected:
  ConfigRelayPair()
      : m_peers(m_loop, ""),
        m_source(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                 {.on_newer_table = [](auto) {}, .watch_platform = [](bool) {}}),
        m_follower(m_loop, {"node-2", "braga"}, m_peers, m_metrics, m_random,
                   {.on_newer_table =
                        [this](auto table) {
                          m_adopted = table;
                          m_follower.SetTable(std::move(table));
                        },
                    .watch_platform = [this](bool on) { m_watches_platform = on; }}),
        m_listener(m_loop, [this](auto request) {
          ++m_requests;
          m_source.HandleRequest(std::move(request));
        }) {
    EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0));
    Endpoint endpoint;
    endpoint.node = "node-1";
    endpoint.data_centre = "braga";
    endpoint.ip = "127.0.0.1";
    endpoint.peer_port = m_listener.port();
    m_endpoints = std::make_shared<const EndpointList>(std::vector<Endpoint>{endpoint});
  }

  void Follow(ConfigTable table) {
    m_follower.SetTable(Shared(std::move(table)));
    m_follower.Start();
    m_follower.SetEndpoints(m_endpoints);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return m_requests > 0; }));
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  bool m_watches_platform = false;
  int m_requests = 0;
  std::shared_ptr<const ConfigTable> m_adopted;
  PeerClient m_peers;
  ConfigRelay m_source;
  ConfigRelay m_follower;
  HttpListener m_listener;
  std::shared_ptr<const EndpointList> m_endpoints;
};

TEST_F(ConfigRelayPair, FollowerReachesTheTableOfItsSource) {
  m_source.OnPlatformConfirmation();
  m_source.SetTable(Shared(TableWith(7, 50, "a")));
  Follow(TableWith(7, 50, "a"));
  EXPECT_FALSE(m_watches_platform);
  ConfigTable next = TableWith(9, 60, "b");
  m_source.OnPlatformConfirmation();
  m_source.SetTable(Shared(next));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_adopted != nullptr; }));
  EXPECT_EQ(*m_adopted, next);
}

// Two tables of the same version differ only after a fault. The follower must then not apply the
// source's difference to its own table.
TEST_F(ConfigRelayPair, DifferenceFromAnotherTableIsRejected) {
  m_source.OnPlatformConfirmation();
  m_source.SetTable(Shared(TableWith(7, 50, "a")));
  Follow(TableWith(7, 50, "b"));
  m_source.OnPlatformConfirmation();
  m_source.SetTable(Shared(TableWith(9, 51, "a")));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_watches_platform; }));
  EXPECT_EQ(m_adopted, nullptr);
}

}  // namespace
}  // namespace guavatrail
