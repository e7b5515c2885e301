// Guards against messages on quotas that crash a node or make it compute with impossible values.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "quota_codec.h"
#include "quota_ledger.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

QuotaReport GoodReport() {
  return {.node = "node-1",
          .process = 7,
          .time_us = 9'000'000,
          .base_time_us = 7'500'000,
          .usages = {{"loja", {30, 20, 1}, {10, 10, 0}}, {"loja-2", {1, 1, 0}, {}}}};
}

QuotaReply GoodReply() { return {.reporting_share = 0.5, .limits = {{"loja", 0.25, 12.5, 3}}}; }

TEST(QuotaMessagesAreChecked, MessagesAreDecodedAsEncoded) {
  EXPECT_EQ(DecodeQuotaReport(EncodeQuotaReport(GoodReport())).value(), GoodReport());
  EXPECT_EQ(DecodeQuotaReply(EncodeQuotaReply(GoodReply())).value(), GoodReply());
}

TEST(QuotaMessagesAreChecked, ImpossibleReportsAreRejected) {
  std::vector<std::function<void(QuotaReport&)>> faults = {
      [](QuotaReport& report) { report.node.clear(); },
      [](QuotaReport& report) { report.node = std::string(300, 'a'); },
      [](QuotaReport& report) { report.time_us = 7'000'000; },
      [](QuotaReport& report) { report.time_us = std::numeric_limits<int64_t>::max(); },
      [](QuotaReport& report) { report.base_time_us = -90'000'000; },
      [](QuotaReport& report) { report.usages[0].workspace = "a\nb"; },
      [](QuotaReport& report) { report.usages[0].workspace = "a "; },
      [](QuotaReport& report) { report.usages[0].workspace.clear(); },
      [](QuotaReport& report) { report.usages[0].workspace = std::string(256, 'a'); },
      [](QuotaReport& report) { report.usages[0].total.admitted = 31; },
      [](QuotaReport& report) { report.usages[0].total.returned = 21; },
      [](QuotaReport& report) { report.usages[0].base.admitted = 11; },
      [](QuotaReport& report) {
        report.usages[0].total.offered = std::numeric_limits<uint64_t>::max();
      },
      [](QuotaReport& report) { report.usages.resize(kMaxQuotaEntries + 1, report.usages[0]); }};
  for (size_t i = 0; i < faults.size(); ++i) {
    QuotaReport report = GoodReport();
    faults[i](report);
    EXPECT_FALSE(DecodeQuotaReport(EncodeQuotaReport(report))) << "fault " << i;
  }
}

TEST(QuotaMessagesAreChecked, ImpossibleRepliesAreRejected) {
  for (double value : {-0.1, std::nan(""), kInfinity}) {
    QuotaReply reply = GoodReply();
    reply.reporting_share = value;
    EXPECT_FALSE(DecodeQuotaReply(EncodeQuotaReply(reply)));
    reply = GoodReply();
    reply.limits[0].share = value;
    EXPECT_FALSE(DecodeQuotaReply(EncodeQuotaReply(reply)));
    reply = GoodReply();
    reply.limits[0].rate_per_s = value;
    EXPECT_FALSE(DecodeQuotaReply(EncodeQuotaReply(reply)));
    reply = GoodReply();
    reply.limits[0].burst = value;
    EXPECT_FALSE(DecodeQuotaReply(EncodeQuotaReply(reply)));
  }
  EXPECT_FALSE(DecodeQuotaReply("no message"));
}

// Whatever decodes must leave the ledger with finite values.
TEST(QuotaMessagesAreChecked, MutatedReportsDoNotBreakTheLedger) {
  RandomSource random(20261206);
  QuotaLedger ledger;
  ledger.SetQuotas({{"loja", {.name = "loja", .rate_per_s = 5, .burst = 5}}});
  ledger.SetNodes({"node-1", "node-2"});
  std::string good = EncodeQuotaReport(GoodReport());
  int64_t now_us = 1'000'000;
  int decoded = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (uint64_t n = 1 + random.Below(3); n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    auto report = DecodeQuotaReport(bytes);
    if (!report) continue;
    ++decoded;
    now_us += 1'000;
    QuotaReply reply = ledger.OnReport(*report, now_us);
    ASSERT_TRUE(DecodeQuotaReply(EncodeQuotaReply(reply))) << i;
    ASSERT_TRUE(std::isfinite(ledger.LevelOf("loja")));
  }
  EXPECT_GT(decoded, 0);
}

}  // namespace
}  // namespace guavatrail
