// Guards against a server that is given more requests at once than it handles well, and against a
// limit that falls although more requests still give more throughput, or that does not return.
#include <gtest/gtest.h>

#include <algorithm>

#include "concurrency_limit.h"
#include "speed_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kSecond = 1'000'000;
constexpr int kSlots = 12;

// One server, with the load as a share of what it handles at its knee.
SpeedModelOptions OneServer(SpeedServer server, double load) {
  SpeedModelOptions options;
  server.data_centre = "a";
  server.slots = kSlots;
  options.data_centres = {"a"};
  options.servers = {server};
  options.entries_per_data_centre = 4;
  options.length_us = 30 * kSecond;
  options.kinds = {{"check", 47'000, 400'000, 2'000'000, 0.5},
                   {"page", 160'000, 900'000, 3'000'000, 0.4},
                   {"report", 640'000, 3'000'000, 8'000'000, 0.1}};
  double mean_s = 0.5 * 0.047 + 0.4 * 0.16 + 0.1 * 0.64;
  options.rate = load * server.speed * server.knee / mean_s;
  return options;
}

// Mean over some seeds of what `value_of` returns for the result.
template <typename Value>
double MeanOf(SpeedModelOptions options, Value&& value_of) {
  constexpr uint64_t kSeeds = 3;
  double sum = 0;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    sum += value_of(RunSpeedModel(options));
  }
  return sum / kSeeds;
}

// Mean limit over the seconds [from, to).
double MeanLimit(const SpeedModelOptions& options, size_t from, size_t to) {
  return MeanOf(options, [&](const SpeedModelResult& result) {
    double sum = 0;
    for (size_t second = from; second < to; ++second)
      sum += result.limit_by_second.at(0).at(second);
    return sum / static_cast<double>(to - from);
  });
}

double MeanInTime(const SpeedModelOptions& options) {
  return MeanOf(options, [](const SpeedModelResult& result) { return result.InTimeShare(); });
}

TEST(ConcurrencyLimitFollowsTheServer, FindsAKneeBelowTheSlots) {
  for (int knee : {4, 6}) {
    for (double exponent : {1.2, 1.6}) {
      double limit = MeanLimit(OneServer({.knee = knee, .knee_exponent = exponent}, 0.9), 12, 30);
      EXPECT_GE(limit, knee - 1) << knee << " " << exponent;
      EXPECT_LE(limit, knee + 2.5) << knee << " " << exponent;
    }
  }
}

TEST(ConcurrencyLimitFollowsTheServer, KeepsTheSlotsOfAServerThatIsSlowAtAnyLoad) {
  for (double speed : {0.5, 1.6}) {
    SpeedModelOptions options = OneServer({.speed = speed, .knee = kSlots}, 0.8);
    EXPECT_GE(MeanLimit(options, 4, 30), 0.95 * kSlots) << speed;
    // Twice as slow for a while, with answers in time. The number of running requests rises with
    // the service times then, which looks like a knee until fewer requests are measured too.
    options.rate /= 2;
    options.servers[0].phases = {{10 * kSecond, 20 * kSecond, 2}};
    EXPECT_GE(MeanLimit(options, 4, 30), 0.8 * kSlots) << speed;
    double adaptive = MeanInTime(options);
    options.has_adaptive_concurrency = false;
    EXPECT_GE(adaptive, MeanInTime(options) - 0.05) << speed;
  }
}

TEST(ConcurrencyLimitFollowsTheServer, FallsInASlowPhaseAndReturns) {
  SpeedModelOptions options = OneServer({.knee = kSlots}, 0.5);
  options.servers[0].phases = {{10 * kSecond, 16 * kSecond, 12}};
  EXPECT_LE(MeanLimit(options, 13, 16), 4);
  EXPECT_GE(MeanLimit(options, 20, 30), 0.75 * kSlots);
}

TEST(ConcurrencyLimitFollowsTheServer, RisesAfterAKneeHasGone) {
  // A neighbour takes most of the server's processor at first: the knee is that of half a server.
  SpeedModelOptions options = OneServer({.knee = kSlots}, 0.5);
  options.servers[0].phases = {{0, 3 * kSecond, 6}};
  EXPECT_GE(MeanLimit(options, 10, 30), 0.75 * kSlots);
}

TEST(ConcurrencyLimitFollowsTheServer, StaysWithinOneAndTheSlots) {
  ConcurrencyLimit limit(kSlots);
  EXPECT_EQ(limit.limit(), kSlots);
  EXPECT_EQ(limit.service_us(), 0);
  int64_t now_us = 0;
  for (int i = 0; i < 1000; ++i) {
    now_us += 50'000;
    limit.OnRunning(5, now_us);
    limit.OnSample({.kind = "page", .service_us = 900'000, .allowed_us = 600'000, .running = 5},
                   now_us);
  }
  EXPECT_EQ(limit.limit(), 1);
  limit.SetSlots(20);
  EXPECT_EQ(limit.limit(), 1);
  for (int i = 0; i < 1000; ++i) {
    now_us += 50'000;
    limit.OnRunning(limit.limit(), now_us);
    limit.OnSample({.kind = "page", .service_us = 90'000, .allowed_us = 600'000, .running = 2},
                   now_us);
  }
  EXPECT_EQ(limit.limit(), 20);
  limit.SetSlots(7);
  EXPECT_EQ(limit.limit(), 7);
  limit.Reset();
  EXPECT_EQ(limit.service_us(), 0);
}

}  // namespace
}  // namespace guavatrail::test
