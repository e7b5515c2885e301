// Guards against failures of the coordinator, of nodes and of links that let a workspace have more
// requests admitted in 5 s than its quota allows, or that leave its quota unusable afterwards.
#include <gtest/gtest.h>

#include "quota_fleet.h"

namespace guavatrail {
namespace {

constexpr size_t kNodes = 60;
constexpr char kName[] = "loja";
constexpr double kSurgeStartS = 8;
constexpr double kEndS = 45;

struct Case {
  double rate_per_s = 0;
  int64_t repeat_after_us = 0;
};

std::string NameOf(const testing::TestParamInfo<Case>& info) {
  return "Rate" + std::to_string(static_cast<int>(info.param.rate_per_s)) +
         (info.param.repeat_after_us > 0 ? "Repeated" : "Once");
}

Quotas QuotaOf(double rate_per_s) {
  return {{kName, {.name = kName, .rate_per_s = rate_per_s, .burst = rate_per_s}}};
}

class QuotaBoundInFailures : public testing::TestWithParam<Case> {
 protected:
  // The demand is 7.5 times the normal one from kSurgeStartS until kEndS.
  std::unique_ptr<QuotaFleet> NewFleet(uint64_t seed) const {
    double rate = GetParam().rate_per_s;
    auto fleet = std::make_unique<QuotaFleet>(kNodes, QuotaOf(rate), seed);
    fleet->AddLoad(
        {.workspace = kName,
         .per_s = [normal = rate / 1.6](
                      double time_s) { return time_s < kSurgeStartS ? normal : 7.5 * normal; },
         .repeat_after_us = GetParam().repeat_after_us});
    return fleet;
  }

  void ExpectBound(const QuotaFleet& fleet) const {
    double rate = GetParam().rate_per_s;
    EXPECT_LE(static_cast<double>(fleet.MaxInWindow(kName)), QuotaFleet::Bound(rate, rate));
  }

  // The quota is used again once the failure is over.
  void ExpectUsable(const QuotaFleet& fleet, double from_s) const {
    double quota = GetParam().rate_per_s * (kEndS - from_s);
    EXPECT_GE(static_cast<double>(fleet.Admitted(kName, from_s, kEndS)), 0.9 * quota);
  }

