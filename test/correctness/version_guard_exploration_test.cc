// Guards against an interleaving of restarts, stale reads of the head, and lost or delayed messages
// in which a node puts a lower version in force than before, also across restarts. Visits every
// state of a model of three nodes that runs the version guard: node a changes its version, while b
// and c are its acceptors, may be restarted, and stay at their version, since a higher version
// reported by an acceptor can only delay a.
#include <gtest/gtest.h>

#include <array>
#include <iostream>

#include "explorer.h"
#include "version_guard.h"

namespace guavatrail {
namespace {

constexpr size_t kAcceptorCount = 2;
constexpr uint64_t kHighestVersion = 2;
// The time is constant; a repetition is due whenever the node acts.
constexpr int64_t kNow = 1'000;

using GuardRule = std::function<GuardActions(GuardState&)>;

struct Reply {
  uint64_t promised_version = 0;
  uint64_t version = 0;
  bool newly_started = false;
};

struct Acceptor {
  uint64_t promised_version = 1;  // Highest version promised by a.
  uint64_t in_force = 1;          // 0 after a restart.
  bool newly_started = false;
  bool restart_unseen = false;  // a has not learned of the restart yet.
  // Messages in flight between a and the acceptor, the latest of each kind. A message that is never
  // delivered models a lost one.
  std::optional<uint64_t> promise;
  std::optional<uint64_t> ack;
  std::optional<Reply> reply;
};

struct Model {
  uint64_t head = 1;
  GuardState guard;
  uint64_t highest_in_force = 1;  // Over all lifetimes of a.
  std::array<Acceptor, kAcceptorCount> acceptors;
  int restarts_left = 0;
  int suspicions_left = 0;
};

std::string Name(size_t i) { return i == 0 ? "b" : "c"; }
std::vector<std::string> AllAcceptors() { return {"b", "c"}; }

class Exploration {
 public:
  Exploration(int restarts, int suspicions, GuardRule rule)
      : m_restarts(restarts), m_suspicions(suspicions), m_rule(std::move(rule)) {}

  // Starts with version 1 in force at all nodes and all promises of it recorded.
  ExplorationResult Run() {
    Model initial = WithBudget();
    SetAcceptors(initial.guard, AllAcceptors(), AllAcceptors());
    RecordTableVersion(initial.guard, 1);
    initial.guard.serving = true;
    initial.guard.in_force = 1;
    for (const std::string& name : AllAcceptors()) RecordPromiseAck(initial.guard, name, 1);
    return RunFrom(initial);
  }

  // Starts after version 2 was in force at all nodes and all nodes were restarted.
  ExplorationResult RunAfterAllRestarted() {
    Model initial = WithBudget();
    initial.head = kHighestVersion;
    initial.highest_in_force = kHighestVersion;
    SetAcceptors(initial.guard, AllAcceptors(), AllAcceptors());
    initial.acceptors.fill({.promised_version = 0, .in_force = 0, .newly_started = true});
    return RunFrom(initial);
  }

 private:
  using Emit = std::function<void(Model&&)>;

  Model WithBudget() const {
    Model initial;
    initial.restarts_left = m_restarts;
    initial.suspicions_left = m_suspicions;
    return initial;
  }

  ExplorationResult RunFrom(const Model& initial) {
    constexpr size_t kMaxStates = 3'000'000;
    return Explore<Model>(
        initial, [](const Model& m) { return Encode(m); }, &Exploration::Check,
        [this](const Model& m, const auto& emit) { return Expand(m, emit); }, kMaxStates);
  }

  static std::string Encode(const Model& m) {
    std::string key;
    auto add = [&key](uint64_t value) { key += static_cast<char>('0' + value); };
    const GuardState& g = m.guard;
    for (uint64_t value :
         {m.head, m.highest_in_force, g.table_version, uint64_t{g.serving}, g.in_force,
          static_cast<uint64_t>(m.restarts_left), static_cast<uint64_t>(m.suspicions_left)}) {
      add(value);
    }
    for (const std::string& acceptor : g.acceptors) key += acceptor;
    for (const auto& [name, k] : g.acceptor_states) {
      key += name;
      add(k.acknowledged);
    }
    if (!g.serving) AddStartState(g, add);
    for (const Acceptor& k : m.acceptors) {
      for (uint64_t value :
           {k.promised_version, k.in_force, uint64_t{k.newly_started}, uint64_t{k.restart_unseen},
            k.promise.value_or(9), k.ack.value_or(9), k.reply ? k.reply->promised_version : 9,
            k.reply ? k.reply->version : 9, k.reply ? uint64_t{k.reply->newly_started} : 9}) {
        add(value);
      }
    }
    return key;
  }

