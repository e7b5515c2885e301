// Guards against head-of-line blocking: short work that waits behind long work which occupies all
// slots.
#include <gtest/gtest.h>

#include <cstdio>

#include "call_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kSecond = 1'000'000;

// Long work alone is 1.5 times the capacity of 9 slots at 200 ms; short work needs half a slot.
ModelOptions LongWork(ModelOptions options) {
  options.kinds = {{.name = "check",
                    .importance = 2,
                    .deadline_us = 300'000,
                    .service_us = 5'000,
                    .weight = 100},
                   {.name = "claim",
                    .is_short = false,
                    .importance = 1,
                    .deadline_us = 3 * kSecond,
                    .service_us = 200'000,
                    .weight = 67}};
  options.phases = {{20 * kSecond, 167}};
  return options;
}

void Print(const char* policy, const ModelResult& result) {
  for (const auto& [name, kind] : result.kinds) {
    std::printf(
        "policy=%s kind=%s sent=%lu good=%lu refused=%lu late=%lu p50_ms=%.1f p99_ms=%.1f\n",
        policy, name.c_str(), kind.sent, kind.good, kind.refused, kind.late,
        static_cast<double>(kind.latency.Quantile(0.5)) / 1000,
        static_cast<double>(kind.latency.Quantile(0.99)) / 1000);
  }
}

TEST(ShortWorkUsesReservedSlots, WhileLongWorkExceedsTheCapacity) {
  ModelResult baseline = RunModel(LongWork(BaselinePolicies()));
  ModelResult ours = RunModel(LongWork(CurrentPolicies()));
  Print("unlimited", baseline);
  Print("slots", ours);

  EXPECT_GT(ours.kinds.at("check").GoodShare(), 0.99);
  EXPECT_LT(ours.kinds.at("check").latency.Quantile(0.99), 50'000);
  EXPECT_LT(baseline.kinds.at("check").GoodShare(), 0.5);
  // Long work keeps most of the 7 slots that it may use, which is 35 requests per second.
  EXPECT_GT(static_cast<double>(ours.kinds.at("claim").good), 0.85 * 35 * 20);
}

}  // namespace
}  // namespace guavatrail::test
