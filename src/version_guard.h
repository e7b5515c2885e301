// Defines the version guard: the decisions about which version a node may put in force, so that no
// node moves back to an older version, not even across a restart without state. Pure: the delivery
// agent sends the messages and passes in the time.
//
// Before a version goes in force, a quorum of the node's keepers has acknowledged a promise of it.
// A node that has started asks its keepers for the floor, the highest version promised to them, and
// serves once one of these holds:
//  (a) it has read the head from the platform in this lifetime or cannot reach the platform, and a
//      quorum of its keepers that have a promise of it on record has answered;
//  (b) the head has been confirmed as current since the node started, by a conditional write of
//  this
//      node or of one that told it;
// and it holds at least each head, floor and version in force that it knows. A head that was only
// read is not enough, since the read may be stale and all keepers may have been restarted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

struct GuardTiming {
  // A promise or query without answer is repeated.
  int64_t repeat_ms = 300;
  // Longest delay between repetitions; reached by doubling. A silent connection is replaced by
  // the first repetition after 1 s, and that must come well within the 6 s in which a version goes
  // in force.
  int64_t longest_repeat_ms = 600;
  // Without the answers of its keepers the node has the head confirmed this long after its start.
  // Nodes that start together choose different times, so that most hear of a confirmation by
  // others.
  int64_t confirm_after_ms = 1'000;
  // A confirmation that did not succeed is tried again.
  int64_t confirm_repeat_ms = 500;
};

// The state of one lifetime.
struct GuardState {
  GuardTiming timing;
  int64_t start_ms = 0;
  // Nodes to promise to: the chosen keepers among the alive members.
  std::vector<std::string> acceptors;
  // Nodes whose floors matter in case (a): the chosen keepers among all members that have not left,
  // since a keeper that is only unreachable may hold the highest promise.
  std::vector<std::string> recovery_acceptors;

  std::optional<uint64_t> head;  // Highest version read from the platform in this lifetime.
  // Highest head that was current at some time in this lifetime.
  std::optional<uint64_t> confirmed_head;
  bool platform_reachable = true;
  uint64_t highest_floor = 0;
  uint64_t highest_told = 0;  // By any peer, of its own version.
  struct AcceptorState {
    uint64_t acknowledged = 0;   // Highest version that the keeper is known to have on record.
    bool answered = false;       // The keeper has answered the floor query.
    bool newly_started = false;  // The keeper may have forgotten promises.
    int64_t next_message_ms = 0;
    int64_t repeat_ms = 0;
    uint64_t promise_sent = 0;  // Version of the last promise.
    bool operator==(const AcceptorState&) const = default;
  };
  std::map<std::string, AcceptorState, std::less<>> acceptor_states;

  uint64_t table_version = 0;  // Version of the newest complete table.
  bool serving = false;
  uint64_t in_force = 0;
  int64_t next_confirm_ms = 0;
};

// Keepers needed of `count`: 2 of 3, all of fewer.
size_t AcceptorQuorum(size_t count);

void SetAcceptors(GuardState& guard, std::vector<std::string> acceptors,
                  std::vector<std::string> recovery_acceptors);
// A keeper was restarted: what it had acknowledged is lost.
void ForgetAcceptor(GuardState& guard, std::string_view acceptor);
void RecordTableVersion(GuardState& guard, uint64_t version);
void RecordHead(GuardState& guard, uint64_t version);
void RecordConfirmedHead(GuardState& guard, uint64_t version);
void RecordPlatformFailure(GuardState& guard);
void RecordPeerVersion(GuardState& guard, uint64_t version);
void RecordPromiseAck(GuardState& guard, std::string_view acceptor, uint64_t version);
void RecordFloorReply(GuardState& guard, std::string_view acceptor, uint64_t floor,
                      uint64_t version, bool newly_started);

// Whether the node may begin to serve the version it holds, apart from promises.
bool CanStartServing(const GuardState& guard);

struct GuardActions {
  std::vector<std::string> query;       // Ask these for the floor.
  std::vector<std::string> promise_to;  // Promise `promise_version` to these.
  uint64_t promise_version = 0;
  bool in_force_changed = false;  // guard.in_force is to be put in force now.
  bool confirm_head = false;      // The head as read is to be confirmed by a conditional write.
  // When to call again if nothing happens before.
  int64_t next_ms = INT64_MAX;
};

// Decides what to do now.
GuardActions UpdateGuard(GuardState& guard, int64_t now_ms);

// The promises that a node keeps for others.
class PromiseBook {
 public:
  void Record(std::string_view node, uint64_t version);
  // Whether the floor of `node` counts: a keeper without a record may have forgotten promises of a
  // former lifetime of the node, however long it has been running.
  bool KnowsPromisesOf(std::string_view node) const { return m_floors.contains(node); }
  uint64_t Floor(std::string_view node) const;

 private:
  std::map<std::string, uint64_t, std::less<>> m_floors;
};

}  // namespace guavatrail
