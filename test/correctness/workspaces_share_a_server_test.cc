// Guards against a workspace that sends several times its usual demand and takes the room that
// other workspaces need, and against work of less important workspaces that is run first when room
// is short. The model is one server with nine slots and no network.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "admission.h"
#include "random_source.h"

namespace guavatrail {
namespace {

using Action = AdmissionDecision::Action;

constexpr int64_t kSecond = 1'000'000;
constexpr int64_t kMs = 1'000;
constexpr int64_t kServiceUs = 100 * kMs;
constexpr int64_t kObjectiveUs = 400 * kMs;
constexpr int64_t kDeadlineUs = kSecond;
constexpr int kSlots = 9;
constexpr double kCapacityPerS = kSlots * static_cast<double>(kSecond) / kServiceUs;

struct Caller {
  WorkspaceTag workspace;
  double rate_per_s = 0;
  bool repeats_at_once = false;
};

struct Outcome {
  int offered = 0;
  int served = 0;
  double share() const { return offered == 0 ? 1 : static_cast<double>(served) / offered; }
};

// Plays the arrivals of `callers` for `seconds` on one server, and returns what became of the
// requests by workspace.
class SharedServer {
 public:
  std::map<std::string, Outcome> Play(const std::vector<Caller>& callers, int seconds) {
    for (size_t i = 0; i < callers.size(); ++i) m_events.push({NextArrival(callers[i], 0), i, 0});
    while (!m_events.empty()) {
      Event event = m_events.top();
      m_events.pop();
      Apply(Expire(m_policy, event.time_us), event.time_us);
      if (event.request != 0) {
        Apply(Finish(m_policy, event.request, kServiceUs, event.time_us), event.time_us);
      } else if (event.time_us < seconds * kSecond) {
        OnArrival(callers[event.caller], event.time_us);
        m_events.push({NextArrival(callers[event.caller], event.time_us), event.caller, 0});
      }
    }
    return m_outcomes;
  }

 private:
  struct Event {
    int64_t time_us = 0;
    size_t caller = 0;
    uint64_t request = 0;  // The request that ends; 0: an arrival.
    bool operator<(const Event& other) const { return time_us > other.time_us; }
  };

  int64_t NextArrival(const Caller& caller, int64_t now_us) {
    double gap_s = -std::log(1 - m_random.Unit()) / caller.rate_per_s;
    return now_us + std::max<int64_t>(1, static_cast<int64_t>(gap_s * kSecond));
  }

  void OnArrival(const Caller& caller, int64_t now_us) {
    ++m_outcomes[caller.workspace.name].offered;
    constexpr int kTries = 4;
    for (int i = 0; i < (caller.repeats_at_once ? kTries : 1); ++i) {
      if (Offer(caller, now_us)) return;
    }
  }

  bool Offer(const Caller& caller, int64_t now_us) {
    uint64_t id = m_next_id++;
    AdmissionDecision decision = Arrive(m_policy,
                                        {.id = id,
                                         .deadline_us = now_us + kDeadlineUs,
                                         .arrival_us = now_us,
                                         .objective_us = now_us + kObjectiveUs,
                                         .workspace = caller.workspace,
                                         .kind = "lookup"},
                                        now_us);
    if (decision.action == Action::kRefuse) return false;
    m_names[id] = caller.workspace.name;
    for (const AdmissionRefusal& refusal : decision.evicted) m_names.erase(refusal.id);
    if (decision.action == Action::kRun) OnStarted(id, now_us);
    return true;
  }

  void Apply(const AdmissionChanges& changes, int64_t now_us) {
    for (uint64_t id : changes.start) OnStarted(id, now_us);
  }

  void OnStarted(uint64_t id, int64_t now_us) {
    ++m_outcomes[m_names.at(id)].served;
    m_events.push({now_us + kServiceUs, 0, id});
  }