  // Moments before, at and after the start of the surge.
  static constexpr std::array<double, 4> kMoments = {-0.2, 0.05, 0.3, 2};
};

TEST_P(QuotaBoundInFailures, CoordinatorIsKilled) {
  for (double moment_s : kMoments) {
    auto fleet = NewFleet(31);
    fleet->RunUntil(kSurgeStartS + moment_s);
    size_t coordinator = fleet->Coordinator();
    fleet->Stop(coordinator);
    fleet->RunUntil(kSurgeStartS + moment_s + 5);
    EXPECT_NE(fleet->Coordinator(), coordinator);
    fleet->Start(coordinator);
    fleet->RunUntil(kEndS);
    EXPECT_EQ(fleet->Coordinator(), coordinator);
    ExpectBound(*fleet);
    ExpectUsable(*fleet, kSurgeStartS + 5);
  }
}

// The clock of a paused coordinator stands still, so it does not know of the pause.
TEST_P(QuotaBoundInFailures, CoordinatorIsPausedAndResumed) {
  for (double moment_s : kMoments) {
    auto fleet = NewFleet(32);
    fleet->RunUntil(kSurgeStartS + moment_s);
    size_t coordinator = fleet->Coordinator();
    fleet->Pause(coordinator);
    fleet->RunUntil(kSurgeStartS + moment_s + 3);
    fleet->Resume(coordinator);
    fleet->RunUntil(kEndS);
    ExpectBound(*fleet);
    ExpectUsable(*fleet, kSurgeStartS + 8);
  }
}

TEST_P(QuotaBoundInFailures, CoordinatorIsCutOff) {
  for (double moment_s : kMoments) {
    auto fleet = NewFleet(33);
    fleet->RunUntil(kSurgeStartS + moment_s);
    size_t coordinator = fleet->Coordinator();
    fleet->SetNetwork(
        [coordinator](size_t a, size_t b) { return (a == coordinator) == (b == coordinator); });
    fleet->RunUntil(kSurgeStartS + moment_s + 6);
    fleet->SetNetwork([](size_t, size_t) { return true; });
    fleet->RunUntil(kEndS);
    ExpectBound(*fleet);
    ExpectUsable(*fleet, kSurgeStartS + 10);
  }
}

TEST_P(QuotaBoundInFailures, PartOfTheNodesIsCutOffWithTheCoordinator) {
  // With 35 of 100 nodes, without and with a candidate on the other side.
  auto is_low = [](size_t node) { return node < 21; };
  auto is_third = [](size_t node) { return node % 3 == 0; };
  std::vector<std::function<bool(size_t)>> parts = {is_low, is_third};
  for (const auto& is_inside : parts) {
    for (double moment_s : kMoments) {
      auto fleet = NewFleet(34);
      fleet->RunUntil(kSurgeStartS + moment_s);
      fleet->SetNetwork([&is_inside](size_t a, size_t b) { return is_inside(a) == is_inside(b); });
      fleet->RunUntil(kSurgeStartS + moment_s + 8);
      fleet->SetNetwork([](size_t, size_t) { return true; });
      fleet->RunUntil(kEndS);
      ExpectBound(*fleet);
      ExpectUsable(*fleet, kSurgeStartS + 12);
    }
  }
}

TEST_P(QuotaBoundInFailures, EveryNodeIsCutOffFromAllOthers) {
  auto fleet = NewFleet(35);
  fleet->RunUntil(kSurgeStartS);
  fleet->SetNetwork([](size_t, size_t) { return false; });
  fleet->RunUntil(kSurgeStartS + 10);
  fleet->SetNetwork([](size_t, size_t) { return true; });
  fleet->RunUntil(kEndS);
  ExpectBound(*fleet);
  ExpectUsable(*fleet, kSurgeStartS + 13);
}

TEST_P(QuotaBoundInFailures, AllNodesRestart) {
  for (double moment_s : kMoments) {
    auto fleet = NewFleet(36);
    fleet->RunUntil(kSurgeStartS + moment_s);
    for (size_t i = 0; i < kNodes; ++i) fleet->Stop(i);
    fleet->RunUntil(kSurgeStartS + moment_s + 0.2);
    for (size_t i = 0; i < kNodes; ++i) fleet->Start(i);
    fleet->RunUntil(kEndS);
    ExpectBound(*fleet);
    ExpectUsable(*fleet, kSurgeStartS + 5);
  }
}

TEST_P(QuotaBoundInFailures, NodesLeaveAndJoin) {
  auto fleet = NewFleet(37);
  for (double time_s = 5; time_s < 18; time_s += 0.5) {
    fleet->RunUntil(time_s);
    auto node = static_cast<size_t>(time_s * 2) * 7 % kNodes;
    fleet->Stop(node);
    fleet->SetListed(node, false);
    fleet->RunUntil(time_s + 0.4);
    fleet->Start(node);
    fleet->SetListed(node, true);
  }
  fleet->RunUntil(kEndS);
  ExpectBound(*fleet);
  ExpectUsable(*fleet, kSurgeStartS);
}

// A lower limit binds the windows that start 2.5 s later.
TEST_P(QuotaBoundInFailures, LimitFallsToATenth) {
  auto fleet = NewFleet(38);
  fleet->RunUntil(kSurgeStartS + 4);
  double rate = GetParam().rate_per_s / 10;
  fleet->SetQuotas(QuotaOf(rate));
  fleet->RunUntil(kEndS);
  double from_s = kSurgeStartS + 4 + 2.5;
  EXPECT_LE(static_cast<double>(fleet->MaxInWindow(kName, from_s)), QuotaFleet::Bound(rate, rate));
  // A rate below 1 a second admits too few requests for a lower limit.
  if (rate < 1) return;
  EXPECT_GE(static_cast<double>(fleet->Admitted(kName, from_s, kEndS)),
            0.9 * rate * (kEndS - from_s));
}

INSTANTIATE_TEST_SUITE_P(Rates, QuotaBoundInFailures,
                         testing::Values(Case{532, 0}, Case{50, 10'000}, Case{5, 0},
                                         Case{5, 5'000}),
                         NameOf);

}  // namespace
}  // namespace guavatrail
