// Guards against calls that keep going to a server slowed 10 times by a neighbour, and against a
// server that gets no calls after it has become fast again.
#include <gtest/gtest.h>

#include <cstdio>

#include "call_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kSecond = 1'000'000;
constexpr int64_t kSlowFrom = 5 * kSecond;
constexpr int64_t kSlowTo = 10 * kSecond;

// 5 servers of 9 slots and 10 ms at 40% load, with 17 entry nodes as in Gaveta Viva.
ModelOptions Slowed(ModelOptions options, size_t slow_servers) {
  options.servers = 5;
  options.entries = 17;
  options.kinds = {
      {.name = "lookup", .deadline_us = 300'000, .service_us = 10'000, .straggler_share = 0.01}};
  options.phases = {{20 * kSecond, 0.4 * 5 * 9 / 0.010}};
  for (size_t i = 0; i < slow_servers; ++i) options.slowdowns.push_back({i, kSlowFrom, kSlowTo});
  return options;
}

// Share of the calls that went to the first server in [from_us, to_us).
double ShareOfFirst(const ModelResult& result, int64_t from_us, int64_t to_us) {
  double first = 0, all = 0;
  for (size_t server = 0; server < result.sent_to_server_by_slice.size(); ++server) {
    for (auto i = from_us / kModelSliceUs; i < to_us / kModelSliceUs; ++i) {
      auto placed =
          static_cast<double>(result.sent_to_server_by_slice[server][static_cast<size_t>(i)]);
      all += placed;
      if (server == 0) first += placed;
    }
  }
  return first / all;
}

void Print(const char* policy, size_t slow_servers, const ModelResult& result) {
  ModelResult::Kind all = result.All();
  std::printf(
      "slow_servers=%zu policy=%s sent=%lu good=%lu refused=%lu late=%lu p50_ms=%.1f p95_ms=%.1f "
      "p99_ms=%.1f share_first_second=%.3f share_slow=%.4f share_after=%.3f\n",
      slow_servers, policy, all.sent, all.good, all.refused, all.late,
      static_cast<double>(all.latency.Quantile(0.5)) / 1000,
      static_cast<double>(all.latency.Quantile(0.95)) / 1000,
      static_cast<double>(all.latency.Quantile(0.99)) / 1000,
      ShareOfFirst(result, kSlowFrom, kSlowFrom + kSecond),
      ShareOfFirst(result, kSlowFrom + kSecond, kSlowTo),
      ShareOfFirst(result, kSlowTo + 9 * kSecond, kSlowTo + 10 * kSecond));
}

class SlowedServersAreAvoided : public testing::TestWithParam<size_t> {};

TEST_P(SlowedServersAreAvoided, WithinASecondAndUsedAgainAfterwards) {
  ModelResult baseline = RunModel(Slowed(BaselinePolicies(), GetParam()));
  ModelResult ours = RunModel(Slowed(CurrentPolicies(), GetParam()));
  Print("baseline", GetParam(), baseline);
  Print("ours", GetParam(), ours);

  EXPECT_LT(ShareOfFirst(ours, kSlowFrom + kSecond, kSlowTo), 0.02);
  EXPECT_GT(ShareOfFirst(ours, kSlowTo + 9 * kSecond, kSlowTo + 10 * kSecond), 0.1);
  EXPECT_GT(ours.All().GoodShare(), 0.99);
  EXPECT_LT(ours.All().latency.Quantile(0.99), baseline.All().latency.Quantile(0.99) / 2);
}

INSTANTIATE_TEST_SUITE_P(Counts, SlowedServersAreAvoided, testing::Values(1, 2));

// One of 22 services of the target size: 25 servers, and 550 entry nodes of which each sends a
// server a call about every 6 s. An entry node learns of the slowdown from one answer's load
// report.
TEST(SlowedServersAreAvoided, ByManyEntryNodesWithFewCallsEach) {
  auto target_size = [](ModelOptions options) {
    options = Slowed(options, 1);
    options.servers = 25;
    options.entries = 550;
    options.phases = {{30 * kSecond, 52'000.0 / 22}};
    options.slowdowns[0].to_us = 30 * kSecond;
    return RunModel(options);
  };
  ModelResult baseline = target_size(BaselinePolicies());
  ModelResult ours = target_size(CurrentPolicies());
  for (int64_t from_us : {5, 6, 10, 15}) {
    std::printf("target_size seconds=%ld-%ld share_of_slow baseline=%.4f ours=%.4f\n", from_us,
                2 * from_us, ShareOfFirst(baseline, from_us * kSecond, 2 * from_us * kSecond),
                ShareOfFirst(ours, from_us * kSecond, 2 * from_us * kSecond));
  }
  EXPECT_LT(ShareOfFirst(ours, 15 * kSecond, 30 * kSecond),
            ShareOfFirst(baseline, 15 * kSecond, 30 * kSecond) / 2);
}

TEST(SlowedServersAreAvoided, AQuietServiceLosesNoServer) {
  ModelOptions options = Slowed(CurrentPolicies(), 0);
  size_t servers = options.servers;
  ModelResult ours = RunModel(options);
  Print("ours", 0, ours);
  for (size_t server = 0; server < servers; ++server) {
    for (size_t i = 10; i + 1 < ours.sent_by_slice.size(); ++i) {
      EXPECT_GT(ours.sent_to_server_by_slice[server][i], 0U)
          << "server " << server << " slice " << i;
    }
  }
}

}  // namespace
}  // namespace guavatrail::test
