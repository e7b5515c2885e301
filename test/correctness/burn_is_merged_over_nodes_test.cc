// Guards against burn figures that lose calls when they are merged, conceal a missing node, or
// count calls beyond their window.
#include <gtest/gtest.h>

#include "burn.h"
#include "burn_report.h"

namespace guavatrail {
namespace {

constexpr int64_t kMinute = 60'000'000;

const BurnKey kLookups{"catalogo", "lookup"};

TEST(BurnIsMergedOverNodes, FastAndSlowWindows) {
  BurnRecorder recorder;
  recorder.Record("catalogo", "lookup", CallOutcome::kRefused, 0, 0);
  recorder.Record("catalogo", "lookup", CallOutcome::kLate, 900'000, 30 * kMinute);
  recorder.Record("catalogo", "lookup", CallOutcome::kGood, 5'000, 59 * kMinute);
  BurnEntry entry = recorder.Snapshot("n1", 59 * kMinute).entries.at(kLookups);
  EXPECT_EQ(entry.fast.counts.Total(), 1U);
  EXPECT_EQ(entry.slow.counts.Total(), 3U);
  EXPECT_EQ(entry.total.latency.count(), 2U);
  // The windows advance without further calls.
  entry = recorder.Snapshot("n1", 70 * kMinute).entries.at(kLookups);
  EXPECT_EQ(entry.fast.counts.Total(), 0U);
  EXPECT_EQ(entry.slow.counts.Total(), 2U);
  EXPECT_EQ(entry.total.counts.Total(), 3U);
}

TEST(BurnIsMergedOverNodes, MergesJsonDocuments) {
  std::vector<NodeReading> readings;
  LatencyHistogram all;
  for (const char* node : {"n1", "n2"}) {
    BurnRecorder recorder;
    for (int64_t i = 0; i < 1000; ++i) {
      recorder.Record("catalogo", "lookup", CallOutcome::kGood, 1000 * (i + 1), i);
      all.Record(1000 * (i + 1));
    }
    recorder.Record("catalogo", "lookup", CallOutcome::kUnknown, 0, 0);
    auto parsed = ParseNodeBurn(ToJson(recorder.Snapshot(node, kMinute)));
    ASSERT_TRUE(parsed) << parsed.error().message;
    EXPECT_EQ(parsed->node, node);
    readings.push_back({node, *parsed});
  }
  readings.push_back({"n3", std::nullopt});
  MeshBurn mesh = MergeBurn(readings);
  EXPECT_EQ(mesh.nodes, (std::vector<std::string>{"n1", "n2"}));
  EXPECT_EQ(mesh.missing, std::vector<std::string>{"n3"});
  const BurnWindow& total = mesh.entries.at(kLookups).total;
  EXPECT_EQ(total.counts.Of(CallOutcome::kGood), 2000U);
  EXPECT_EQ(total.counts.Of(CallOutcome::kUnknown), 2U);
  EXPECT_EQ(total.latency.count(), 2000U);
  EXPECT_EQ(total.latency.sum_us(), all.sum_us());
  EXPECT_EQ(total.latency.Quantile(0.99), all.Quantile(0.99));
}

TEST(BurnIsMergedOverNodes, BudgetFollowsTheObjective) {
  BurnRecorder recorder;
  for (int i = 0; i < 995; ++i) recorder.Record("s", "k", CallOutcome::kGood, 10, 0);
  for (int i = 0; i < 5; ++i) recorder.Record("s", "k", CallOutcome::kIncomplete, 0, 0);
  BurnEntry entry = recorder.Snapshot("n", 0).entries.at({"s", "k"});
  EXPECT_NEAR(BudgetOf(entry, 0.99).left, 0.5, 1e-9);
  EXPECT_NEAR(BudgetOf(entry, 0.99).fast_rate, 0.5, 1e-9);
  EXPECT_NEAR(BudgetOf(entry, 0.999).left, -4, 1e-9);
  EXPECT_EQ(BudgetOf(BurnEntry{}, 0.999).left, 1);
}

TEST(BurnIsMergedOverNodes, ReportPageIsSelfContained) {
  BurnRecorder recorder;
  recorder.Record("catalogo", "look<up>", CallOutcome::kGood, 5'000, 0);
  std::vector<NodeReading> readings = {{"n1", recorder.Snapshot("n1", 0)}, {"n2", std::nullopt}};
  std::string html = BurnReportHtml(MergeBurn(readings), [](auto) { return 0.999; });
  EXPECT_NE(html.find("<svg"), std::string::npos);
  EXPECT_NE(html.find("1 nodes read, 1 missing"), std::string::npos);
  EXPECT_NE(html.find(" n2"), std::string::npos);
  EXPECT_NE(html.find("look&lt;up&gt;"), std::string::npos);
  for (const char* reference : {"http:", "https:", "src=", "href=", "@import", "url("}) {
    EXPECT_EQ(html.find(reference), std::string::npos) << reference;
  }
}

}  // namespace
}  // namespace guavatrail
