// Guards against a server that fails requests at once, looks idle for it, and draws the work of its
// service; and against one that breaks off order after order until its health report says so.
#include <gtest/gtest.h>

#include <cstdio>
#include <vector>

#include "failure_rate.h"
#include "placement.h"

namespace guavatrail {
namespace {

constexpr int64_t kMs = 1'000;
constexpr int64_t kServiceUs = 100 * kMs;
constexpr int kServers = 8;

// Eight servers with six slots, of which the first one fails `failing` of its requests at once, and
// four entry nodes that place 240 requests a second: half of what the servers can do.
struct Outcome {
  int sent = 0;
  int failed = 0;
};

Outcome RunService(double failing, uint64_t seed) {
  struct Server {
    FailureRate failures;
    std::vector<int64_t> ends_us;  // Of the requests that run.
  };
  RandomSource random(seed);
  std::vector<Server> servers(kServers);
  std::vector<std::string> names;
  names.reserve(kServers);
  for (int i = 0; i < kServers; ++i) names.push_back("server-" + std::to_string(i));
  std::vector<LoadTracker> trackers(4);
  std::vector<PlacementPolicy> policies(4, TwoChoices({.local_data_centre = "a"}));
  Outcome outcome;
  constexpr int64_t kGapUs = 1'000'000 / 240;
  for (int64_t now_us = 0; now_us < 20'000 * kMs; now_us += kGapUs) {
    size_t entry = random.Below(trackers.size());
    std::vector<PlacementCandidate> candidates;
    for (const std::string& name : names) {
      PlacementCandidate candidate{.node = name, .data_centre = "a", .slots = 6};
      trackers[entry].FillCandidate(candidate, now_us);
      candidate.age_us = INT64_MAX;
      candidates.push_back(candidate);
    }
    size_t chosen = *Choose(policies[entry], candidates, random);
    Server& server = servers[chosen];
    std::erase_if(server.ends_us, [&](int64_t end_us) { return end_us <= now_us; });
    bool fails = chosen == 0 && random.Unit() < failing;
    ++outcome.sent;
    if (fails) {
      ++outcome.failed;
      server.failures.OnFailure();
    } else {
      server.ends_us.push_back(now_us + kServiceUs);
      server.failures.OnSuccess();
    }
    trackers[entry].OnLoadReport(names[chosen],
                                 {.in_service = static_cast<int>(server.ends_us.size()),
                                  .service_us = kServiceUs,
                                  .failing_percent = server.failures.percent()},
                                 now_us);
  }
  return outcome;
}

TEST(FailingServersLoseTheirShare, WithoutTheirHealthReport) {
  for (double failing : {0.4, 1.0}) {
    for (uint64_t seed : {1, 2, 3}) {
      Outcome outcome = RunService(failing, seed);
      double fair = static_cast<double>(outcome.sent) * failing / kServers;
      std::printf("failing %.1f: %d of %d requests failed, %.0f with a fair share\n", failing,
                  outcome.failed, outcome.sent, fair);
      EXPECT_LT(outcome.failed, fair / 3);
    }
  }
}

TEST(FailingServersLoseTheirShare, AServerThatBreaksOffEachRequestCountsAsUnreachable) {
  FailureRate failures;
  failures.OnBrokenConnection();
  failures.OnBrokenConnection();
  EXPECT_FALSE(failures.is_unreachable());
  failures.OnBrokenConnection();
  EXPECT_TRUE(failures.is_unreachable());
  // Its report brings it back for one try, and an answer for good.
  failures.OnBrokenConnection();
  EXPECT_TRUE(failures.is_unreachable());
  failures.OnSuccess();
  EXPECT_FALSE(failures.is_unreachable());
}

TEST(FailingServersLoseTheirShare, BreaksAmongAnswersAreNoReasonToLeaveAServerAlone) {
  FailureRate failures;
  for (int i = 0; i < 200; ++i) {
    failures.OnBrokenConnection();
    EXPECT_FALSE(failures.is_unreachable());
    for (int j = 0; j < 20; ++j) failures.OnSuccess();
  }
  EXPECT_LT(failures.percent(), 15);
}

}  // namespace
}  // namespace guavatrail