  // Adds the state that is used only before the node serves.
  static void AddStartState(const GuardState& g, const std::function<void(uint64_t)>& add) {
    for (uint64_t value :
         {g.head ? *g.head + 1 : 0, uint64_t{g.platform_reachable}, g.highest_promised,
          g.highest_peer_version, g.confirmed_head ? *g.confirmed_head + 1 : 0}) {
      add(value);
    }
    for (const auto& [name, k] : g.acceptor_states) {
      add(uint64_t{k.answered} + 2 * uint64_t{k.newly_started});
    }
  }

  static std::optional<std::string> Check(const Model& m) {
    if (m.guard.serving && m.guard.in_force < m.highest_in_force) return "a node went back";
    if (m.guard.in_force > m.head) return "a node has a version that was never accepted";
    return std::nullopt;
  }

  std::optional<std::string> Expand(const Model& m, const Emit& emit) {
    if (m.head < kHighestVersion) {
      Model next = m;
      ++next.head;
      emit(std::move(next));
    }
    // Any version up to the head may be read, since reads may be stale.
    for (uint64_t version = 0; version <= m.head; ++version) {
      Change(m, emit, [&](Model& next) {
        RecordHead(next.guard, version);
        RecordTableVersion(next.guard, version);
      });
    }
    Change(m, emit, [](Model& next) { RecordPlatformFailure(next.guard); });
    if (!m.guard.serving) {
      Change(m, emit, [&](Model& next) { RecordConfirmedHead(next.guard, m.head); });
    }
    if (m.restarts_left > 0) emit(Restarted(m));
    for (size_t i = 0; i < kAcceptorCount; ++i) {
      ExpandAcceptor(m, i, emit);
      ExpandMessages(m, i, emit);
    }
    return std::nullopt;
  }

  static Model Restarted(const Model& m) {
    Model next = m;
    --next.restarts_left;
    next.guard = {};
    SetAcceptors(next.guard, AllAcceptors(), AllAcceptors());
    for (Acceptor& acceptor : next.acceptors) {
      // Messages to a are lost with its connections; its own promises may still arrive.
      acceptor.ack.reset();
      acceptor.reply.reset();
      acceptor.restart_unseen = false;
    }
    return next;
  }

  void ExpandAcceptor(const Model& m, size_t i, const Emit& emit) {
    const Acceptor& acceptor = m.acceptors[i];
    if (m.restarts_left > 0) {
      Model next = m;
      --next.restarts_left;
      Acceptor fresh{
          .promised_version = 0, .in_force = 0, .newly_started = true, .restart_unseen = true};
      fresh.ack = acceptor.ack;
      fresh.reply = acceptor.reply;
      next.acceptors[i] = fresh;
      emit(std::move(next));
    }
    if (acceptor.restart_unseen) {
      Change(m, emit, [&](Model& next) {
        next.acceptors[i].restart_unseen = false;
        ForgetAcceptor(next.guard, Name(i));
      });
    }
    if (m.suspicions_left > 0) {
      Change(m, emit, [&](Model& next) {
        --next.suspicions_left;
        SetAcceptors(next.guard, {Name(1 - i)}, AllAcceptors());
      });
    }
    if (m.guard.acceptors.size() < kAcceptorCount) {
      Change(m, emit,
             [](Model& next) { SetAcceptors(next.guard, AllAcceptors(), AllAcceptors()); });
    }
  }

