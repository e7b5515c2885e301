// Guards against retries and hedges that amplify the load of an overloaded service.
#include <gtest/gtest.h>

#include "hedge_policy.h"
#include "random_source.h"
#include "retry_budget.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;

TEST(ExtraRequestsStayInBudget, RetriesAreLimitedToTenPercentOfCalls) {
  RetryBudget budget = TokenRetryBudget();
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    OnCall(budget);
    if (!CanRetry(budget)) continue;
    OnRetry(budget);
    ++retries;
  }
  // The initial reserve may add 10 retries to a tenth of the calls. One more is allowed, since the
  // budget adds 0.1 per call in floating point.
  EXPECT_GE(retries, 1000);
  EXPECT_LE(retries, 1011);
  RetryBudget baseline = UnlimitedRetries();
  EXPECT_TRUE(CanRetry(baseline));
}

// Counts the hedges of calls of which every tenth takes 100 ms and the others 5 ms.
int HedgesOf(HedgePolicy& policy, int calls, bool is_overloaded) {
  int hedges = 0;
  for (int i = 0; i < calls; ++i) {
    int64_t now_us = i * int64_t{1000};
    int64_t latency_us = i % 10 == 0 ? 100'000 : 5'000;
    OnCall(policy);
    std::optional<int64_t> delay_us = HedgeDelayUs(policy, "lookup", now_us);
    if (delay_us && *delay_us < latency_us && CanHedge(policy, is_overloaded, now_us)) {
      OnHedge(policy);
      ++hedges;
    }
    OnAnswer(policy, "lookup", latency_us, now_us);
  }
  return hedges;
}

TEST(ExtraRequestsStayInBudget, HedgesAreLimitedToFivePercentOfCalls) {
  HedgePolicy policy = PercentileHedge({.quantile = 0.8});
  int hedges = HedgesOf(policy, 10'000, false);
  EXPECT_LE(hedges, 506);
  EXPECT_GE(hedges, 450);
}

TEST(ExtraRequestsStayInBudget, NoHedgesUnderOverloadOrAfterRefusals) {
  HedgePolicy policy = PercentileHedge({.quantile = 0.8});
  EXPECT_EQ(HedgesOf(policy, 1000, true), 0);
  EXPECT_TRUE(CanHedge(policy, false, 2 * kSecond));
  OnRefusal(policy, 2 * kSecond);
  EXPECT_FALSE(CanHedge(policy, false, 2 * kSecond + kSecond / 2));
  EXPECT_FALSE(HedgeDelayUs(policy, "lookup", 2 * kSecond + kSecond / 2).has_value());
  EXPECT_TRUE(CanHedge(policy, false, 3 * kSecond));
}

TEST(ExtraRequestsStayInBudget, HedgeDelayIsThe95thPercentile) {
  HedgePolicy policy = PercentileHedge();
  EXPECT_FALSE(HedgeDelayUs(policy, "lookup", 0).has_value());
  RandomSource random(5);
  for (int i = 0; i < 5000; ++i) {
    OnAnswer(policy, "lookup", 1000 + static_cast<int64_t>(random.Below(100'000)),
             i * int64_t{1000});
  }
  auto delay_us = HedgeDelayUs(policy, "lookup", 5 * kSecond);
  ASSERT_TRUE(delay_us.has_value());
  // A bin of the histogram is 15% wide.
  EXPECT_GT(*delay_us, 85'000);
  EXPECT_LT(*delay_us, 115'000);
  EXPECT_FALSE(HedgeDelayUs(policy, "download", 5 * kSecond).has_value());
}

}  // namespace
}  // namespace guavatrail
