// Guards against urgent checks that are refused by a server whose slots are all in use although one
// is about to become free, while less urgent downloads get most of its capacity.
#include <gtest/gtest.h>

#include <cstdio>

#include "call_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kMs = 1'000;
constexpr int64_t kSecond = 1'000 * kMs;

// 60 checks of 80 ms and 30 downloads of 300 ms per second on 9 slots: 1.5 times the capacity,
// while the checks alone need half of it.
ModelOptions FullServer(uint64_t seed) {
  ModelOptions options = CurrentPolicies();
  options.admission = [] { return SlotAdmission({.slots = 9, .reserved_short_slots = 0}); };
  options.kinds = {{.name = "check",
                    .is_short = false,
                    .importance = 2,
                    .deadline_us = 520 * kMs,
                    .objective_us = 200 * kMs,
                    .service_us = 80 * kMs,
                    .constant_share = 0.5,
                    .weight = 60},
                   {.name = "download",
                    .is_short = false,
                    .importance = 1,
                    .deadline_us = 1'500 * kMs,
                    .objective_us = 600 * kMs,
                    .service_us = 300 * kMs,
                    .constant_share = 0.5,
                    .weight = 30}};
  options.phases = {{60 * kSecond, 90}};
  options.seed = seed;
  return options;
}

TEST(UrgentChecksPrecedeDownloads, OnAFullServer) {
  for (uint64_t seed : {1, 2, 3}) {
    ModelResult result = RunModel(FullServer(seed));
    const ModelResult::Kind& checks = result.kinds["check"];
    const ModelResult::Kind& downloads = result.kinds["download"];
    std::printf("seed %lu: checks %.3f of %lu, downloads %.3f of %lu in time\n", seed,
                checks.GoodShare(), checks.sent, downloads.GoodShare(), downloads.sent);
    EXPECT_GE(checks.GoodShare(), 0.95);
    // The checks leave 4.2 of 9 slots to the downloads.
    EXPECT_GE(downloads.GoodShare(), 0.35);
  }
}

}  // namespace
}  // namespace guavatrail::test
