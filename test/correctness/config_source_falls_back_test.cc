// Guards against a node that keeps a silent or stale source of the configuration, and against all
// nodes watching the platform where one per data centre is enough.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "config_source.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecondUs = 1'000'000;

std::vector<Candidate> Fleet(int nodes_each) {
  std::vector<Candidate> candidates;
  for (const char* data_centre : {"braga", "faro", "porto"}) {
    for (int i = 0; i < nodes_each; ++i) {
      candidates.push_back({std::string(data_centre) + "-" + std::to_string(i), data_centre});
    }
  }
  return candidates;
}

ConfigSourcePolicy PolicyOf(const Candidate& self, const std::vector<Candidate>& fleet) {
  ConfigSourcePolicy policy(self, {});
  policy.SetCandidates(fleet, fleet.size());
  return policy;
}

std::set<std::string> WatchersOf(const std::vector<Candidate>& fleet) {
  std::set<std::string> watchers;
  for (const Candidate& self : fleet) {
    if (PolicyOf(self, fleet).is_watcher()) watchers.insert(self.node);
  }
  return watchers;
}

TEST(ConfigSourceFallsBack, NumberOfWatchersGrowsWithTheFleet) {
  EXPECT_EQ(WatchersOf(Fleet(5)).size(), 2U);
  EXPECT_EQ(WatchersOf(Fleet(20)).size(), 2U);
  EXPECT_EQ(WatchersOf(Fleet(50)).size(), 3U);
  EXPECT_EQ(WatchersOf(Fleet(200)).size(), 3U);
}

// Guards against only two watchers for hundreds of nodes in a fleet with few fast links: when both
// are stale at the same time, all other nodes turn to the platform.
TEST(ConfigSourceFallsBack, NumberOfWatchersDependsOnFleetSizeNotOnCandidates) {
  std::vector<Candidate> fast = Fleet(4);
  size_t watchers = 0;
  for (const Candidate& self : fast) {
    ConfigSourcePolicy policy(self, {});
    policy.SetCandidates(fast, 300);
    if (policy.is_watcher()) ++watchers;
  }
  EXPECT_EQ(watchers, 3U);
}

TEST(ConfigSourceFallsBack, PrefersLocalWatcherAndOtherwiseSpreads) {
  std::vector<Candidate> fleet = Fleet(20);
  std::set<std::string> watchers = WatchersOf(fleet);
  auto is_local = [](const std::string& node, const Candidate& self) {
    return node.starts_with(self.data_centre);
  };
  std::map<std::string, int> followers_elsewhere;
  for (const Candidate& self : fleet) {
    if (watchers.contains(self.node)) continue;
    ConfigSource source = PolicyOf(self, fleet).SourceAt(0);
    ASSERT_TRUE(std::holds_alternative<FromNode>(source));
    const std::string& node = std::get<FromNode>(source).node;
    EXPECT_TRUE(watchers.contains(node));
    bool has_local = std::any_of(watchers.begin(), watchers.end(),
                                 [&](const std::string& w) { return is_local(w, self); });
    if (has_local) {
      EXPECT_TRUE(is_local(node, self));
    } else {
      ++followers_elsewhere[node];
    }
  }
  ASSERT_EQ(followers_elsewhere.size(), 2U);
  for (const auto& [node, followers] : followers_elsewhere) EXPECT_GE(followers, 4);
}

TEST(ConfigSourceFallsBack, FallsBackToRemoteWatcherThenToPlatform) {
  std::vector<Candidate> fleet = Fleet(5);
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    if (policy.is_watcher()) continue;
    std::string first = std::get<FromNode>(policy.SourceAt(0)).node;
    policy.OnFailure(first, 0);
    std::string second = std::get<FromNode>(policy.SourceAt(0)).node;
    EXPECT_FALSE(second.starts_with(self.data_centre));
    EXPECT_NE(second, first);
    policy.OnFailure(second, 0);
    EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
    EXPECT_EQ(policy.SourceAt(5 * kSecondUs), ConfigSource(FromNode{first}));
  }
}

TEST(ConfigSourceFallsBack, StaleConfirmationCountsAsFailure) {
  std::vector<Candidate> fleet = Fleet(5);
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    if (policy.is_watcher()) continue;
    std::string first = std::get<FromNode>(policy.SourceAt(0)).node;
    policy.OnAnswer(first, kSecondUs / 2, 0, 0.5);
    EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromNode{first}));
    policy.OnAnswer(first, kSecondUs + 1, 0, 0.5);
    EXPECT_NE(policy.SourceAt(0), ConfigSource(FromNode{first}));
  }
}

