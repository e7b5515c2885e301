// Defines the version guard: the decisions about which version a node may put in force, so that no
// node moves back to an older version, not even across a restart without state. Pure: the delivery
// agent sends the messages and passes in the time.
//
// Before a version goes in force, a quorum of the node's keepers has acknowledged a promise of it.
// A node that has started asks its keepers for the floor, the highest version promised to them, and
// serves once one of these holds:
//  (a) it has read the head from the platform in this lifetime, holds at least that version, and a
//      quorum of its alive keepers has answered;
//  (b) the platform is unreachable, and a quorum of its keepers, none of them newly started, has
//      answered;
// and it holds at least each floor and each version in force that a peer has told. The keepers'
// answers in (a) guard against a stale read of the head.
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
  // A node that knows no other member waits this long for the membership before it relies on the
  // platform alone.
  int64_t lone_start_ms = 1'000;
};

// The state of one lifetime.
struct GuardState {
  GuardTiming timing;
  int64_t start_ms = 0;
  // Nodes to promise to: the chosen keepers among the alive members.
  std::vector<std::string> keepers;
  // Nodes whose floors matter in case (b): the chosen keepers among all members that have not left,
  // since a keeper that is only unreachable may hold the highest promise.
  std::vector<std::string> floor_keepers;

  std::optional<uint64_t> head;  // Highest version read from the platform in this lifetime.
  bool platform_reachable = true;
  uint64_t highest_floor = 0;
  uint64_t highest_told = 0;  // By any peer, of its own version.
  struct KeeperState {
    uint64_t acknowledged = 0;   // Highest version that the keeper is known to have on record.
    bool answered = false;       // The keeper has answered the floor query.
    bool newly_started = false;  // The keeper may not know all promises.
    int64_t next_message_ms = 0;
    int64_t repeat_ms = 0;
    uint64_t promise_sent = 0;  // Version of the last promise.
    bool operator==(const KeeperState&) const = default;
  };
  std::map<std::string, KeeperState, std::less<>> keeper_states;

  uint64_t held = 0;  // Version of the newest complete table.
  bool serving = false;
  uint64_t in_force = 0;
};

// Keepers needed of `count`: 2 of 3, all of fewer.
size_t KeeperQuorum(size_t count);

void SetKeepers(GuardState& guard, std::vector<std::string> keepers,
                std::vector<std::string> floor_keepers);
// A keeper was restarted: what it had acknowledged is lost.
void ForgetKeeper(GuardState& guard, std::string_view keeper);
void RecordHeld(GuardState& guard, uint64_t version);
void RecordHead(GuardState& guard, uint64_t version);
void RecordPlatformFailure(GuardState& guard);
void RecordPeerVersion(GuardState& guard, uint64_t version);
void RecordPromiseAck(GuardState& guard, std::string_view keeper, uint64_t version);
void RecordFloorReply(GuardState& guard, std::string_view keeper, uint64_t floor, uint64_t version,
                      bool newly_started);

// Whether the node may begin to serve the version it holds, apart from promises.
bool MayStart(const GuardState& guard, int64_t now_ms);

struct GuardActions {
  std::vector<std::string> query;       // Ask these for the floor.
  std::vector<std::string> promise_to;  // Promise `promise_version` to these.
  uint64_t promise_version = 0;
  bool in_force_changed = false;  // guard.in_force is to be put in force now.
  // When to call again if nothing happens before.
  int64_t next_ms = INT64_MAX;
};

// Decides what to do now.
GuardActions StepGuard(GuardState& guard, int64_t now_ms);

// The promises that a node keeps for others.
class PromiseBook {
 public:
  // After this time all nodes have noticed that the keeper was restarted and have promised again.
  static constexpr int64_t kNewlyStartedMs = 30'000;

  explicit PromiseBook(int64_t start_ms) : m_start_ms(start_ms) {}
  // Time after which repeated promises have replaced any older one that was still on its way when
  // the keeper was started.
  static constexpr int64_t kSettledMs = 5'000;

  void Record(std::string_view node, uint64_t version, int64_t now_ms);
  // Whether the floor of `node` covers all promises that it has made to this keeper. A node repeats
  // its promise to a keeper that was restarted, so a settled record is as good as a long lifetime.
  bool KnowsAllPromisesOf(std::string_view node, int64_t now_ms) const;
  uint64_t Floor(std::string_view node) const;
  bool IsNewlyStarted(int64_t now_ms) const { return now_ms - m_start_ms < kNewlyStartedMs; }

 private:
  int64_t m_start_ms;
  struct Entry {
    uint64_t floor = 0;
    int64_t first_ms = 0;
  };
  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace guavatrail
