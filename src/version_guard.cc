#include "version_guard.h"

#include <algorithm>

namespace guavatrail {

namespace {

using AcceptorState = GuardState::AcceptorState;

// Returns the state of an acceptor, inserting it if necessary.
AcceptorState& StateOf(GuardState& guard, std::string_view acceptor) {
  auto it = guard.acceptor_states.find(acceptor);
  if (it == guard.acceptor_states.end()) {
    it = guard.acceptor_states.emplace(std::string(acceptor), AcceptorState{}).first;
  }
  return it->second;
}

template <typename Predicate>
size_t Count(const GuardState& guard, const std::vector<std::string>& acceptors,
             Predicate predicate) {
  return static_cast<size_t>(
      std::count_if(acceptors.begin(), acceptors.end(), [&](const auto& name) {
        auto it = guard.acceptor_states.find(name);
        return it != guard.acceptor_states.end() && predicate(it->second);
      }));
}

bool IsPromised(const GuardState& guard, uint64_t version) {
  size_t acknowledged = Count(guard, guard.acceptors,
                              [&](const AcceptorState& a) { return a.acknowledged >= version; });
  return acknowledged >= AcceptorQuorum(guard.acceptors.size());
}

// Whether a message to the acceptor is due; if so, sets the time of the next one.
bool IsMessageDue(const GuardState& guard, AcceptorState& acceptor, int64_t now_ms) {
  if (now_ms < acceptor.next_message_ms) return false;
  acceptor.repeat_ms = acceptor.repeat_ms == 0 ? guard.timing.repeat_ms
                                               : std::min<int64_t>(acceptor.repeat_ms * 2,
                                                                   guard.timing.longest_repeat_ms);
  acceptor.next_message_ms = now_ms + acceptor.repeat_ms;
  return true;
}

void PlanQueries(GuardState& guard, int64_t now_ms, GuardActions& actions) {
  std::vector<std::string> queried = guard.acceptors;
  for (const std::string& acceptor : guard.recovery_acceptors) {
    if (std::find(queried.begin(), queried.end(), acceptor) == queried.end())
      queried.push_back(acceptor);
  }
  for (const std::string& name : queried) {
    AcceptorState& acceptor = StateOf(guard, name);
    // An acceptor without a record is queried again, since it may learn of a confirmed head.
    if (acceptor.answered && !acceptor.newly_started) continue;
    if (IsMessageDue(guard, acceptor, now_ms)) actions.query.push_back(name);
    actions.next_ms = std::min(actions.next_ms, acceptor.next_message_ms);
  }
}

void PlanConfirmation(GuardState& guard, int64_t now_ms, GuardActions& actions) {
  if (guard.confirmed_head || !guard.head) return;
  int64_t due_ms = std::max(guard.next_confirm_ms, guard.start_ms + guard.timing.confirm_after_ms);
  if (now_ms >= due_ms) {
    actions.confirm_head = true;
    due_ms = guard.next_confirm_ms = now_ms + guard.timing.confirm_repeat_ms;
  }
  actions.next_ms = std::min(actions.next_ms, due_ms);
}

void PlanPromises(GuardState& guard, uint64_t version, int64_t now_ms, GuardActions& actions) {
  actions.promise_version = version;
  for (const std::string& name : guard.acceptors) {
    AcceptorState& acceptor = StateOf(guard, name);
    if (acceptor.acknowledged >= version) continue;
    if (acceptor.promise_sent < version) {
      // A new version is promised at once.
      acceptor.promise_sent = version;
      acceptor.next_message_ms = now_ms;
      acceptor.repeat_ms = 0;
    }
    if (IsMessageDue(guard, acceptor, now_ms)) actions.promise_to.push_back(name);
    actions.next_ms = std::min(actions.next_ms, acceptor.next_message_ms);
  }
}

}  // namespace

size_t AcceptorQuorum(size_t count) { return std::min<size_t>(count, 2); }

void SetAcceptors(GuardState& guard, std::vector<std::string> acceptors,
                  std::vector<std::string> recovery_acceptors) {
  guard.acceptors = std::move(acceptors);
  guard.recovery_acceptors = std::move(recovery_acceptors);
}

void ForgetAcceptor(GuardState& guard, std::string_view acceptor) {
  auto it = guard.acceptor_states.find(acceptor);
  if (it != guard.acceptor_states.end()) guard.acceptor_states.erase(it);
}

void RecordTableVersion(GuardState& guard, uint64_t version) {
  guard.table_version = std::max(guard.table_version, version);
}

void RecordHead(GuardState& guard, uint64_t version) {
  guard.head = std::max(guard.head.value_or(0), version);
  guard.platform_reachable = true;
}

void RecordConfirmedHead(GuardState& guard, uint64_t version) {
  RecordHead(guard, version);
  guard.confirmed_head = std::max(guard.confirmed_head.value_or(0), version);
}

void RecordPlatformFailure(GuardState& guard) { guard.platform_reachable = false; }

void RecordPeerVersion(GuardState& guard, uint64_t version) {
  guard.highest_peer_version = std::max(guard.highest_peer_version, version);
}

void RecordPromiseAck(GuardState& guard, std::string_view acceptor, uint64_t version) {
  AcceptorState& state = StateOf(guard, acceptor);
  state.acknowledged = std::max(state.acknowledged, version);
}

void RecordFloorReply(GuardState& guard, std::string_view acceptor, uint64_t promised_version,
                      uint64_t version, bool newly_started) {
  AcceptorState& state = StateOf(guard, acceptor);
  state.answered = true;
  state.newly_started = newly_started;
  state.acknowledged = std::max(state.acknowledged, promised_version);
  guard.highest_promised = std::max(guard.highest_promised, promised_version);
  RecordPeerVersion(guard, version);
}

bool CanStartServing(const GuardState& guard) {
  if (guard.table_version < guard.highest_promised ||
      guard.table_version < guard.highest_peer_version)
    return false;
  if (guard.head && guard.table_version < *guard.head) return false;
  if (guard.confirmed_head) return guard.table_version >= *guard.confirmed_head;
  bool is_platform_known = guard.head.has_value() || !guard.platform_reachable;
  if (!is_platform_known || guard.recovery_acceptors.empty()) return false;
  size_t answered = Count(guard, guard.recovery_acceptors,
                          [](const AcceptorState& a) { return a.answered && !a.newly_started; });
  return answered >= AcceptorQuorum(guard.recovery_acceptors.size());
}

GuardActions UpdateGuard(GuardState& guard, int64_t now_ms) {
  GuardActions actions;
  if (!guard.serving && !CanStartServing(guard)) {
    PlanQueries(guard, now_ms, actions);
    PlanConfirmation(guard, now_ms, actions);
    return actions;
  }
  bool wants_change = !guard.serving || guard.table_version > guard.in_force;
  if (wants_change && IsPromised(guard, guard.table_version)) {
    guard.serving = true;
    guard.in_force = guard.table_version;
    actions.in_force_changed = true;
  }
  // Acceptors beyond the quorum and acceptors chosen later must record the version too.
  PlanPromises(guard, guard.table_version, now_ms, actions);
  return actions;
}

void PromiseLog::Record(std::string_view node, uint64_t version) {
  uint64_t& promised_version = m_promised_versions.try_emplace(std::string(node), 0).first->second;
  promised_version = std::max(promised_version, version);
}

uint64_t PromiseLog::HighestPromised(std::string_view node) const {
  auto it = m_promised_versions.find(node);
  return it == m_promised_versions.end() ? 0 : it->second;
}

}  // namespace guavatrail
