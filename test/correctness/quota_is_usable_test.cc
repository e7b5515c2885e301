// Guards against quotas that refuse demand below them, that cannot be used in full, or that let one
// workspace take the quota of another.
#include <gtest/gtest.h>

#include "quota_fleet.h"

namespace guavatrail {
namespace {

constexpr size_t kNodes = 63;
constexpr size_t kWorkspaces = 74;
constexpr size_t kLargeWorkspaces = 4;
constexpr double kLargeRate = 532;
constexpr double kSmallRate = 5;
// By then the buckets of the coordinator are full.
constexpr double kStartedS = 12;

std::string NameOf(size_t index) { return "loja-" + std::to_string(index); }
double RateOf(size_t index) { return index < kLargeWorkspaces ? kLargeRate : kSmallRate; }

Quotas AllQuotas() {
  Quotas quotas;
  for (size_t i = 0; i < kWorkspaces; ++i) {
    quotas[NameOf(i)] = {.name = NameOf(i), .rate_per_s = RateOf(i), .burst = RateOf(i)};
  }
  return quotas;
}

// Half of the nodes get ten times as many requests as the others, others for each workspace.
std::vector<double> WeightsOf(size_t index) {
  std::vector<double> weights(kNodes, 1);
  for (size_t i = 0; i < kNodes / 2; ++i) weights[(i + index) % kNodes] = 10;
  return weights;
}

void AddLoad(QuotaFleet& fleet, size_t index, double factor) {
  fleet.AddLoad({.workspace = NameOf(index),
                 .per_s = [per_s = factor * RateOf(index)](double) { return per_s; },
                 .weights = WeightsOf(index)});
}

uint64_t RefusedOfAll(const QuotaFleet& fleet, double from_s, double to_s) {
  uint64_t refused = 0;
  for (size_t i = 0; i < kWorkspaces; ++i) refused += fleet.Refused(NameOf(i), from_s, to_s);
  return refused;
}

TEST(QuotaIsUsable, SteadyDemandIsNotRefused) {
  QuotaFleet fleet(kNodes, AllQuotas(), 21);
  fleet.SetLossOneIn(0);
  for (size_t i = 0; i < kWorkspaces; ++i) AddLoad(fleet, i, 0.625);
  fleet.RunUntil(40);
  EXPECT_EQ(RefusedOfAll(fleet, kStartedS, 40), 0U);
}

TEST(QuotaIsUsable, LostMessagesRefuseHardlyAnySteadyDemand) {
  QuotaFleet fleet(kNodes, AllQuotas(), 22);
  fleet.SetLossOneIn(100);
  for (size_t i = 0; i < kWorkspaces; ++i) AddLoad(fleet, i, 0.625);
  fleet.RunUntil(40);
  // Two in a thousand.
  EXPECT_LE(RefusedOfAll(fleet, kStartedS, 40), 86U);
}

TEST(QuotaIsUsable, UnevenDemandAboveTheQuotaUsesIt) {
  QuotaFleet fleet(kNodes, AllQuotas(), 23);
  for (size_t i = 0; i < kWorkspaces; ++i) AddLoad(fleet, i, i % 2 == 0 ? 1.5 : 4);
  fleet.RunUntil(33);
  for (size_t i = 0; i < kWorkspaces; ++i) {
    double quota = RateOf(i) * 30;
    EXPECT_GE(static_cast<double>(fleet.Admitted(NameOf(i), 3, 33)), 0.9 * quota) << NameOf(i);
    EXPECT_LE(static_cast<double>(fleet.MaxInWindow(NameOf(i))),
              QuotaFleet::Bound(RateOf(i), RateOf(i)))
        << NameOf(i);
  }
}

TEST(QuotaIsUsable, OneWorkspaceDoesNotTakeTheQuotaOfOthers) {
  QuotaFleet fleet(kNodes, AllQuotas(), 24);
  fleet.SetLossOneIn(0);
  AddLoad(fleet, 0, 4.7);
  for (size_t i = 1; i < kWorkspaces; ++i) AddLoad(fleet, i, 0.625);
  fleet.RunUntil(20);
  EXPECT_GT(fleet.Refused(NameOf(0), kStartedS, 20), 0U);
  EXPECT_EQ(RefusedOfAll(fleet, kStartedS, 20), fleet.Refused(NameOf(0), kStartedS, 20));
}

// The demand moves from one node to another within a moment.
TEST(QuotaIsUsable, DemandThatMovesIsNotRefused) {
  QuotaFleet fleet(kNodes, AllQuotas(), 25);
  fleet.SetLossOneIn(0);
  for (size_t node : {size_t{5}, size_t{40}}) {
    std::vector<double> weights(kNodes, 0);
    weights[node] = 1;
    fleet.AddLoad({.workspace = NameOf(0),
                   .per_s =
                       [node](double time_s) {
                         return (time_s < 10) == (node == 5) ? 0.625 * kLargeRate : 0;
                       },
                   .weights = weights});
  }
  fleet.RunUntil(20);
  EXPECT_EQ(fleet.Refused(NameOf(0), kStartedS, 20), 0U);
}

// The cost of the exchange does not depend on the number of workspaces.
TEST(QuotaIsUsable, EachNodeSendsOneReportInEachPeriod) {
  QuotaFleet fleet(kNodes, AllQuotas(), 26);
  fleet.SetLossOneIn(0);
  for (size_t i = 0; i < kWorkspaces; ++i) AddLoad(fleet, i, 0.1);
  fleet.RunUntil(10);
  uint64_t before = fleet.messages();
  fleet.RunUntil(20);
  // A report and a reply of each node, except the coordinator, in each period.
  double periods = 10e6 / static_cast<double>(QuotaPeriodUs(kNodes));
  EXPECT_NEAR(static_cast<double>(fleet.messages() - before), 2 * (kNodes - 1) * periods,
              2 * kNodes);
}

}  // namespace
}  // namespace guavatrail
