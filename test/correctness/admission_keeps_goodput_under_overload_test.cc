// Guards against goodput that collapses under overload, and that stays low after it has ended.
#include <gtest/gtest.h>

#include <cstdio>

#include "call_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kSecond = 1'000'000;
// 9 slots and a mean service time of 6.9 ms: 5 ms with 2% of requests 20 times as long.
constexpr double kCapacity = 1304;

ModelOptions Overload(ModelOptions options, double factor) {
  options.kinds = {{.name = "lookup", .deadline_us = 500'000, .straggler_share = 0.02}};
  options.phases = {{5 * kSecond, 0.7 * kCapacity},
                    {5 * kSecond, factor * kCapacity},
                    {20 * kSecond, 0.7 * kCapacity}};
  return options;
}

void Print(const char* policy, double factor, const ModelResult& result) {
  ModelResult::Kind all = result.All();
  std::printf(
      "overload=%.0fx policy=%s sent=%lu good=%lu refused=%lu late=%lu peak_goodput=%.0f/s "
      "p99_ms=%.1f recovery_ms=%ld\n",
      factor, policy, all.sent, all.good, all.refused, all.late,
      result.Goodput(5 * kSecond, 10 * kSecond),
      static_cast<double>(all.latency.Quantile(0.99)) / 1000,
      result.RecoveryUs(10 * kSecond) / 1000);
}

class AdmissionKeepsGoodputUnderOverload : public testing::TestWithParam<double> {};

TEST_P(AdmissionKeepsGoodputUnderOverload, AndRecoversAtOnce) {
  double factor = GetParam();
  ModelResult baseline = RunModel(Overload(BaselinePolicies(), factor));
  ModelResult ours = RunModel(Overload(CurrentPolicies(), factor));
  Print("unlimited", factor, baseline);
  Print("slots", factor, ours);

  EXPECT_GT(ours.Goodput(5 * kSecond, 10 * kSecond), 0.9 * kCapacity);
  EXPECT_LE(ours.RecoveryUs(10 * kSecond), 600'000);
  EXPECT_GT(ours.Goodput(5 * kSecond, 10 * kSecond), baseline.Goodput(5 * kSecond, 10 * kSecond));
  EXPECT_LT(ours.RecoveryUs(10 * kSecond), baseline.RecoveryUs(10 * kSecond));
  // Every request ends in exactly one way.
  ModelResult::Kind all = ours.All();
  EXPECT_EQ(all.sent, all.good + all.refused + all.late);
}

// With 17 entry nodes and 5 servers, avoiding servers that have refused must not leave them idle.
TEST_P(AdmissionKeepsGoodputUnderOverload, OfSeveralServers) {
  double factor = GetParam();
  auto run = [&](ModelOptions options) {
    options = Overload(std::move(options), factor);
    options.servers = 5;
    options.entries = 17;
    for (ModelPhase& phase : options.phases) phase.rate *= 5;
    options.phases.back().length_us = 3 * kSecond;
    return RunModel(options);
  };
  ModelResult baseline = run(BaselinePolicies());
  ModelResult ours = run(CurrentPolicies());
  Print("baseline_of_5", factor, baseline);
  Print("ours_of_5", factor, ours);
  EXPECT_GT(ours.Goodput(5 * kSecond, 10 * kSecond), 0.9 * 5 * kCapacity);
  EXPECT_LE(ours.RecoveryUs(10 * kSecond), 600'000);
  EXPECT_LT(ours.RecoveryUs(10 * kSecond), baseline.RecoveryUs(10 * kSecond));
}

INSTANTIATE_TEST_SUITE_P(Factors, AdmissionKeepsGoodputUnderOverload, testing::Values(2.0, 4.0));

}  // namespace
}  // namespace guavatrail::test
