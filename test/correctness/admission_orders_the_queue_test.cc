// Guards against a queue in which important or urgent requests wait behind others.
#include <gtest/gtest.h>

#include "admission.h"

namespace guavatrail {
namespace {

using Action = AdmissionDecision::Action;

constexpr int64_t kSecond = 1'000'000;

TEST(AdmissionOrdersTheQueue, ByImportanceThenDeadlineThenArrival) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Arrive(policy, {.id = 1, .deadline_us = kSecond}, 0);
  Arrive(policy, {.id = 2, .importance = 1, .deadline_us = 5 * kSecond}, 0);
  Arrive(policy, {.id = 3, .importance = 1, .deadline_us = 4 * kSecond}, 0);
  Arrive(policy, {.id = 4, .importance = 3, .deadline_us = 9 * kSecond}, 0);
  Arrive(policy, {.id = 5, .importance = 1, .deadline_us = 4 * kSecond}, 0);
  std::vector<uint64_t> order;
  for (uint64_t running = 1; order.size() < 4; running = order.back()) {
    AdmissionChanges changes = Finish(policy, running, 1000, 1000);
    ASSERT_EQ(changes.start.size(), 1U);
    order.push_back(changes.start[0]);
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{4, 3, 5, 2}));
}

TEST(AdmissionOrdersTheQueue, EvictsTheLeastImportantWhenFull) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0, .queue_limit = 2});
  Arrive(policy, {.id = 1, .deadline_us = kSecond}, 0);
  Arrive(policy, {.id = 2, .importance = 0, .deadline_us = kSecond}, 0);
  Arrive(policy, {.id = 3, .importance = 2, .deadline_us = kSecond}, 0);
  // A request does not evict a queued one of the same importance.
  EXPECT_EQ(Arrive(policy, {.id = 4, .importance = 0, .deadline_us = kSecond / 2}, 0).action,
            Action::kRefuse);
  AdmissionDecision decision =
      Arrive(policy, {.id = 5, .importance = 1, .deadline_us = kSecond}, 0);
  EXPECT_EQ(decision.action, Action::kQueue);
  ASSERT_EQ(decision.evicted.size(), 1U);
  EXPECT_EQ(decision.evicted[0].id, 2U);
  EXPECT_GT(decision.evicted[0].retry_after_ms, 0);
}

TEST(AdmissionOrdersTheQueue, ReservesSlotsForShortWork) {
  AdmissionPolicy policy = SlotAdmission({.slots = 3, .reserved_short_slots = 1});
  for (uint64_t id = 1; id <= 2; ++id) {
    EXPECT_EQ(Arrive(policy, {.id = id, .is_short = false, .deadline_us = kSecond}, 0).action,
              Action::kRun);
  }
  AdmissionRequest third{.id = 3, .importance = 3, .is_short = false, .deadline_us = kSecond};
  EXPECT_EQ(Arrive(policy, third, 0).action, Action::kQueue);
  EXPECT_EQ(Arrive(policy, {.id = 4, .importance = 0, .deadline_us = kSecond}, 0).action,
            Action::kRun);
  // Long work must not take the reserved slot when short work ends.
  EXPECT_TRUE(Finish(policy, 4, 1000, 1000).start.empty());
  EXPECT_EQ(Finish(policy, 1, 1000, 1000).start, std::vector<uint64_t>{3});
}

TEST(AdmissionOrdersTheQueue, SingleSlotRunsLongWork) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 2});
  EXPECT_EQ(Arrive(policy, {.id = 1, .is_short = false, .deadline_us = kSecond}, 0).action,
            Action::kRun);
}

}  // namespace
}  // namespace guavatrail
