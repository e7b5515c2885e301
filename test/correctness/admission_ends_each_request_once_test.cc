// Guards against a request that is run after it was refused, is run twice or is lost, and against
// more running requests than slots.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "admission.h"
#include "random_source.h"

namespace guavatrail {
namespace {

using Action = AdmissionDecision::Action;

enum class State { kQueued, kRunning, kEnded };

class Ledger {
 public:
  void Add(uint64_t id, State state) {
    EXPECT_TRUE(m_states.emplace(id, state).second) << "request " << id << " was added twice";
  }
  void Move(uint64_t id, State from, State to) {
    EXPECT_EQ(m_states.at(id), from) << "request " << id;
    m_states[id] = to;
  }
  void Apply(const AdmissionChanges& changes) {
    for (uint64_t id : changes.start) Move(id, State::kQueued, State::kRunning);
    for (const auto& refusal : changes.refuse) Move(refusal.id, State::kQueued, State::kEnded);
  }
  std::vector<uint64_t> In(State state) const {
    std::vector<uint64_t> ids;
    for (const auto& [id, s] : m_states) {
      if (s == state) ids.push_back(id);
    }
    return ids;
  }

 private:
  std::map<uint64_t, State> m_states;
};

void RunRandomEvents(uint64_t seed, AdmissionPolicy policy, size_t slots) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  RandomSource random(seed);
  Ledger ledger;
  int64_t now_us = 0;
  uint64_t next_id = 0;
  for (int step = 0; step < 3000; ++step) {
    now_us += static_cast<int64_t>(random.Below(2000));
    std::vector<uint64_t> running = ledger.In(State::kRunning);
    std::vector<uint64_t> queued = ledger.In(State::kQueued);
    uint64_t event = random.Below(10);
    if (event < 5) {
      AdmissionRequest request{++next_id, static_cast<int>(random.Below(4)), random.Below(2) == 0,
                               now_us + static_cast<int64_t>(random.Below(100'000)), now_us};
      AdmissionDecision decision = Arrive(policy, request, now_us);
      for (const auto& evicted : decision.evicted) {
        ledger.Move(evicted.id, State::kQueued, State::kEnded);
      }
      ledger.Add(request.id, decision.action == Action::kRun     ? State::kRunning
                             : decision.action == Action::kQueue ? State::kQueued
                                                                 : State::kEnded);
      if (decision.action == Action::kRefuse) {
        EXPECT_GT(decision.retry_after_ms, 0);
      }
    } else if (event < 8 && !running.empty()) {
      uint64_t id = running[random.Below(running.size())];
      ledger.Move(id, State::kRunning, State::kEnded);
      ledger.Apply(Finish(policy, id, static_cast<int64_t>(random.Below(20'000)), now_us));
      EXPECT_TRUE(Finish(policy, id, 1, now_us).start.empty());
    } else if (event == 8 && !(running.empty() && queued.empty())) {
      bool cancels_queued = running.empty() || (!queued.empty() && random.Below(2) == 0);
      const auto& from = cancels_queued ? queued : running;
      uint64_t id = from[random.Below(from.size())];
      ledger.Move(id, cancels_queued ? State::kQueued : State::kRunning, State::kEnded);
      ledger.Apply(Cancel(policy, id, now_us));
    } else {
      ledger.Apply(Expire(policy, now_us));
    }
    ASSERT_LE(ledger.In(State::kRunning).size(), slots);
    ASSERT_EQ(static_cast<size_t>(LoadOf(policy).in_service), ledger.In(State::kRunning).size());
    ASSERT_EQ(static_cast<size_t>(LoadOf(policy).queued), ledger.In(State::kQueued).size());
  }
}

TEST(AdmissionEndsEachRequestOnce, UnderRandomEvents) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunRandomEvents(seed, SlotAdmission({.slots = 4, .reserved_short_slots = 1, .queue_limit = 12}),
                    4);
  }
}

TEST(AdmissionEndsEachRequestOnce, UnderRandomEventsWithTheBaseline) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    RunRandomEvents(seed, UnlimitedAdmission({.concurrency = 4}), 4);
  }
}

}  // namespace
}  // namespace guavatrail
