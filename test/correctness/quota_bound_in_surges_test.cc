// Guards against surges of a workspace that get more requests admitted over all nodes than its
// quota allows in 5 s.
#include <gtest/gtest.h>

#include <cmath>

#include "quota_fleet.h"

namespace guavatrail {
namespace {

constexpr size_t kNodes = 60;
constexpr char kName[] = "loja";
constexpr double kSurgeStartS = 8;

struct Case {
  double rate_per_s = 0;
  bool is_uneven = false;
  int64_t repeat_after_us = 0;
};

std::string NameOf(const testing::TestParamInfo<Case>& info) {
  return "Rate" + std::to_string(std::lround(info.param.rate_per_s)) +
         (info.param.is_uneven ? "Uneven" : "Even") +
         (info.param.repeat_after_us > 0 ? "Repeated" : "Once");
}

// Six nodes get most of the requests.
std::vector<double> UnevenWeights() {
  std::vector<double> weights(kNodes, 0.1);
  for (size_t i = 0; i < kNodes; i += 10) weights[i] = 8;
  return weights;
}

class QuotaBoundInSurges : public testing::TestWithParam<Case> {
 protected:
  void Run(double end_s, std::function<double(double)> per_s) {
    const Case& param = GetParam();
    double rate = param.rate_per_s;
    m_fleet = std::make_unique<QuotaFleet>(
        kNodes, Quotas{{kName, {.name = kName, .rate_per_s = rate, .burst = rate}}}, 11);
    m_fleet->AddLoad({.workspace = kName,
                      .per_s = std::move(per_s),
                      .weights = param.is_uneven ? UnevenWeights() : std::vector<double>{},
                      .repeat_after_us = param.repeat_after_us});
    m_fleet->RunUntil(end_s);
    EXPECT_LE(static_cast<double>(m_fleet->MaxInWindow(kName)), QuotaFleet::Bound(rate, rate));
  }

  // Part of the quota that was used.
  double Use(double from_s, double to_s) const {
    auto admitted = static_cast<double>(m_fleet->Admitted(kName, from_s, to_s));
    return admitted / (GetParam().rate_per_s * (to_s - from_s));
  }

  double Normal() const { return GetParam().rate_per_s / 1.6; }

  std::unique_ptr<QuotaFleet> m_fleet;
};

TEST_P(QuotaBoundInSurges, OneSurge) {
  for (double factor : {6.0, 7.5}) {
    Run(18, [this, factor](double time_s) {
      bool is_surge = time_s >= kSurgeStartS && time_s < kSurgeStartS + 8;
      return is_surge ? factor * Normal() : Normal();
    });
    EXPECT_GE(Use(kSurgeStartS, kSurgeStartS + 8), 0.9) << factor;
  }
}

TEST_P(QuotaBoundInSurges, SurgesDirectlyAfterEachOther) {
  Run(32, [this](double time_s) {
    double in_cycle_s = std::fmod(time_s - kSurgeStartS, 6);
    bool is_surge = time_s >= kSurgeStartS && in_cycle_s < 5;
    return is_surge ? 7.5 * Normal() : Normal();
  });
  EXPECT_GE(Use(kSurgeStartS, 32), 0.9);
}

TEST_P(QuotaBoundInSurges, SurgeOnTopOfDemandAtTheQuota) {
  double rate = GetParam().rate_per_s;
  Run(30, [this, rate](double time_s) {
    return time_s >= kSurgeStartS && time_s < kSurgeStartS + 20 ? rate + 7.5 * Normal() : rate;
  });
  EXPECT_GE(Use(kSurgeStartS, kSurgeStartS + 20), 0.9);
}

INSTANTIATE_TEST_SUITE_P(Rates, QuotaBoundInSurges,
                         testing::Values(Case{532, false, 0}, Case{532, true, 0},
                                         Case{532, true, 20'000}, Case{50, false, 10'000},
                                         Case{50, true, 10'000}, Case{5, false, 0},
                                         Case{5, true, 0}, Case{5, false, 5'000},
                                         Case{5, true, 5'000}),
                         NameOf);

}  // namespace
}  // namespace guavatrail
