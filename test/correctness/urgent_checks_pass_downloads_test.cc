// Guards against urgent checks that are refused at a full server although a slot is about to be
// free, while less urgent downloads get most of its time.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr int64_t kMs = 1'000;
constexpr int64_t kSecond = 1'000 * kMs;

struct KindOfLoad {
  std::string name;
  int importance = 0;
  double rate_per_second = 0;
  int64_t service_us = 0;
  int64_t objective_us = 0;
  int64_t deadline_us = 0;
};

struct Result {
  int asked = 0;
  int in_time = 0;
  double share() const { return static_cast<double>(in_time) / asked; }
};

// One server with nine slots, and requests that come and last at random.
class ServerModel {
 public:
  ServerModel(std::vector<KindOfLoad> kinds, uint64_t seed)
      : m_kinds(std::move(kinds)), m_random(seed) {}

  std::map<std::string, Result> Run(int64_t length_us) {
    for (const KindOfLoad& kind : m_kinds) PlanArrival(kind, 0);
    while (!m_events.empty() && m_events.top().time_us < length_us) {
      Event event = m_events.top();
      m_events.pop();
      m_now_us = event.time_us;
      Apply(m_admission.Expire(m_now_us));
      if (event.ends == 0) {
        OnArrival(*event.kind);
      } else {
        OnEnd(event.ends);
      }
    }
    return m_results;
  }

 private:
  struct Event {
    int64_t time_us = 0;
    const KindOfLoad* kind = nullptr;
    uint64_t ends = 0;  // The request that ends; 0: one arrives.
    bool operator<(const Event& other) const { return time_us > other.time_us; }
  };
  struct Request {
    const KindOfLoad* kind = nullptr;
    int64_t arrival_us = 0;
    int64_t start_us = 0;
  };

  int64_t Exponential(double mean_us) {
    return static_cast<int64_t>(-std::log(1 - m_random.Unit()) * mean_us) + 1;
  }

  void PlanArrival(const KindOfLoad& kind, int64_t now_us) {
    m_events.push({now_us + Exponential(kSecond / kind.rate_per_second), &kind, 0});
  }

  void OnArrival(const KindOfLoad& kind) {
    PlanArrival(kind, m_now_us);
    ++m_results[kind.name].asked;
    uint64_t id = m_next_id++;
    m_requests[id] = {&kind, m_now_us, 0};
    AdmissionDecision decision = m_admission.Arrive({.id = id,
                                                     .importance = kind.importance,
                                                     .is_short = false,
                                                     .deadline_us = m_now_us + kind.deadline_us,
                                                     .arrival_us = m_now_us,
                                                     .objective_us = m_now_us + kind.objective_us,
                                                     .kind = kind.name},
                                                    m_now_us);
    Apply({.refuse = decision.evicted});
    if (decision.action == AdmissionDecision::Action::kRun) Begin(id);
  }

  void Begin(uint64_t id) {
    Request& request = m_requests.at(id);
    request.start_us = m_now_us;
    // Half of the time is fixed.
    int64_t half_us = request.kind->service_us / 2;
    m_events.push({m_now_us + half_us + Exponential(static_cast<double>(half_us)), nullptr, id});
  }

  void OnEnd(uint64_t id) {
    const Request& request = m_requests.at(id);
    bool is_in_time = m_now_us - request.arrival_us <= request.kind->deadline_us;
    if (is_in_time) ++m_results[request.kind->name].in_time;
    Apply(m_admission.Finish(id, m_now_us - request.start_us, m_now_us));
  }

  void Apply(const AdmissionChanges& changes) {
    for (uint64_t id : changes.start) Begin(id);
  }

  std::vector<KindOfLoad> m_kinds;
  RandomSource m_random;
  SlotAdmission m_admission{{.slots = 9, .reserved_short_slots = 0}};
  std::priority_queue<Event> m_events;
  std::unordered_map<uint64_t, Request> m_requests;
  std::map<std::string, Result> m_results;
  uint64_t m_next_id = 1;
  int64_t m_now_us = 0;
};

// Half more work than the server can do; the checks alone need half of it.
TEST(UrgentChecksPassDownloads, OnAFullServer) {
  for (uint64_t seed : {1, 2, 3}) {
    ServerModel model({{"check", 2, 60, 80 * kMs, 200 * kMs, 520 * kMs},
                       {"download", 1, 30, 300 * kMs, 600 * kMs, 1'500 * kMs}},
                      seed);
    std::map<std::string, Result> results = model.Run(60 * kSecond);
    std::printf("seed %lu: checks %.3f of %d, downloads %.3f of %d in time\n", seed,
                results["check"].share(), results["check"].asked, results["download"].share(),
                results["download"].asked);
    EXPECT_GE(results["check"].share(), 0.95);
    // What the checks leave is 4.2 of 9 slots of work.
    EXPECT_GE(results["download"].share(), 0.35);
  }
}

}  // namespace
}  // namespace guavatrail
