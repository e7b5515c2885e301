// Guards against decisions that take a noticeable part of the 0.82 ms by which a call may be
// delayed.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

#include "admission.h"
#include "burn.h"
#include "outlier_detector.h"
#include "placement.h"

namespace guavatrail {
namespace {

// Several times the figures of an idle machine, so that the test does not fail on a busy one.
constexpr double kLimitNs = 50'000;

std::vector<std::string> ServerNames() {
  std::vector<std::string> names(25);
  for (size_t i = 0; i < names.size(); ++i) names[i] = "server-" + std::to_string(i);
  return names;
}

template <typename Decision>
void Measure(const char* name, int times, Decision&& decision) {
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < times; ++i) decision(i);
  std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
  double ns = took.count() / times;
  std::printf("decision=%s ns=%.0f\n", name, ns);
  EXPECT_LT(ns, kLimitNs) << name;
}

TEST(DecisionsAreFast, AdmissionWithAFullQueue) {
  for (AdmissionPolicy policy : {AdmissionPolicy(SlotAdmission(SlotAdmission::Options{})),
                                 AdmissionPolicy(UnlimitedAdmission({.concurrency = 9}))}) {
    constexpr int64_t kDeadline = INT64_MAX / 2;
    std::deque<uint64_t> running;
    uint64_t id = 0;
    for (int i = 0; i < 200; ++i) {
      if (Arrive(policy, {.id = ++id, .deadline_us = kDeadline}, 0).action ==
          AdmissionDecision::Action::kRun) {
        running.push_back(id);
      }
    }
    Measure(policy.index() == 0 ? "admission_slots" : "admission_unlimited", 100'000, [&](int i) {
      Arrive(policy, {.id = ++id, .deadline_us = kDeadline}, i);
      uint64_t done = running.front();
      running.pop_front();
      for (uint64_t started : Finish(policy, done, 5'000, i).start) running.push_back(started);
    });
  }
}

TEST(DecisionsAreFast, PlacementAmong25Servers) {
  std::vector<std::string> names = ServerNames();
  RandomSource random(1);
  for (PlacementPolicy policy :
       {PlacementPolicy(TwoChoices({.local_data_centre = "dc0"})), PlacementPolicy(RoundRobin())}) {
    LoadTracker tracker;
    for (const auto& name : names) tracker.OnLoadReport(name, {2, 0, 5000}, 0);
    Measure(policy.index() == 0 ? "placement_two_choices" : "placement_round_robin", 100'000,
            [&](int i) {
              std::vector<PlacementCandidate> candidates;
              candidates.reserve(names.size());
              for (size_t n = 0; n < names.size(); ++n) {
                candidates.push_back({.node = names[n], .data_centre = n % 3 ? "dc0" : "dc1"});
                tracker.FillCandidate(candidates.back(), i);
              }
              const std::string& chosen = names[*Choose(policy, candidates, random)];
              tracker.OnCallSent(chosen, i);
              tracker.OnCallEnded(chosen);
            });
  }
}

TEST(DecisionsAreFast, OutlierDetectionAmong25Servers) {
  std::vector<std::string> names = ServerNames();
  std::vector<std::string_view> views(names.begin(), names.end());
  OutlierPolicy policy;
  SetServers(policy, views, 0);
  Measure("outlier_answer", 200'000, [&](int i) {
    const auto& name = names[static_cast<size_t>(i) % names.size()];
    OnAnswer(policy, {name, "lookup", 5'000 + i % 7, 5'000}, i * int64_t{100});
  });
}

TEST(DecisionsAreFast, BurnRecord) {
  BurnRecorder recorder;
  Measure("burn_record", 500'000, [&](int i) {
    recorder.Record("catalogo", "lookup", CallOutcome::kGood, 5'000 + i % 1000, i * int64_t{100});
  });
}

}  // namespace
}  // namespace guavatrail
