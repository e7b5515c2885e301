// Guards against queueing a request that cannot be answered within its deadline.
#include <gtest/gtest.h>

#include "admission.h"

namespace guavatrail {
namespace {

using Action = AdmissionDecision::Action;

// A server with one slot, which is in use, and measured service times of 10 ms.
AdmissionPolicy BusyServer() {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  for (uint64_t id = 1; id <= 20; ++id) {
    Arrive(policy, {.id = id, .deadline_us = 1'000'000}, 0);
    Finish(policy, id, 10'000, 0);
  }
  Arrive(policy, {.id = 100, .deadline_us = 1'000'000}, 0);
  return policy;
}

TEST(AdmissionRefusesWhatWouldBeLate, OnArrival) {
  AdmissionPolicy policy = BusyServer();
  // The running request needs another 10 ms, then the new one its service time and a margin.
  EXPECT_EQ(Arrive(policy, {.id = 101, .deadline_us = 18'000}, 0).action, Action::kRefuse);
  EXPECT_EQ(Arrive(policy, {.id = 102, .deadline_us = 30'000}, 0).action, Action::kQueue);
  // Now 10 ms of work are queued ahead of a request of the same importance.
  EXPECT_EQ(Arrive(policy, {.id = 103, .deadline_us = 31'000}, 0).action, Action::kRefuse);
  EXPECT_EQ(Arrive(policy, {.id = 104, .deadline_us = 0}, 0).action, Action::kRefuse);
}

TEST(AdmissionRefusesWhatWouldBeLate, WhileQueued) {
  AdmissionPolicy policy = BusyServer();
  ASSERT_EQ(Arrive(policy, {.id = 101, .deadline_us = 30'000}, 0).action, Action::kQueue);
  EXPECT_TRUE(Expire(policy, 10'000).refuse.empty());
  AdmissionChanges changes = Expire(policy, 25'000);
  ASSERT_EQ(changes.refuse.size(), 1U);
  EXPECT_EQ(changes.refuse[0].id, 101U);
  EXPECT_EQ(LoadOf(policy).queued, 0);
}

TEST(AdmissionRefusesWhatWouldBeLate, WhenASlotComesTooLate) {
  AdmissionPolicy policy = BusyServer();
  Arrive(policy, {.id = 101, .deadline_us = 30'000}, 0);
  Arrive(policy, {.id = 102, .deadline_us = 90'000}, 0);
  AdmissionChanges changes = Finish(policy, 100, 25'000, 25'000);
  EXPECT_EQ(changes.start, std::vector<uint64_t>{102});
  ASSERT_EQ(changes.refuse.size(), 1U);
  EXPECT_EQ(changes.refuse[0].id, 101U);
}

TEST(AdmissionRefusesWhatWouldBeLate, RunsOnAFreeSlotWhateverTheEstimate) {
  AdmissionPolicy policy = BusyServer();
  Finish(policy, 100, 10'000, 10'000);
  EXPECT_EQ(Arrive(policy, {.id = 101, .deadline_us = 11'000}, 10'000).action, Action::kRun);
}

}  // namespace
}  // namespace guavatrail
