// Guards against a follower with stale sources that leaves a responsive platform: between two
// confirmations of a watch it considered the platform silent, and missed changes for seconds.
#include <gtest/gtest.h>

#include "config_relay.h"
#include "config_relay_fixture.h"
#include "fake_server.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

// A watch confirms the configuration each time it ends, which is after 0.35 of the time in which a
// change must be in force, here 3 s.
constexpr std::chrono::milliseconds kConfirmations{1'050};
constexpr int64_t kMaxAgeUs = 1'500'000;

class StaleSourceFollower : public testing::Test {
 protected:
  StaleSourceFollower()
      : m_source(m_loop, &SendStaleAnswer),
        m_peers(m_loop, ""),
        m_relay(m_loop, {"node-1", "braga"}, m_peers, m_metrics, m_random,
                {.on_newer_table = [](auto) {},
                 .watch_platform =
                     [this](bool on) {
                       m_watches = on;
                       ++m_changes;
                       if (on && m_platform_answers) m_relay.OnPlatformConfirmation();
                     }},
                {.max_age_us = kMaxAgeUs}),
        m_confirmations(m_loop, [this] {
          if (m_watches && m_platform_answers) m_relay.OnPlatformConfirmation();
          m_confirmations.Start(kConfirmations);
        }) {
    m_relay.SetTable(MakeTable(1));
    m_relay.OnPlatformConfirmation();
    m_confirmations.Start(kConfirmations);
    m_relay.SetEndpoints(MakeSourceEndpoints(m_source.port()));
    m_relay.Start();
  }

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{7};
  bool m_platform_answers = true;
  bool m_watches = false;
  int m_changes = 0;
  FakeServer m_source;
  PeerClient m_peers;
  ConfigRelay m_relay;
  Timer m_confirmations;
};

TEST_F(StaleSourceFollower, StaysOnResponsivePlatform) {
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_watches; }));
  int before = m_changes;
  // Shorter than the backoff of a stale source, 4 s.
  RunFor(m_loop, std::chrono::milliseconds(3'500));
  EXPECT_TRUE(m_watches);
  EXPECT_EQ(m_changes, before);
}

// A single stale source is no evidence of an outage, so the follower does not return to it even
// though the platform does not answer.
TEST_F(StaleSourceFollower, StaysOnSilentPlatformWithoutEvidenceOfOutage) {
  m_platform_answers = false;
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_watches; }));
  RunFor(m_loop, std::chrono::milliseconds(3'000));
  EXPECT_TRUE(m_watches);
}

}  // namespace
}  // namespace guavatrail
