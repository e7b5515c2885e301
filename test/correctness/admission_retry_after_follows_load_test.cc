// Guards against a Retry-After that does not reflect the load, and against service time estimates
// that are distorted by a single straggler or do not learn from cancelled requests.
#include <gtest/gtest.h>

#include "admission.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;

void Measure(AdmissionPolicy& policy, int64_t service_us, int times) {
  for (int i = 0; i < times; ++i) {
    Arrive(policy, {.id = 1000, .deadline_us = kSecond}, 0);
    Finish(policy, 1000, service_us, 0);
  }
}

int64_t RetryAfterWithQueued(uint64_t queued) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Measure(policy, 10'000, 20);
  for (uint64_t id = 1; id <= queued + 1; ++id) {
    Arrive(policy, {.id = id, .deadline_us = 60 * kSecond}, 0);
  }
  return Arrive(policy, {.id = 2000, .importance = 0, .deadline_us = 5'000}, 0).retry_after_ms;
}

TEST(AdmissionRetryAfterFollowsLoad, IsThePredictedDrainTime) {
  EXPECT_EQ(RetryAfterWithQueued(9), 100);
  EXPECT_EQ(RetryAfterWithQueued(99), 1000);
}

TEST(AdmissionRetryAfterFollowsLoad, IgnoresASingleStraggler) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Measure(policy, 10'000, 20);
  Measure(policy, 10 * kSecond, 1);
  EXPECT_LT(LoadOf(policy).service_us, 15'000);
}

TEST(AdmissionRetryAfterFollowsLoad, AdaptsWhenAllWorkBecomesSlow) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Measure(policy, 10'000, 20);
  Measure(policy, 100'000, 20);
  EXPECT_GT(LoadOf(policy).service_us, 60'000);
}

TEST(AdmissionRetryAfterFollowsLoad, LearnsFromCancelledRequests) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Measure(policy, 10'000, 20);
  for (int64_t i = 0; i < 20; ++i) {
    Arrive(policy, {.id = 1, .deadline_us = kSecond}, 0);
    Cancel(policy, 1, 100'000);
  }
  EXPECT_GT(LoadOf(policy).service_us, 60'000);
}

}  // namespace
}  // namespace guavatrail
