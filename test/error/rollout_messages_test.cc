// Guards against a message about a rollout that ends the node which reads it, or that has counts
// which no node can have.
#include <gtest/gtest.h>

#include "config_table.h"
#include "random_source.h"
#include "rollout_codec.h"

namespace guavatrail {
namespace {

RolloutReport MakeReport() {
  RolloutCounts counts;
  counts.Start(0, 0);
  for (int i = 0; i < 50; ++i)
    counts.OnResult({"lookup", i % 7 == 0, int64_t{900} * i}, 20'000'000);
  return {.target = "v2",
          .phase = RolloutPhase::kOpening,
          .version = "v2",
          .run = "p/1/i",
          .in_service = 3,
          .work = counts.work()};
}

TEST(RolloutMessagesTest, ReportIsDecodedAsEncoded) {
  RolloutReport report = MakeReport();
  auto decoded = DecodeReport(EncodeReport(report));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->target, report.target);
  EXPECT_EQ(decoded->phase, report.phase);
  EXPECT_EQ(decoded->version, report.version);
  EXPECT_EQ(decoded->run, report.run);
  EXPECT_EQ(decoded->in_service, report.in_service);
  EXPECT_EQ(decoded->work, report.work);
}

TEST(RolloutMessagesTest, NoticeIsDecodedAsEncoded) {
  RolloutNotice notice{"catalogo", {"v2", RolloutPhase::kRolledBack}, {{"lookup", 5'000}}};
  auto decoded = DecodeNotice(EncodeNotice(notice));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->service, notice.service);
  EXPECT_EQ(decoded->progress, notice.progress);
  EXPECT_EQ(decoded->slow_limits, notice.slow_limits);
}

TEST(RolloutMessagesTest, ImpossibleValuesAreRefused) {
  EXPECT_FALSE(DecodeNotice("x"));
  EXPECT_FALSE(DecodeReport("x"));
  EXPECT_FALSE(DecodeNotice(""));
  for (uint32_t phase : {0U, 6U, 4'000'000'000U}) {
    pb::RolloutNotice notice;
    notice.set_target("v2");
    notice.set_phase(phase);
    EXPECT_FALSE(DecodeNotice(notice.SerializeAsString()));
  }
  pb::RolloutReport report;
  pb::RolloutKindCounts& counts = *report.add_kinds();
  counts.set_kind("lookup");
  counts.set_answers(3);
  counts.set_failures(2);
  EXPECT_TRUE(DecodeReport(report.SerializeAsString()));
  counts.add_times(2);
  EXPECT_FALSE(DecodeReport(report.SerializeAsString()));
  counts.set_answers(-1);
  counts.set_failures(-9);
  EXPECT_FALSE(DecodeReport(report.SerializeAsString()));
}

// A node keeps the versions of which it has heard, and the limits of the work kinds.
TEST(RolloutMessagesTest, NamesThatAreTooLongAreRefused) {
  auto notice = [](size_t target, size_t kind) {
    return EncodeNotice({"catalogo",
                         {std::string(target, 'v'), RolloutPhase::kRunning},
                         {{std::string(kind, 'k'), 5'000}}});
  };
  EXPECT_TRUE(DecodeNotice(notice(kMaxVersionLength, kMaxNameLength)));
  EXPECT_FALSE(DecodeNotice(notice(kMaxVersionLength + 1, kMaxNameLength)));
  EXPECT_FALSE(DecodeNotice(notice(kMaxVersionLength, kMaxNameLength + 1)));
}

TEST(RolloutMessagesTest, MutatedBytesAreReadOrRefused) {
  RandomSource random(5);
  std::string report = EncodeReport(MakeReport());
  std::string notice =
      EncodeNotice({"catalogo", {"v2", RolloutPhase::kRunning}, {{"lookup", 5'000}}});
  for (int i = 0; i < 20'000; ++i) {
    for (std::string bytes : {report, notice}) {
      for (uint64_t n = 1 + random.Below(4); n > 0; --n) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
      }
      bytes.resize(random.Below(bytes.size() + 1));
      (void)DecodeNotice(bytes);
      (void)DecodeReport(bytes);
    }
  }
}

}  // namespace
}  // namespace guavatrail
