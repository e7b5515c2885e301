#include "version_guard.h"

#include <algorithm>

namespace guavatrail {

namespace {

using KeeperState = GuardState::KeeperState;

// Returns the state of a keeper, inserting it if necessary.
KeeperState& StateOf(GuardState& guard, std::string_view keeper) {
  auto it = guard.keeper_states.find(keeper);
  if (it == guard.keeper_states.end()) {
    it = guard.keeper_states.emplace(std::string(keeper), KeeperState{}).first;
  }
  return it->second;
}

template <typename Predicate>
size_t Count(const GuardState& guard, const std::vector<std::string>& keepers,
             Predicate predicate) {
  return static_cast<size_t>(std::count_if(keepers.begin(), keepers.end(), [&](const auto& name) {
    auto it = guard.keeper_states.find(name);
    return it != guard.keeper_states.end() && predicate(it->second);
  }));
}

bool IsPromised(const GuardState& guard, uint64_t version) {
  size_t acknowledged =
      Count(guard, guard.keepers, [&](const KeeperState& k) { return k.acknowledged >= version; });
  return acknowledged >= KeeperQuorum(guard.keepers.size());
}

// Whether a message to the keeper is due; if so, sets the time of the next one.
bool IsMessageDue(const GuardState& guard, KeeperState& keeper, int64_t now_ms) {
  if (now_ms < keeper.next_message_ms) return false;
  keeper.repeat_ms = keeper.repeat_ms == 0
                         ? guard.timing.repeat_ms
                         : std::min<int64_t>(keeper.repeat_ms * 2, guard.timing.longest_repeat_ms);
  keeper.next_message_ms = now_ms + keeper.repeat_ms;
  return true;
}

void PlanQueries(GuardState& guard, int64_t now_ms, GuardActions& actions) {
  std::vector<std::string> queried = guard.keepers;
  for (const std::string& keeper : guard.floor_keepers) {
    if (std::find(queried.begin(), queried.end(), keeper) == queried.end())
      queried.push_back(keeper);
  }
  for (const std::string& name : queried) {
    KeeperState& keeper = StateOf(guard, name);
    // A keeper without a record is queried again, since it may learn of a confirmed head.
    if (keeper.answered && !keeper.newly_started) continue;
    if (IsMessageDue(guard, keeper, now_ms)) actions.query.push_back(name);
    actions.next_ms = std::min(actions.next_ms, keeper.next_message_ms);
  }
}

void PlanConfirmation(GuardState& guard, int64_t now_ms, GuardActions& actions) {
  if (guard.confirmed || !guard.head) return;
  int64_t due_ms = std::max(guard.next_confirm_ms, guard.start_ms + guard.timing.confirm_after_ms);
  if (now_ms >= due_ms) {
    actions.confirm_head = true;
    due_ms = guard.next_confirm_ms = now_ms + guard.timing.confirm_repeat_ms;
  }
  actions.next_ms = std::min(actions.next_ms, due_ms);
}

void PlanPromises(GuardState& guard, uint64_t version, int64_t now_ms, GuardActions& actions) {
  actions.promise_version = version;
  for (const std::string& name : guard.keepers) {
    KeeperState& keeper = StateOf(guard, name);
    if (keeper.acknowledged >= version) continue;
    if (keeper.promise_sent < version) {
      // A new version is promised at once.
      keeper.promise_sent = version;
      keeper.next_message_ms = now_ms;
      keeper.repeat_ms = 0;
    }
    if (IsMessageDue(guard, keeper, now_ms)) actions.promise_to.push_back(name);
    actions.next_ms = std::min(actions.next_ms, keeper.next_message_ms);
  }
}

}  // namespace

size_t KeeperQuorum(size_t count) { return std::min<size_t>(count, 2); }

void SetKeepers(GuardState& guard, std::vector<std::string> keepers,
                std::vector<std::string> floor_keepers) {
  guard.keepers = std::move(keepers);
  guard.floor_keepers = std::move(floor_keepers);
}

void ForgetKeeper(GuardState& guard, std::string_view keeper) {
  auto it = guard.keeper_states.find(keeper);
  if (it != guard.keeper_states.end()) guard.keeper_states.erase(it);
}

void RecordHeld(GuardState& guard, uint64_t version) { guard.held = std::max(guard.held, version); }

void RecordHead(GuardState& guard, uint64_t version) {
  guard.head = std::max(guard.head.value_or(0), version);
  guard.platform_reachable = true;
}

void RecordConfirmedHead(GuardState& guard, uint64_t version) {
  RecordHead(guard, version);
  guard.confirmed = std::max(guard.confirmed.value_or(0), version);
}

void RecordPlatformFailure(GuardState& guard) { guard.platform_reachable = false; }

void RecordPeerVersion(GuardState& guard, uint64_t version) {
  guard.highest_peer_version = std::max(guard.highest_peer_version, version);
}

void RecordPromiseAck(GuardState& guard, std::string_view keeper, uint64_t version) {
  KeeperState& state = StateOf(guard, keeper);
  state.acknowledged = std::max(state.acknowledged, version);
}

void RecordFloorReply(GuardState& guard, std::string_view keeper, uint64_t floor, uint64_t version,
                      bool newly_started) {
  KeeperState& state = StateOf(guard, keeper);
  state.answered = true;
  state.newly_started = newly_started;
  state.acknowledged = std::max(state.acknowledged, floor);
  guard.highest_promised = std::max(guard.highest_promised, floor);
  RecordPeerVersion(guard, version);
}

bool MayStart(const GuardState& guard) {
  if (guard.held < guard.highest_promised || guard.held < guard.highest_peer_version) return false;
  if (guard.head && guard.held < *guard.head) return false;
  if (guard.confirmed) return guard.held >= *guard.confirmed;
  bool is_platform_known = guard.head.has_value() || !guard.platform_reachable;
  if (!is_platform_known || guard.floor_keepers.empty()) return false;
  size_t answered = Count(guard, guard.floor_keepers,
                          [](const KeeperState& k) { return k.answered && !k.newly_started; });
  return answered >= KeeperQuorum(guard.floor_keepers.size());
}

GuardActions StepGuard(GuardState& guard, int64_t now_ms) {
  GuardActions actions;
  if (!guard.serving && !MayStart(guard)) {
    PlanQueries(guard, now_ms, actions);
    PlanConfirmation(guard, now_ms, actions);
    return actions;
  }
  bool wants_change = !guard.serving || guard.held > guard.in_force;
  if (wants_change && IsPromised(guard, guard.held)) {
    guard.serving = true;
    guard.in_force = guard.held;
    actions.in_force_changed = true;
  }
  // Keepers beyond the quorum and keepers chosen later must record the version too.
  PlanPromises(guard, guard.held, now_ms, actions);
  return actions;
}

void PromiseLog::Record(std::string_view node, uint64_t version) {
  uint64_t& floor = m_promised_versions.try_emplace(std::string(node), 0).first->second;
  floor = std::max(floor, version);
}

uint64_t PromiseLog::HighestPromised(std::string_view node) const {
  auto it = m_promised_versions.find(node);
  return it == m_promised_versions.end() ? 0 : it->second;
}

}  // namespace guavatrail