  AdmissionPolicy m_policy = SlotAdmission({.slots = kSlots, .reserved_short_slots = 0});
  RandomSource m_random{11};
  std::priority_queue<Event> m_events;
  std::map<uint64_t, std::string> m_names;
  std::map<std::string, Outcome> m_outcomes;
  uint64_t m_next_id = 1;
};

// Twenty workspaces of unlike sizes that take 0.6 of the server together; the first one takes a
// fifth of that.
std::vector<Caller> UsualDemand() {
  std::vector<Caller> callers;
  double total = 0;
  for (int i = 0; i < 20; ++i) total += 1.0 / (i + 1);
  for (int i = 0; i < 20; ++i) {
    double rate = 0.6 * kCapacityPerS / (i + 1) / total;
    callers.push_back({{"w" + std::to_string(i), 1, 1.6 * rate}, rate});
  }
  return callers;
}

void ExpectOthersServed(const std::map<std::string, Outcome>& outcomes, const std::string& surging,
                        const std::map<std::string, Outcome>& usual) {
  for (const auto& [name, outcome] : outcomes) {
    if (name == surging) continue;
    EXPECT_GE(outcome.share(), usual.at(name).share() - 0.05) << name;
  }
}

TEST(WorkspacesShareAServer, SurgeOfOneLeavesTheOthersTheirRoom) {
  std::vector<Caller> callers = UsualDemand();
  auto usual = SharedServer().Play(callers, 60);
  callers[0].rate_per_s *= 7.5;
  auto outcomes = SharedServer().Play(callers, 60);
  ExpectOthersServed(outcomes, "w0", usual);
  // What the others leave free is used.
  EXPECT_GT(outcomes.at("w0").served, 0.3 * kCapacityPerS * 60);
}

TEST(WorkspacesShareAServer, SurgeWithRepeatedRequestsLeavesTheOthersTheirRoom) {
  std::vector<Caller> callers = UsualDemand();
  auto usual = SharedServer().Play(callers, 60);
  callers[1].rate_per_s *= 7.5;
  callers[1].repeats_at_once = true;
  ExpectOthersServed(SharedServer().Play(callers, 60), "w1", usual);
}

// Without a shortage a workspace is not limited to its share.
TEST(WorkspacesShareAServer, FreeRoomIsNotKeptBack) {
  std::vector<Caller> callers = UsualDemand();
  for (Caller& caller : callers) caller.rate_per_s *= 0.2;
  callers[0].rate_per_s *= 10;
  for (const auto& [name, outcome] : SharedServer().Play(callers, 60)) {
    EXPECT_GE(outcome.share(), 0.99) << name;
  }
}

TEST(WorkspacesShareAServer, NoneIsServedLessThanAQuarterAsOftenAsAll) {
  std::vector<Caller> callers = UsualDemand();
  for (Caller& caller : callers) caller.rate_per_s *= 3;
  callers[0].rate_per_s *= 3;
  auto outcomes = SharedServer().Play(callers, 60);
  Outcome all;
  for (const auto& [name, outcome] : outcomes) {
    all.offered += outcome.offered;
    all.served += outcome.served;
  }
  for (const auto& [name, outcome] : outcomes) {
    EXPECT_GE(outcome.share(), all.share() / 4) << name;
  }
}

// The importance of the workspace goes before that of the work kind; a call of a server that runs a
// request already goes first.
TEST(WorkspacesShareAServer, QueueFollowsTheImportanceOfTheWorkspace) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0});
  Arrive(policy, {.id = 1, .deadline_us = kSecond}, 0);
  Arrive(policy, {.id = 2, .importance = 3, .deadline_us = kSecond, .workspace = {"a", 1, 1}}, 0);
  Arrive(policy, {.id = 3, .importance = 0, .deadline_us = kSecond, .workspace = {"b", 2, 1}}, 0);
  Arrive(policy, {.id = 4, .importance = 1, .deadline_us = kSecond, .workspace = {"b", 2, 1}}, 0);
  Arrive(policy, {.id = 5, .importance = 0, .deadline_us = kSecond}, 0);
  std::vector<uint64_t> order;
  for (uint64_t running = 1; order.size() < 4; running = order.back()) {
    AdmissionChanges changes = Finish(policy, running, 1000, 1000);
    ASSERT_EQ(changes.start.size(), 1U);
    order.push_back(changes.start[0]);
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{5, 4, 3, 2}));
}

TEST(WorkspacesShareAServer, FullQueueEvictsTheLessImportantWorkspace) {
  AdmissionPolicy policy = SlotAdmission({.slots = 1, .reserved_short_slots = 0, .queue_limit = 1});
  Arrive(policy, {.id = 1, .deadline_us = kSecond}, 0);
  Arrive(policy, {.id = 2, .importance = 3, .deadline_us = kSecond, .workspace = {"a", 1, 1}}, 0);
  AdmissionDecision decision = Arrive(
      policy, {.id = 3, .importance = 0, .deadline_us = kSecond, .workspace = {"b", 2, 1}}, 0);
  EXPECT_EQ(decision.action, Action::kQueue);
  ASSERT_EQ(decision.evicted.size(), 1U);
  EXPECT_EQ(decision.evicted[0].id, 2U);
}

// State must not grow with the number of workspaces that were ever seen.
TEST(WorkspacesShareAServer, InactiveWorkspacesAreForgotten) {
  FairShare shares;
  for (int i = 0; i < 1000; ++i) {
    shares.OnStarted({"w" + std::to_string(i), 1, 1}, kServiceUs, i * kSecond);
  }
  EXPECT_LT(shares.size(), 20U);
}

}  // namespace
}  // namespace guavatrail