// A fleet with one watcher in each data centre, so that each follower has several sources.
std::vector<Candidate> LargeFleet() {
  std::vector<Candidate> candidates;
  for (char data_centre = 'a'; data_centre < 'g'; ++data_centre) {
    for (int i = 0; i < 50; ++i) {
      std::string name = "dc-" + std::string(1, data_centre);
      candidates.push_back({name + "-" + std::to_string(i), name});
    }
  }
  return candidates;
}

// Reports each source in turn as responsive but stale; returns the number of sources.
int MakeAllStale(ConfigSourcePolicy& policy, int64_t now_us, double unit) {
  int count = 0;
  for (; count < 10; ++count) {
    ConfigSource source = policy.SourceAt(now_us);
    const auto* node = std::get_if<FromNode>(&source);
    if (node == nullptr || policy.IsBackedOff(node->node, now_us)) break;
    policy.OnAnswer(node->node, 2 * kSecondUs, now_us, unit);
  }
  return count;
}

// Guards against the whole fleet calling an unavailable platform because its watchers are stale.
TEST(ConfigSourceFallsBack, PlatformTrialsInAnOutageAreRareAndSpread) {
  std::vector<Candidate> fleet = LargeFleet();
  constexpr int64_t kOutageUs = 5 * kSecondUs;
  constexpr int64_t kTrialUs = 700'000;
  int trials = 0;
  int first_second = 0;
  int followers = 0;
  for (size_t i = 0; i < fleet.size(); ++i) {
    ConfigSourcePolicy policy = PolicyOf(fleet[i], fleet);
    if (policy.is_watcher()) continue;
    ++followers;
    double unit = static_cast<double>(i) / static_cast<double>(fleet.size());
    for (int64_t now_us = 0; now_us < kOutageUs; now_us += kTrialUs) {
      MakeAllStale(policy, now_us, unit);
      if (policy.SourceAt(now_us) != ConfigSource(FromPlatform{})) continue;
      ++trials;
      if (now_us < kSecondUs) ++first_second;
      policy.OnPlatformFailure(now_us, unit);
    }
  }
  EXPECT_LE(trials, 2 * followers);
  EXPECT_LE(first_second, followers / 2);
}

TEST(ConfigSourceFallsBack, AfterFailedTrialRotatesSourcesUntilOneIsFresh) {
  std::vector<Candidate> fleet = LargeFleet();
  ConfigSourcePolicy policy = PolicyOf(fleet[7], fleet);
  ASSERT_FALSE(policy.is_watcher());
  ASSERT_EQ(MakeAllStale(policy, 0, 0.0), 4);
  ASSERT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
  policy.OnPlatformFailure(0, 0.0);
  std::set<std::string> requested;
  for (int64_t now_us = 1; now_us <= 4; ++now_us) {
    std::string node = std::get<FromNode>(policy.SourceAt(now_us)).node;
    requested.insert(node);
    policy.OnAnswer(node, 2 * kSecondUs, now_us, 0.0);
  }
  EXPECT_EQ(requested.size(), 4U);
  std::string recovered = std::get<FromNode>(policy.SourceAt(5)).node;
  policy.OnAnswer(recovered, 0, 5, 0.0);
  EXPECT_EQ(policy.SourceAt(6), ConfigSource(FromNode{recovered}));
}

// Two watchers that are cut off from the platform must not delay a change.
TEST(ConfigSourceFallsBack, TwoStaleSourcesDoNotIndicateOutage) {
  std::vector<Candidate> fleet = Fleet(5);
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    if (policy.is_watcher()) continue;
    ASSERT_EQ(MakeAllStale(policy, 0, 0.9), 2);
    EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
    // A platform that is briefly slow must not send the node back to the stale sources.
    policy.OnPlatformFailure(kSecondUs, 0.9);
    EXPECT_EQ(policy.SourceAt(kSecondUs), ConfigSource(FromPlatform{}));
  }
}

TEST(ConfigSourceFallsBack, SingleNodeWatches) {
  ConfigSourcePolicy policy = PolicyOf({"a", "braga"}, {});
  EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
  policy.SetCandidates({{"a", "braga"}}, 1);
  EXPECT_TRUE(policy.is_watcher());
}

}  // namespace
}  // namespace guavatrail
