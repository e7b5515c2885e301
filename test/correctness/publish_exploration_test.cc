// Guards against an interleaving of two operators and three nodes in which the order splits, a note
// is published twice, an accepted note is lost or reported as refused, or a node goes back or gets
// part of a note. Visits every state of a model that drives the decision code of the publisher.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>

#include "explorer.h"
#include "publish_decision.h"

namespace guavatrail {
namespace {

// The rules under test; a mutant replaces one of them.
struct Rules {
  std::function<HeadDecision(PublishProgress&, const HeadObject&)> examine =
      [](PublishProgress& progress, const HeadObject& head) {
        return ExamineHead(progress, head, {});
      };
  std::function<WriteDecision(const PublishProgress&, const HeadObject&, const ReleaseNote&,
                              const ConfigTable&)>
      plan = PlanWrite;
};

// Heads that occur in the model, by number; each comes with its table and the notes that led to it.
struct HeadPool {
  struct Entry {
    ConfigHead head;
    ConfigTable table;
    std::vector<std::string> log;  // Ids with digests.
    bool is_whole = false;         // The table is that of the head's digest.
    bool has_id_twice = false;
  };
  std::vector<Entry> entries;
  std::map<std::string, int> by_bytes;

  int Add(const ConfigHead& head, const ConfigTable& table) {
    auto [it, inserted] = by_bytes.emplace(EncodeHead(head), static_cast<int>(entries.size()));
    if (inserted) {
      Entry entry{head, table, {}};
      entry.is_whole = DigestOf(EncodeTable(table)) == head.table_digest;
      std::vector<std::string> ids;
      for (const LogEntry& e : head.tail) {
        entry.log.push_back(e.note_id + "-" + e.digest);
        ids.push_back(e.note_id);
      }
      std::sort(ids.begin(), ids.end());
      entry.has_id_twice = std::adjacent_find(ids.begin(), ids.end()) != ids.end();
      entries.push_back(std::move(entry));
    }
    return it->second;
  }
};

// A planned update; head -1 stands for a refusal.
struct PlannedWrite {
  int head = -1;
  uint64_t expected = 0;
  bool is_fence = false;
};

enum class Phase { kReadFirst, kClaim, kRead, kWrite, kDone };
enum class Outcome { kNone, kAccepted, kRefused, kUnknown };

// A progress that states share, with the part of the key of a state that stands for it.
struct SharedProgress {
  PublishProgress progress;
  std::string key;
};

std::shared_ptr<const SharedProgress> Share(PublishProgress progress) {
  std::string key;
  for (uint64_t value : {progress.base_version, progress.checked_version, uint64_t{progress.fenced},
                         progress.unanswered ? *progress.unanswered + 1 : 0,
                         progress.known_object_version, static_cast<uint64_t>(progress.rebases)}) {
    key += std::to_string(value) + ",";
  }
  for (const LogEntry& entry : progress.meanwhile) key += entry.note_id + ",";
  return std::make_shared<const SharedProgress>(SharedProgress{std::move(progress), key});
}

struct Operator {
  Phase phase = Phase::kReadFirst;
  std::shared_ptr<const SharedProgress> shared;  // Null before the first read and when done.
  int update_head = -1;
  uint64_t update_expected = 0;
  bool update_is_fence = false;
  Outcome outcome = Outcome::kNone;
  uint64_t accepted_version = 0;
};

struct Model {
  std::vector<int> history;                       // Head numbers by object version from 1 on.
  std::vector<std::pair<uint64_t, int>> delayed;  // Expected object version and head number.
  std::array<Operator, 2> operators;
  std::map<std::string, uint64_t> claims;
  std::array<uint64_t, 3> nodes{};  // Versions, sorted: the nodes are alike.
  // Bounds of the model, for both operators together.
  int restarts_left = 1;
  int lost_left = 1;  // Unanswered head updates.
};

class Exploration {
 public:
  Exploration(std::array<ReleaseNote, 2> notes, Rules rules)
      : m_notes(std::move(notes)), m_rules(std::move(rules)) {
    for (size_t i = 0; i < m_notes.size(); ++i) {
      LogEntry entry = MakeLogEntry(m_notes[i]);
      m_identities[i] = entry.note_id + "-" + entry.digest;
    }
  }

  ExplorationResult Run() {
    Model initial;
    // Two heads, so that there is a stale one from the beginning.
    ConfigTable table;
    ConfigHead head;
    for (const ReleaseNote& note : BaseNotes()) {
      table = *table.Apply(note);
      head = AppendEntry(head, MakeLogEntry(note), table).head;
      initial.history.push_back(m_pool.Add(head, table));
    }
    initial.nodes.fill(head.version);
    constexpr size_t kMaxStates = 2'000'000;
    return Explore<Model>(
        initial, [](const Model& m) { return Encode(m); },
        [this](const Model& m) { return Check(m); },
        [this](const Model& m, const auto& emit) { return Expand(m, emit); }, kMaxStates);
  }

