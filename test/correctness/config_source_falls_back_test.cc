// Guards against a node that stays with a source of the configuration that has gone silent or
// stale, and against all nodes watching the platform where one in a data centre is enough.
#include <gtest/gtest.h>

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
  policy.SetCandidates(fleet);
  return policy;
}

TEST(ConfigSourceFallsBack, OneNodeOfADataCentreWatches) {
  std::vector<Candidate> fleet = Fleet(50);
  int watchers = 0;
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    watchers += policy.is_watcher() ? 1 : 0;
    if (policy.is_watcher()) continue;
    ConfigSource source = policy.SourceAt(0);
    ASSERT_TRUE(std::holds_alternative<FromNode>(source));
    EXPECT_TRUE(std::get<FromNode>(source).node.starts_with(self.data_centre));
  }
  EXPECT_EQ(watchers, 3);
}

TEST(ConfigSourceFallsBack, ASilentWatcherIsReplacedByThatOfAnotherDataCentreThenThePlatform) {
  std::vector<Candidate> fleet = Fleet(5);
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    if (policy.is_watcher()) continue;
    std::string first = std::get<FromNode>(policy.SourceAt(0)).node;
    policy.Failed(first, 0);
    std::string second = std::get<FromNode>(policy.SourceAt(0)).node;
    EXPECT_FALSE(second.starts_with(self.data_centre));
    policy.Failed(second, 0);
    EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
    EXPECT_EQ(policy.SourceAt(5 * kSecondUs), ConfigSource(FromNode{first}));
  }
}

TEST(ConfigSourceFallsBack, AStaleConfirmationIsAFailure) {
  std::vector<Candidate> fleet = Fleet(5);
  for (const Candidate& self : fleet) {
    ConfigSourcePolicy policy = PolicyOf(self, fleet);
    if (policy.is_watcher()) continue;
    std::string first = std::get<FromNode>(policy.SourceAt(0)).node;
    policy.Answered(first, kSecondUs / 2, 0);
    EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromNode{first}));
    policy.Answered(first, kSecondUs + 1, 0);
    EXPECT_NE(policy.SourceAt(0), ConfigSource(FromNode{first}));
  }
}

TEST(ConfigSourceFallsBack, ANodeAloneWatches) {
  ConfigSourcePolicy policy = PolicyOf({"a", "braga"}, {});
  EXPECT_EQ(policy.SourceAt(0), ConfigSource(FromPlatform{}));
  policy.SetCandidates({{"a", "braga"}});
  EXPECT_TRUE(policy.is_watcher());
}

}  // namespace
}  // namespace guavatrail
