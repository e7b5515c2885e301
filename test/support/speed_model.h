// Defines a simulation of backend servers of different speed and of entry nodes in several data
// centres, which runs the production decision modules (server picker, admission). Each entry node
// knows only what its own answers report. It simulates neither network faults nor membership.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavatrail::test {

struct SpeedPhase {
  int64_t from_us = 0;
  int64_t to_us = 0;
  double factor = 1;  // Requests run slower by this factor.
};

struct SpeedServer {
  std::string data_centre;
  double speed = 1;
  int slots = 9;
  // With more requests than this, all of them run slower by (running / knee) ^ knee_exponent.
  int knee = 9;
  double knee_exponent = 1.2;
  int64_t joins_us = 0;  // When the entry nodes learn of it.
  std::vector<SpeedPhase> phases;
};

struct SpeedKind {
  std::string name;
  int64_t work_us = 0;  // Mean service time at speed 1.
  int64_t objective_us = 0;
  int64_t deadline_us = 0;
  double weight = 1;
};

struct SpeedModelOptions {
  std::vector<SpeedServer> servers;
  std::vector<SpeedKind> kinds;
  std::vector<std::string> data_centres;
  size_t entries_per_data_centre = 10;
  int64_t length_us = 20'000'000;
  int64_t measured_from_us = 4'000'000;
  double rate = 100;  // Mean arrivals per second over all entry nodes.
  // The rate of each data centre swings by this share of its mean, out of phase with the others.
  double wave = 0;
  int64_t wave_us = 12'000'000;
  std::string placement = "completion_time";
  bool has_adaptive_concurrency = true;
  // The chooser to compare with: it knows the speed and the requests of every server at every
  // moment, and each server runs as many requests as its knee allows.
  bool knows_all = false;
  uint64_t seed = 1;
};

struct SpeedModelResult {
  uint64_t calls = 0;    // Arrived in the measured time.
  uint64_t in_time = 0;  // Answered within the objective.
  uint64_t refused = 0;
  uint64_t remote = 0;       // Ran in another data centre.
  uint64_t slow_starts = 0;  // Took more than half of their objective to reach a server.
  std::vector<uint64_t> started_by_server;
  // Calls that missed their objective, by second of arrival and by kind.
  std::vector<uint64_t> missed_by_second;
  std::vector<uint64_t> missed_by_kind;
  // Calls that started on each server in each second, by server and second.
  std::vector<std::vector<uint64_t>> started_by_second;
  // The concurrency limit at the end of each second, by server and second.
  std::vector<std::vector<int>> limit_by_second;
  std::vector<int64_t> first_start_us;  // By server; -1: never.
  double InTimeShare() const { return static_cast<double>(in_time) / static_cast<double>(calls); }
};

SpeedModelResult RunSpeedModel(const SpeedModelOptions& options);

}  // namespace guavatrail::test