  static std::vector<ReleaseNote> BaseNotes() {
    return {{"base-1", "t", "", {WorkKind{.name = "w"}}, {}, {}},
            {"base-2", "t", "", {Service{"s", "t", 0.9}}, {}, {}}};
  }

 private:
  using Emit = std::function<void(Model&&)>;

  static std::string Encode(const Model& m) {
    std::string key;
    auto add = [&key](int64_t value) { key += std::to_string(value) + ","; };
    for (int head : m.history) add(head);
    key += "|";
    for (const auto& [expected, head] : m.delayed) {
      add(static_cast<int64_t>(expected));
      add(head);
    }
    for (const Operator& op : m.operators) {
      key += "|";
      for (int64_t value :
           {static_cast<int64_t>(op.phase), static_cast<int64_t>(op.outcome),
            static_cast<int64_t>(op.accepted_version), static_cast<int64_t>(op.update_head),
            static_cast<int64_t>(op.update_expected), static_cast<int64_t>(op.update_is_fence)}) {
        add(value);
      }
      if (op.shared != nullptr) key += op.shared->key;
    }
    for (const auto& [id, version] : m.claims) key += id + "=" + std::to_string(version) + ",";
    for (uint64_t node : m.nodes) add(static_cast<int64_t>(node));
    add(m.restarts_left);
    add(m.lost_left);
    return key;
  }

  const HeadPool::Entry& Current(const Model& m) const { return m_pool.entries[m.history.back()]; }

  std::optional<std::string> Check(const Model& m) const {
    const std::vector<std::string>* before = nullptr;
    for (int number : m.history) {
      const std::vector<std::string>& log = m_pool.entries[number].log;
      if (before != nullptr && !std::equal(before->begin(), before->end(), log.begin(),
                                           log.begin() + std::min(before->size(), log.size()))) {
        return "one order: a head does not extend the head before it";
      }
      before = &log;
    }
    if (Current(m).has_id_twice) return "a note is in the log twice";
    for (size_t i = 0; i < m.operators.size(); ++i) {
      const Operator& op = m.operators[i];
      const auto& log = Current(m).log;
      bool in_log = std::find(log.begin(), log.end(), m_identities[i]) != log.end();
      if (op.outcome == Outcome::kAccepted &&
          (op.accepted_version > log.size() || log[op.accepted_version - 1] != m_identities[i])) {
        return "an accepted note is not in the log at its version";
      }
      if (op.outcome == Outcome::kRefused && in_log)
        return "a note reported as refused is accepted";
    }
    for (uint64_t node : m.nodes) {
      if (node > Current(m).head.version) return "a node has a version that was never accepted";
    }
    return std::nullopt;
  }

  std::optional<std::string> Expand(const Model& m, const Emit& emit) {
    for (size_t i = 0; i < m.operators.size(); ++i) ExpandOperator(m, i, emit);
    for (size_t i = 0; i < m.delayed.size(); ++i) {
      Model next = m;
      next.delayed.erase(next.delayed.begin() + static_cast<std::ptrdiff_t>(i));
      Write(next, m.delayed[i].first, m.delayed[i].second);
      emit(std::move(next));
    }
    return ExpandNodes(m, emit);
  }

  // Nodes read any head, also stale ones, or take the version of another node.
  std::optional<std::string> ExpandNodes(const Model& m, const Emit& emit) {
    for (size_t i = 0; i < m.nodes.size(); ++i) {
      for (int number : m.history) {
        const HeadPool::Entry& read = m_pool.entries[number];
        if (read.head.version <= m.nodes[i]) continue;
        if (!read.is_whole) return "a node has part of a note";
        MoveNode(m, i, read.head.version, emit);
      }
      for (uint64_t other : m.nodes) {
        if (other > m.nodes[i]) MoveNode(m, i, other, emit);
      }
    }
    return std::nullopt;
  }

  static void MoveNode(const Model& m, size_t i, uint64_t version, const Emit& emit) {
    Model next = m;
    next.nodes[i] = version;
    std::sort(next.nodes.begin(), next.nodes.end());
    emit(std::move(next));
  }

  static bool Write(Model& m, uint64_t expected, int head) {
    if (m.history.size() != expected) return false;
    m.history.push_back(head);
    return true;
  }