  void ExpandMessages(const Model& m, size_t i, const Emit& emit) {
    const Acceptor& acceptor = m.acceptors[i];
    if (acceptor.promise) {
      Model next = m;
      next.acceptors[i].promised_version = std::max(acceptor.promised_version, *acceptor.promise);
      next.acceptors[i].newly_started = false;
      next.acceptors[i].ack = acceptor.promise;
      next.acceptors[i].promise.reset();
      emit(std::move(next));
    }
    if (acceptor.ack) {
      Change(m, emit, [&](Model& next) {
        next.acceptors[i].ack.reset();
        RecordPromiseAck(next.guard, Name(i), *acceptor.ack);
      });
    }
    // A node that does not serve yet sends queries all the time.
    if (!m.guard.serving) {
      Model next = m;
      next.acceptors[i].reply =
          Reply{acceptor.promised_version, acceptor.in_force, acceptor.newly_started};
      emit(std::move(next));
    }
    if (acceptor.reply) {
      Change(m, emit, [&](Model& next) {
        next.acceptors[i].reply.reset();
        RecordFloorReply(next.guard, Name(i), acceptor.reply->promised_version,
                         acceptor.reply->version, acceptor.reply->newly_started);
      });
    }
  }

  // Changes the state of a and lets the guard decide.
  void Change(const Model& m, const Emit& emit, const std::function<void(Model&)>& change) {
    Model next = m;
    change(next);
    for (auto& [name, acceptor] : next.guard.acceptor_states) {
      acceptor.next_message_ms = 0;
      acceptor.repeat_ms = 0;
      acceptor.promise_sent = 0;
    }
    GuardActions actions = m_rule(next.guard);
    for (const std::string& name : actions.promise_to) {
      next.acceptors[name == "b" ? 0 : 1].promise = actions.promise_version;
    }
    if (actions.in_force_changed && next.guard.in_force > next.highest_in_force) {
      next.highest_in_force = next.guard.in_force;
    }
    emit(std::move(next));
  }

  int m_restarts;
  int m_suspicions;
  GuardRule m_rule;
};

GuardActions ProductionRule(GuardState& guard) { return UpdateGuard(guard, kNow); }

TEST(VersionGuardExploration, NoNodeGoesBackWithTwoRestarts) {
  ExplorationResult result = Exploration(2, 0, ProductionRule).Run();
  std::cout << "restarts=2 suspicions=0 states=" << result.states << '\n';
  EXPECT_FALSE(result.violation) << *result.violation;
  EXPECT_TRUE(result.complete);
}

// All three nodes lose their state while reads of the head are stale.
TEST(VersionGuardExploration, NoNodeGoesBackWhenAllRestart) {
  ExplorationResult result = Exploration(2, 0, ProductionRule).RunAfterAllRestarted();
  std::cout << "all restarted, restarts=2 states=" << result.states << '\n';
  EXPECT_FALSE(result.violation) << *result.violation;
  EXPECT_TRUE(result.complete);
}

TEST(VersionGuardExploration, NoNodeGoesBackWithARestartAndASuspicion) {
  ExplorationResult result = Exploration(1, 1, ProductionRule).Run();
  std::cout << "restarts=1 suspicions=1 states=" << result.states << '\n';
  EXPECT_FALSE(result.violation) << *result.violation;
  EXPECT_TRUE(result.complete);
}

TEST(VersionGuardExploration, DetectsAVersionInForceWithoutPromises) {
  GuardRule mutant = [](GuardState& guard) {
    for (const std::string& acceptor : guard.acceptors) {
      if (guard.serving) RecordPromiseAck(guard, acceptor, guard.table_version);
    }
    return UpdateGuard(guard, kNow);
  };
  ExplorationResult result = Exploration(1, 0, mutant).Run();
  ASSERT_TRUE(result.violation);
  EXPECT_EQ(*result.violation, "a node went back");
}

TEST(VersionGuardExploration, DetectsAStartWithoutTheAcceptorsReplies) {
  GuardRule mutant = [](GuardState& guard) {
    for (const std::string& acceptor : guard.acceptors)
      guard.acceptor_states[acceptor].answered = true;
    return UpdateGuard(guard, kNow);
  };
  ExplorationResult result = Exploration(1, 0, mutant).Run();
  ASSERT_TRUE(result.violation);
  EXPECT_EQ(*result.violation, "a node went back");
}

TEST(VersionGuardExploration, DetectsTrustInNewlyStartedAcceptors) {
  GuardRule mutant = [](GuardState& guard) {
    for (auto& [name, acceptor] : guard.acceptor_states) acceptor.newly_started = false;
    return UpdateGuard(guard, kNow);
  };
  ExplorationResult result = Exploration(0, 0, mutant).RunAfterAllRestarted();
  ASSERT_TRUE(result.violation);
  EXPECT_EQ(*result.violation, "a node went back");
}

}  // namespace
}  // namespace guavatrail
