// Guards against a server that fails requests at once, therefore looks idle, and attracts the calls
// of its service, and against a server that keeps getting orders while it breaks every connection,
// until its health report changes.
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

struct Outcome {
  int sent = 0;
  int failed = 0;
};

// Simulates 8 servers of 6 slots, of which the first one fails the share `failing` of its requests
// at once, and 4 entry nodes that place 240 requests per second, half of the capacity.
Outcome RunService(double failing, uint64_t seed) {
  struct Server {
    FailureRate failures;
    std::vector<int64_t> ends_us;  // Of the running requests.
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

TEST(FailingServersGetLessTraffic, DespiteAGoodHealthReport) {
  for (double failing : {0.4, 1.0}) {
    for (uint64_t seed : {1, 2, 3}) {
      Outcome outcome = RunService(failing, seed);
      double fair = static_cast<double>(outcome.sent) * failing / kServers;
      std::printf("failing %.1f: %d of %d requests failed, %.0f with an equal share\n", failing,
                  outcome.failed, outcome.sent, fair);
      EXPECT_LT(outcome.failed, fair / 3);
    }
  }
}

TEST(FailingServersGetLessTraffic, ConsecutiveBrokenConnectionsMakeAServerUnreachable) {
  FailureRate failures;
  failures.OnBrokenConnection();
  failures.OnBrokenConnection();
  EXPECT_FALSE(failures.is_unreachable());
  failures.OnBrokenConnection();
  EXPECT_TRUE(failures.is_unreachable());
  // A good health report lets it have one more request; an answer makes it reachable again.
  failures.OnBrokenConnection();
  EXPECT_TRUE(failures.is_unreachable());
  failures.OnSuccess();
  EXPECT_FALSE(failures.is_unreachable());
}

TEST(FailingServersGetLessTraffic, IsolatedBrokenConnectionsDoNotMakeAServerUnreachable) {
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