  void ExpandOperator(const Model& m, size_t i, const Emit& emit) {
    const Operator& op = m.operators[i];
    // The process is restarted, or the operator repeats the command after an unknown outcome.
    bool may_restart = op.phase != Phase::kDone || op.outcome == Outcome::kUnknown;
    if (may_restart && m.restarts_left > 0) {
      Model next = m;
      next.operators[i] = {};
      --next.restarts_left;
      emit(std::move(next));
    }
    if (op.phase == Phase::kRead || op.phase == Phase::kWrite) {
      Model next = m;
      next.operators[i].phase = Phase::kDone;
      next.operators[i].outcome = Outcome::kUnknown;
      emit(std::move(next));
    }
    if (op.phase == Phase::kReadFirst) ReadFirst(m, i, emit);
    if (op.phase == Phase::kClaim) Claim(m, i, emit);
    if (op.phase == Phase::kRead) ReadAndPlan(m, i, emit);
    if (op.phase == Phase::kWrite) WriteHead(m, i, emit);
  }

  // Kept, since copying and planning take most of the time.
  const HeadObject& ObjectAt(const Model& m, size_t object_version) {
    int number = m.history[object_version - 1];
    auto [it, inserted] = m_objects.try_emplace({number, object_version});
    if (inserted) it->second = {m_pool.entries[number].head, object_version};
    return it->second;
  }

  void ReadFirst(const Model& m, size_t i, const Emit& emit) {
    for (size_t version = 1; version <= m.history.size(); ++version) {
      Model next = m;
      next.operators[i].shared = Share(StartRun(m_notes[i], ObjectAt(m, version)));
      next.operators[i].phase = Phase::kClaim;
      emit(std::move(next));
    }
  }

  void Claim(const Model& m, size_t i, const Emit& emit) {
    const std::string& id = m_notes[i].id;
    Model next = m;
    Operator& op = next.operators[i];
    PublishProgress progress = op.shared->progress;
    auto [claim, created] = next.claims.emplace(id, progress.base_version);
    op.phase = Phase::kRead;
    if (!created) {
      RecordClaimFound(progress, claim->second);
      op.shared = Share(std::move(progress));
      return emit(std::move(next));
    }
    // The answer is lost: the run begins anew.
    Model lost = next;
    lost.operators[i].shared.reset();
    lost.operators[i].phase = Phase::kReadFirst;
    emit(std::move(lost));
    RecordClaimCreated(progress);
    op.shared = Share(std::move(progress));
    emit(std::move(next));
  }

  void ReadAndPlan(const Model& m, size_t i, const Emit& emit) {
    for (size_t version = 1; version <= m.history.size(); ++version) {
      Model next = m;
      Operator& op = next.operators[i];
      const HeadObject& object = ObjectAt(m, version);
      PublishProgress progress = op.shared->progress;
      HeadDecision decision = m_rules.examine(progress, object);
      if (std::holds_alternative<RereadHead>(decision)) continue;
      op.shared = Share(std::move(progress));
      if (auto* accepted = std::get_if<NoteAccepted>(&decision)) {
        Finish(op, Outcome::kAccepted, accepted->version);
      } else if (std::holds_alternative<NoteRefused>(decision)) {
        Finish(op, Outcome::kRefused, 0);
      } else {
        Plan(op, i, object, m.history[version - 1]);
      }
      emit(std::move(next));
    }
  }

  void Plan(Operator& op, size_t i, const HeadObject& object, int number) {
    const PublishProgress& p = op.shared->progress;
    std::string key = std::to_string(i) + "," + std::to_string(number) + "," +
                      std::to_string(object.object_version) + "," + op.shared->key;
    auto [it, inserted] = m_planned.try_emplace(key);
    if (inserted) {
      ConfigTable table = m_pool.entries[number].table;
      WriteDecision decision = m_rules.plan(p, object, m_notes[i], table);
      if (auto* update = std::get_if<UpdateHead>(&decision)) {
        auto after = table.Apply(m_notes[i]);
        bool keeps_table = update->is_fence || !after;
        it->second = {m_pool.Add(update->head, keeps_table ? table : *after),
                      update->expected_object_version, update->is_fence};
      }
    }
    if (it->second.head < 0) return Finish(op, Outcome::kRefused, 0);
    op.phase = Phase::kWrite;
    op.update_head = it->second.head;
    op.update_expected = it->second.expected;
    op.update_is_fence = it->second.is_fence;
  }

  void WriteHead(const Model& m, size_t i, const Emit& emit) {
    const Operator& op = m.operators[i];
    UpdateHead update{
        {}, m_pool.entries[op.update_head].head, op.update_expected, op.update_is_fence};
    Model answered = m;
    bool done = Write(answered, op.update_expected, op.update_head);
    Record(answered.operators[i], update, done ? WriteOutcome::kDone : WriteOutcome::kConflict);
    emit(std::move(answered));
    Model refused = m;
    Record(refused.operators[i], update, WriteOutcome::kNotWritten);
    emit(std::move(refused));
    if (m.lost_left == 0) return;
    // No answer; the update takes effect at once, later or never.
    Model lost = m;
    --lost.lost_left;
    Record(lost.operators[i], update, WriteOutcome::kUnanswered);
    std::pair<uint64_t, int> write{op.update_expected, op.update_head};
    if (std::find(lost.delayed.begin(), lost.delayed.end(), write) == lost.delayed.end()) {
      lost.delayed.push_back(write);
      std::sort(lost.delayed.begin(), lost.delayed.end());
    }
    emit(std::move(lost));
  }

