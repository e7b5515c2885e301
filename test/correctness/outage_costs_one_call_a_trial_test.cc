// Guards against a fleet that calls a platform which is down several times for each trial: hundreds
// of followers whose watchers were stale did so at once.
#include <gtest/gtest.h>

#include "config_relay.h"
#include "config_relay_fixture.h"
#include "fake_server.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

// As ObjectWatcher pauses at first after a call that failed.
constexpr std::chrono::milliseconds kCallPause{50};

// A follower of four watchers that are stale, beside a platform that refuses each call.
class FollowerInAnOutage : public testing::Test {
 protected:
  FollowerInAnOutage()
      : m_sources(m_loop, &SendStaleAnswer),
        m_peers(m_loop, ""),
        m_relay(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                {.on_newer_table = [](auto) {}, .watch_platform = [this](bool on) { Follow(on); }},
                {.nodes_per_watcher = 1}),
        m_call(m_loop, [this] { Call(); }) {
    m_relay.SetTable(MakeTable(1));
    std::vector<Endpoint> endpoints(5);
    int number = 0;
    for (Endpoint& endpoint : endpoints) {
      endpoint.node = "node-" + std::to_string(++number);
      endpoint.data_centre = "centre-" + std::to_string(number);
      endpoint.ip = "127.0.0.1";
      endpoint.link_mbps = number == 1 ? 7 : 140;
      endpoint.peer_port = m_sources.port();
    }
    m_relay.SetEndpoints(std::make_shared<const EndpointList>(std::move(endpoints)));
    m_relay.Start();
  }

  void Follow(bool on) {
    m_is_following = on;
    if (!on) return;
    ++m_trials;
    m_call.Start(std::chrono::milliseconds(0));
  }
  void Call() {
    if (!m_is_following) return;
    ++m_calls;
    m_call.Start(kCallPause);
    if (m_platform_answers) {
      m_relay.OnPlatformConfirmation();
    } else {
      m_relay.OnPlatformFailure();
    }
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  bool m_platform_answers = false;
  bool m_is_following = false;
  int m_trials = 0;
  int m_calls = 0;
  FakeServer m_sources;
  PeerClient m_peers;
  ConfigRelay m_relay;
  Timer m_call;
};

TEST_F(FollowerInAnOutage, GivesUpATrialAtItsFirstFailure) {
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_trials == 2; }, std::chrono::milliseconds(15'000)));
  RunFor(m_loop, std::chrono::milliseconds(200));
  EXPECT_FALSE(m_is_following);
  EXPECT_LE(m_calls, m_trials);
}

// The watchers may be cut off from a platform that answers this node and fails one call.
TEST_F(FollowerInAnOutage, StaysWithAPlatformThatAnsweredAMomentAgo) {
  m_platform_answers = true;
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return m_calls == 3; }, std::chrono::milliseconds(8'000)));
  m_relay.OnPlatformFailure();
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_TRUE(m_is_following);
  EXPECT_EQ(m_trials, 1);
}

}  // namespace
}  // namespace guavatrail
