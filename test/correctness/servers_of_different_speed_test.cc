// Guards against answers that are late although other servers of the service could have given them
// in time: because calls are placed without regard to the speed of the servers, to their present
// state, or to servers in other data centres.
#include <gtest/gtest.h>

#include <cstdio>
#include <numeric>

#include "speed_model.h"

namespace guavatrail::test {
namespace {

constexpr int64_t kSecond = 1'000'000;
constexpr uint64_t kSeeds = 3;

// Six servers in four data centres, two of which have one each. Each slows down at its own number
// of requests; `load` is the share of the capacity of all.
SpeedModelOptions SixServers(double load) {
  SpeedModelOptions options;
  options.data_centres = {"a", "b", "c", "d"};
  options.servers = {{.data_centre = "a", .speed = 0.5, .slots = 9, .knee = 9},
                     {.data_centre = "a", .speed = 1.6, .slots = 10, .knee = 5},
                     {.data_centre = "b", .speed = 1.0, .slots = 11, .knee = 6},
                     {.data_centre = "b", .speed = 0.8, .slots = 12, .knee = 9},
                     {.data_centre = "c", .speed = 1.3, .slots = 9, .knee = 6},
                     {.data_centre = "d", .speed = 1.1, .slots = 10, .knee = 5}};
  options.kinds = {{"check", 47'000, 200'000, 1'000'000, 0.4},
                   {"page", 160'000, 600'000, 2'000'000, 0.5},
                   {"report", 640'000, 2'000'000, 5'000'000, 0.1}};
  double capacity = 0;
  for (const SpeedServer& server : options.servers) capacity += server.speed * server.knee;
  options.rate = load * capacity / (0.4 * 0.047 + 0.5 * 0.16 + 0.1 * 0.64);
  options.length_us = 26 * kSecond;
  return options;
}

SpeedModelOptions WithTrouble(SpeedModelOptions options) {
  options.servers[1].phases = {{8 * kSecond, 14 * kSecond, 6}};
  options.servers[2].phases = {{16 * kSecond, 22 * kSecond, 12}};
  options.servers[4].phases = {{0, 3 * kSecond, 4}};  // Cold after its start.
  return options;
}

SpeedModelOptions WithWaves(SpeedModelOptions options) {
  options.wave = 0.8;
  return options;
}

double InTimeShare(SpeedModelOptions options, const char* name) {
  double calls = 0;
  double in_time = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    SpeedModelResult result = RunSpeedModel(options);
    calls += static_cast<double>(result.calls);
    in_time += static_cast<double>(result.in_time);
  }
  std::printf("chooser=%s in_time=%.4f\n", name, in_time / calls);
  return in_time / calls;
}

void ExpectNearlyAsGoodAsKnowingAll(SpeedModelOptions options) {
  double ours = InTimeShare(options, "completion_time,adaptive");
  options.knows_all = true;
  double best = InTimeShare(options, "knows_all");
  EXPECT_GE(ours, 0.95 * best);
}

TEST(ServersOfDifferentSpeed, CallsAreInTimeInSteadyOperation) {
  ExpectNearlyAsGoodAsKnowingAll(SixServers(0.8));
}

TEST(ServersOfDifferentSpeed, CallsAreInTimeWithSlowPhases) {
  ExpectNearlyAsGoodAsKnowingAll(WithTrouble(SixServers(0.5)));
  ExpectNearlyAsGoodAsKnowingAll(WithTrouble(SixServers(0.7)));
}

TEST(ServersOfDifferentSpeed, CallsAreInTimeInWavesOutOfPhase) {
  ExpectNearlyAsGoodAsKnowingAll(WithWaves(SixServers(0.7)));
  ExpectNearlyAsGoodAsKnowingAll(WithTrouble(WithWaves(SixServers(0.5))));
}

// Each entry node gets an answer of a given server only every 3 s.
TEST(ServersOfDifferentSpeed, CallsAreInTimeWithManyEntryNodes) {
  SpeedModelOptions options = WithTrouble(SixServers(0.6));
  options.entries_per_data_centre = 60;
  ExpectNearlyAsGoodAsKnowingAll(options);
}

// Calls started on server `server` in seconds [from, to), per second.
double StartedPerSecond(const SpeedModelResult& result, size_t server, size_t from, size_t to) {
  const std::vector<uint64_t>& started = result.started_by_second.at(server);
  auto begin = started.begin() + static_cast<std::ptrdiff_t>(from);
  auto end = started.begin() + static_cast<std::ptrdiff_t>(to);
  return std::accumulate(begin, end, 0.0) / static_cast<double>(to - from);
}

TEST(ServersOfDifferentSpeed, ASickServerLosesItsWorkAndGetsItBack) {
  SpeedModelOptions options = SixServers(0.6);
  options.length_us = 40 * kSecond;
  options.servers[1].phases = {{12 * kSecond, 18 * kSecond, 10}};
  SpeedModelResult result = RunSpeedModel(options);
  double before = StartedPerSecond(result, 1, 6, 12);
  EXPECT_LT(StartedPerSecond(result, 1, 14, 18), before / 4);
  EXPECT_GT(StartedPerSecond(result, 1, 24, 38), before * 0.7);
}

TEST(ServersOfDifferentSpeed, ANewServerGetsWorkWithinTwoSeconds) {
  for (double load : {0.05, 0.6}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      SpeedModelOptions options = SixServers(load);
      options.length_us = 20 * kSecond;
      options.seed = seed;
      options.servers[5].joins_us = 10 * kSecond;
      options.servers[5].phases = {{10 * kSecond, 13 * kSecond, 4}};
      int64_t first_us = RunSpeedModel(options).first_start_us.at(5);
      EXPECT_GE(first_us, 10 * kSecond) << load << " seed " << seed;
      EXPECT_LT(first_us, 12 * kSecond) << load << " seed " << seed;
    }
  }
}

TEST(ServersOfDifferentSpeed, EqualServersServeTheirDataCentre) {
  SpeedModelOptions options = SixServers(0.4);
  options.data_centres = {"a", "b"};
  for (size_t i = 0; i < options.servers.size(); ++i) {
    options.servers[i] = {.data_centre = i % 2 == 0 ? "a" : "b"};
  }
  SpeedModelResult result = RunSpeedModel(options);
  EXPECT_LT(result.remote, result.calls / 5);
}

}  // namespace
}  // namespace guavatrail::test