  static void Record(Operator& op, const UpdateHead& update, WriteOutcome outcome) {
    PublishProgress progress = op.shared->progress;
    auto version = RecordWrite(progress, update, outcome);
    op.shared = Share(std::move(progress));
    op.phase = Phase::kRead;
    op.update_head = -1;
    op.update_expected = 0;
    op.update_is_fence = false;
    if (version) Finish(op, Outcome::kAccepted, *version);
  }

  static void Finish(Operator& op, Outcome outcome, uint64_t version) {
    op.phase = Phase::kDone;
    op.outcome = outcome;
    op.accepted_version = version;
    op.shared.reset();
  }

  std::array<ReleaseNote, 2> m_notes;
  std::array<std::string, 2> m_identities;
  Rules m_rules;
  HeadPool m_pool;
  std::map<std::pair<int, uint64_t>, HeadObject> m_objects;
  std::map<std::string, PlannedWrite> m_planned;
};

ReleaseNote Adds(const std::string& id, const Resource& resource) {
  return {id, "t", "", {resource}, {}, {}};
}

struct Scenario {
  const char* name;
  std::array<ReleaseNote, 2> notes;
};

// Keeps the names of the tests stable.
void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

std::vector<Scenario> Scenarios() {
  ReleaseNote route = Adds("route", Route{"r", "/r", "s", "w"});
  ReleaseNote withdraw{"withdraw", "t", "", {}, {}, {{ResourceType::kService, "s"}}};
  ReleaseNote one = Adds("one", Service{"x", "t", 0.9});
  return {{"disjoint", {route, Adds("two", Service{"y", "t", 0.9})}},
          {"conflicting", {one, Adds("two", Service{"x", "t", 0.8})}},
          {"dependent", {route, withdraw}},
          {"same_note", {route, route}},
          {"same_id", {one, Adds("one", Service{"z", "t", 0.9})}}};
}

class PublishExplorationOf : public testing::TestWithParam<Scenario> {};

TEST_P(PublishExplorationOf, EveryInvariantHoldsInEveryState) {
  ExplorationResult result = Exploration(GetParam().notes, Rules{}).Run();
  std::cout << "scenario=" << GetParam().name << " states=" << result.states << '\n';
  EXPECT_FALSE(result.violation) << *result.violation;
  EXPECT_TRUE(result.complete);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, PublishExplorationOf, testing::ValuesIn(Scenarios()),
                         [](const auto& info) { return std::string(info.param.name); });

// Runs a mutant over all scenarios; returns the violations.
std::vector<std::string> Violations(const Rules& rules) {
  std::vector<std::string> violations;
  for (const Scenario& scenario : Scenarios()) {
    ExplorationResult result = Exploration(scenario.notes, rules).Run();
    if (result.violation)
      violations.push_back(std::string(scenario.name) + ": " + *result.violation);
  }
  for (const std::string& violation : violations) std::cout << violation << '\n';
  return violations;
}

TEST(PublishExploration, FindsARefusalWithoutFence) {
  Rules mutant;
  mutant.plan = [](const PublishProgress& progress, const HeadObject& head, const ReleaseNote& note,
                   const ConfigTable& table) {
    PublishProgress forgetful = progress;
    forgetful.fenced = true;
    forgetful.unanswered.reset();
    return PlanWrite(forgetful, head, note, table);
  };
  EXPECT_FALSE(Violations(mutant).empty());
}

TEST(PublishExploration, FindsAPublicationWithoutCheckOfTheId) {
  Rules mutant;
  mutant.examine = [](PublishProgress& progress, const HeadObject& head) -> HeadDecision {
    HeadDecision decision = ExamineHead(progress, head, {});
    if (std::holds_alternative<NoteAccepted>(decision)) return NeedTable{};
    return decision;
  };
  mutant.plan = [](const PublishProgress&, const HeadObject& head, const ReleaseNote& note,
                   const ConfigTable& table) -> WriteDecision {
    // A change that is valid a second time.
    auto next = table.Apply(note);
    ConfigTable after = next ? *next : table.SkipVersion();
    return UpdateHead{
        {}, AppendEntry(head.head, MakeLogEntry(note), after).head, head.object_version};
  };
  EXPECT_FALSE(Violations(mutant).empty());
}

}  // namespace
}  // namespace guavatrail
