// Defines the version guard, which decides which version a node may put in force, so that no node
// ever goes back to an older version, not even across a restart without stored state. Performs no
// I/O: the delivery agent sends the messages and passes in the time.
//
// A version is put in force only after a quorum of the node's acceptors has acknowledged a promise
// of it. After a start a node sends floor queries to its acceptors, which reply with the highest
// version promised to them. It serves once one of these conditions holds:
//  (a) it has read the head from the platform in this lifetime, or cannot reach the platform, and a
//      quorum of its acceptors has replied, each with a record of this node's promises;
//  (b) the head has been confirmed as current since the node started, by a conditional write of
//      this node or of another node that reported it;
// and its table is at least as new as each head, promised version and peer version that it knows
// of. A head that was only read does not suffice, since the read may be stale and all acceptors may
// have been restarted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

struct GuardTiming {
  // A promise or query without a reply is repeated after this time.
  int64_t repeat_ms = 300;
  // Longest delay between repetitions, reached by doubling. A silent connection is replaced at the
  // first repetition after 1 s, which must come well within the 6 s in which a version goes in
  // force.
  int64_t longest_repeat_ms = 600;
  // Without replies of its acceptors the node has the head confirmed this long after its start.
  // Nodes that start together use different times, so that most of them learn of a confirmation by
  // another node.
  int64_t confirm_after_ms = 1'000;
  // A failed confirmation is repeated after this time.
  int64_t confirm_repeat_ms = 500;
};

// State of the guard in one lifetime of the node.
struct GuardState {
  GuardTiming timing;
  int64_t start_ms = 0;
  // Nodes that the node sends promises to: the acceptors chosen from the alive members.
  std::vector<std::string> acceptors;
  // Nodes whose floor replies count in case (a): the acceptors chosen from all members that have
  // not left, since an acceptor that is only unreachable may have the highest promise.
  std::vector<std::string> recovery_acceptors;

  std::optional<uint64_t> head;  // Highest version read from the platform in this lifetime.
  // Highest head that was current at some time in this lifetime.
  std::optional<uint64_t> confirmed_head;
  bool platform_reachable = true;
  uint64_t highest_promised = 0;
  uint64_t highest_peer_version = 0;  // Highest version that any peer reported as its own.
  struct AcceptorState {
    uint64_t acknowledged = 0;  // Highest version that the acceptor is known to have recorded.
    bool answered = false;      // The acceptor has replied to the floor query.
    // The acceptor has no record of this node's promises and may have lost it in a restart.
    bool newly_started = false;
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

// Number of acceptors in a quorum of `count`: 2 of 3, all of fewer.
size_t AcceptorQuorum(size_t count);

void SetAcceptors(GuardState& guard, std::vector<std::string> acceptors,
                  std::vector<std::string> recovery_acceptors);
// Drops the state of an acceptor that was restarted and so lost its record of promises.
void ForgetAcceptor(GuardState& guard, std::string_view acceptor);
void RecordTableVersion(GuardState& guard, uint64_t version);
void RecordHead(GuardState& guard, uint64_t version);
void RecordConfirmedHead(GuardState& guard, uint64_t version);
void RecordPlatformFailure(GuardState& guard);
void RecordPeerVersion(GuardState& guard, uint64_t version);
void RecordPromiseAck(GuardState& guard, std::string_view acceptor, uint64_t version);
void RecordFloorReply(GuardState& guard, std::string_view acceptor, uint64_t promised_version,
                      uint64_t version, bool newly_started);

// Whether the node may begin to serve the version of its table, apart from promises.
bool CanStartServing(const GuardState& guard);

struct GuardActions {
  std::vector<std::string> query;       // Nodes to send a floor query to.
  std::vector<std::string> promise_to;  // Nodes to send a promise of `promise_version` to.
  uint64_t promise_version = 0;
  bool in_force_changed = false;  // guard.in_force must be put in force now.
  bool confirm_head = false;      // The head as read must be confirmed by a conditional write.
  // Latest time of the next call of UpdateGuard.
  int64_t next_ms = INT64_MAX;
};

// Returns the actions that are due now, and updates the state accordingly.
GuardActions UpdateGuard(GuardState& guard, int64_t now_ms);

// The promises that a node has received as an acceptor of others.
class PromiseLog {
 public:
  void Record(std::string_view node, uint64_t version);
  // Whether HighestPromised(node) counts. An acceptor without a record of `node` may have lost
  // promises of an earlier lifetime of `node`, however long the acceptor has been running.
  bool HasRecordOf(std::string_view node) const { return m_promised_versions.contains(node); }
  // The highest version that `node` has promised; 0 without a record.
  uint64_t HighestPromised(std::string_view node) const;

 private:
  std::map<std::string, uint64_t, std::less<>> m_promised_versions;
};

}  // namespace guavatrail
