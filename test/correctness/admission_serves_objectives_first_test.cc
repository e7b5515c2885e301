// Guards against a burst of requests that are all queued in order of arrival and all answered late.
#include <gtest/gtest.h>

#include <vector>

#include "admission.h"

namespace guavatrail {
namespace {

constexpr int64_t kMs = 1000;

class AdmissionServesObjectivesFirst : public testing::Test {
 protected:
  static AdmissionRequest Request(uint64_t id, int64_t now_us, int64_t objective_ms,
                                  int64_t deadline_ms) {
    return {.id = id,
            .importance = 1,
            .deadline_us = now_us + deadline_ms * kMs,
            .arrival_us = now_us,
            .objective_us = now_us + objective_ms * kMs};
  }

  // Makes the policy measure a service time of 100 ms.
  void MeasureServiceTime() {
    for (uint64_t id = 1; id <= 20; ++id) {
      m_policy.Arrive(Request(id, 0, 400, 2500), 0);
      m_policy.Finish(id, 100 * kMs, 100 * kMs);
    }
  }

  SlotAdmission m_policy{{.slots = 1, .reserved_short_slots = 0, .queue_limit = 64}};
};

TEST_F(AdmissionServesObjectivesFirst, RequestsThatCannotBeInTimeAreRefusedAtOnce) {
  MeasureServiceTime();
  int queued = 0;
  int refused = 0;
  for (uint64_t id = 100; id < 120; ++id) {
    AdmissionDecision decision = m_policy.Arrive(Request(id, 0, 400, 800), 0);
    queued += decision.action == AdmissionDecision::Action::kQueue ? 1 : 0;
    refused += decision.action == AdmissionDecision::Action::kRefuse ? 1 : 0;
    if (decision.action == AdmissionDecision::Action::kRefuse) {
      EXPECT_GT(decision.retry_after_ms, 0);
    }
  }
  // One runs and at most three can follow it within 400 ms.
  EXPECT_LE(queued, 3);
  EXPECT_GE(queued, 1);
  EXPECT_EQ(queued + refused, 19);
}

// An offer is not queued: the entry node compares the predicted waits of several nodes.
TEST_F(AdmissionServesObjectivesFirst, OfferRunsAtOnceOrGetsThePredictedWait) {
  MeasureServiceTime();
  AdmissionRequest offer = Request(100, 0, 400, 2500);
  offer.is_offer = true;
  EXPECT_EQ(m_policy.Arrive(offer, 0).action, AdmissionDecision::Action::kRun);
  offer.id = 101;
  AdmissionDecision decision = m_policy.Arrive(offer, 0);
  EXPECT_EQ(decision.action, AdmissionDecision::Action::kRefuse);
  EXPECT_NEAR(static_cast<double>(decision.wait_ms), 100, 10);
  EXPECT_EQ(m_policy.load().queued, 0);
}

TEST_F(AdmissionServesObjectivesFirst, RequestPastItsObjectiveIsQueuedBehindOthers) {
  MeasureServiceTime();
  m_policy.Arrive(Request(100, 0, 400, 2500), 0);
  AdmissionRequest late = Request(101, 0, 50, 2500);
  ASSERT_EQ(m_policy.Arrive(late, 0).action, AdmissionDecision::Action::kQueue);
  ASSERT_EQ(m_policy.Arrive(Request(102, 0, 400, 2500), 0).action,
            AdmissionDecision::Action::kQueue);
  EXPECT_EQ(m_policy.Finish(100, 100 * kMs, 100 * kMs).start, std::vector<uint64_t>{102});
  EXPECT_EQ(m_policy.Finish(102, 100 * kMs, 200 * kMs).start, std::vector<uint64_t>{101});
}

TEST_F(AdmissionServesObjectivesFirst, RequestThatMissesItsObjectiveInTheQueueIsStillServed) {
  MeasureServiceTime();
  m_policy.Arrive(Request(100, 0, 400, 2500), 0);
  ASSERT_EQ(m_policy.Arrive(Request(101, 0, 400, 2500), 0).action,
            AdmissionDecision::Action::kQueue);
  // The running request takes much longer than predicted.
  AdmissionChanges changes = m_policy.Finish(100, 900 * kMs, 900 * kMs);
  EXPECT_EQ(changes.start, std::vector<uint64_t>{101});
  EXPECT_TRUE(changes.refuse.empty());
}

// With one estimate for short checks and long downloads together, each check would look too long
// for its objective and be queued behind the downloads.
TEST_F(AdmissionServesObjectivesFirst, EachKindHasItsOwnServiceTime) {
  auto request = [](uint64_t id, const std::string& kind, int importance, int64_t objective_ms) {
    AdmissionRequest made = Request(id, 0, objective_ms, 2500);
    made.kind = kind;
    made.importance = importance;
    return made;
  };
  for (uint64_t id = 1; id <= 40; ++id) {
    bool is_check = id % 2 == 0;
    m_policy.Arrive(request(id, is_check ? "check" : "download", 1, 2000), 0);
    m_policy.Finish(id, (is_check ? 30 : 200) * kMs, 0);
  }
  m_policy.Arrive(request(100, "check", 2, 120), 0);
  ASSERT_EQ(m_policy.Arrive(request(101, "download", 1, 400), 0).action,
            AdmissionDecision::Action::kQueue);
  ASSERT_EQ(m_policy.Arrive(request(102, "check", 2, 120), 0).action,
            AdmissionDecision::Action::kQueue);
  EXPECT_EQ(m_policy.Finish(100, 30 * kMs, 30 * kMs).start, std::vector<uint64_t>{102});
}

TEST_F(AdmissionServesObjectivesFirst, RequestPastItsDeadlineIsRefused) {
  MeasureServiceTime();
  m_policy.Arrive(Request(100, 0, 400, 2500), 0);
  m_policy.Arrive(Request(101, 0, 400, 2500), 0);
  AdmissionChanges changes = m_policy.Finish(100, 3000 * kMs, 3000 * kMs);
  EXPECT_TRUE(changes.start.empty());
  ASSERT_EQ(changes.refuse.size(), 1U);
  EXPECT_EQ(changes.refuse[0].id, 101U);
}

}  // namespace
}  // namespace guavatrail
