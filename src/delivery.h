// Defines the pure parts of delivery: who watches and who keeps promises (rendezvous hashing),
// which announcer to pull from, the recent notes that a node can pass on, snapshots for nodes that
// are far behind, and how received notes become a table.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config_table.h"
#include "control.pb.h"

namespace guavatrail {

// A candidate in a choice by rendezvous hash.
struct Candidate {
  std::string node;
  std::string data_centre;
};

// The `count` candidates of `data_centre` with the highest hash for the watch of the head.
std::vector<std::string> ChooseWatchers(const std::vector<Candidate>& candidates,
                                        std::string_view data_centre, size_t count);
// The first 3 keepers of `node` by hash, in distinct data centres where possible. `node` itself is
// never chosen.
std::vector<std::string> ChooseAcceptors(const std::vector<Candidate>& candidates,
                                         std::string_view node);

// What the membership makes of a node.
struct DeliveryRoles {
  std::vector<std::string> acceptors;           // Among the alive members.
  std::vector<std::string> recovery_acceptors;  // Among the members that have not left.
  std::vector<std::string> reachable;           // Members that are neither dead nor left.
  bool is_watcher = false;
};
// `members` are the others; `watchers` is the number of watchers in a data centre.
DeliveryRoles ChooseDeliveryRoles(const std::vector<pb::MemberRecord>& members,
                                  const Candidate& self, size_t watchers);

// Delays between attempts that fail: doubling, with jitter.
class Backoff {
 public:
  Backoff(int64_t first_ms, int64_t longest_ms) : m_first_ms(first_ms), m_longest_ms(longest_ms) {}
  // The next delay; `unit` is uniform in [0, 1). Between half of and the whole nominal delay.
  int64_t NextMs(double unit);
  void Reset() { m_failures = 0; }

 private:
  int64_t m_first_ms;
  int64_t m_longest_ms;
  int m_failures = 0;
};

// Chooses the node to pull from. One pull is open at a time.
class PullScheduler {
 public:
  explicit PullScheduler(int64_t timeout_ms) : m_timeout_ms(timeout_ms) {}

  // `node` holds `version`.
  void RecordAnnouncement(std::string_view node, uint64_t version);
  // The highest version that `node` has told; 0 when it has told none.
  uint64_t AnnouncedBy(std::string_view node) const;
  uint64_t HighestAnnounced() const;
  void RemovePeer(std::string_view node);
  // Forgets all nodes that are not in `members`.
  void RemoveAllExcept(const std::vector<std::string>& members);

  // The node to pull from now, when no pull is open and one has told a version above `held`; the
  // pull is then open until RecordReply, RecordTimeout or RecordBadReply.
  std::optional<std::string> StartPull(uint64_t held, int64_t now_ms);
  bool IsOpen() const { return m_open.has_value(); }
  bool IsOpenWith(std::string_view node) const { return m_open && *m_open == node; }
  // The end of the open pull, or when the next node may be asked; INT64_MAX when there is none.
  int64_t NextEventMs(uint64_t held) const;
  // Keeps the open pull alive: a part of a snapshot arrived.
  void ExtendDeadline(int64_t now_ms);

  void RecordReply();
  // True when the open pull has timed out; its node is asked later again.
  bool ExpirePull(int64_t now_ms);
  // The node asks to be left alone for a while.
  void RecordBusy(int64_t now_ms, int64_t retry_after_ms);
  // The reply had wrong digests; the node must announce again to be asked.
  void RecordBadReply();

 private:
  struct Peer {
    uint64_t version = 0;
    uint64_t order = 0;  // The order in which the nodes first told a version.
    int failures = 0;
    int64_t not_before_ms = 0;
  };
  std::map<std::string, Peer, std::less<>> m_peers;
  uint64_t m_next_order = 1;
  int64_t m_timeout_ms;
  std::optional<std::string> m_open;
  int64_t m_deadline_ms = 0;
};

// A note as received or as passed on.
struct EncodedNote {
  uint64_t version = 0;
  std::string digest;
  std::string bytes;
};
std::vector<EncodedNote> NotesFromReply(const pb::NotesReply& reply);

// The recent notes that a node can pass on: at most 128, of at most 2 MB together, so that delivery
// stays within the node's memory for control.
class NoteWindow {
 public:
  static constexpr size_t kMaxNotes = 128;
  static constexpr size_t kMaxBytes = 2'000'000;

  // Notes must come in order; a gap starts the window anew.
  void Add(EncodedNote note);
  void Clear();
  // Fills `reply` with the notes after `held_version`, up to about 1 MB; false when the first of
  // them is not in the window.
  bool FillReply(uint64_t held_version, pb::NotesReply& reply) const;

 private:
  std::deque<EncodedNote> m_notes;
  size_t m_bytes = 0;
};

// Serves snapshots of the table to at most 4 nodes at a time, so that a group of nodes that starts
// at once does not keep this one busy.
class SnapshotServer {
 public:
  static constexpr size_t kMaxClients = 4;
  // A client that has asked for no part for this long has ended.
  static constexpr int64_t kClientIdleMs = 1'000;

  // Fills the part that `request` asks for, of the snapshot it names or else of `table`. Returns
  // false when too many nodes are served at present.
  bool FillReply(std::string_view client, const pb::NotesRequest& request,
                 const std::shared_ptr<const ConfigTable>& table, int64_t now_ms,
                 pb::NotesReply& reply);

 private:
  struct Encoded {
    uint64_t version = 0;
    std::string digest;
    std::string bytes;
  };
  bool AdmitRequester(std::string_view client, int64_t now_ms);

  std::map<std::string, int64_t, std::less<>> m_clients;  // Node to time of its last request.
  // The latest and the one before, which a client may still be reading.
  std::vector<std::shared_ptr<const Encoded>> m_encoded;
};

// Collects the parts of a snapshot.
class SnapshotAssembler {
 public:
  enum class Result { kIncomplete, kComplete, kDamaged };

  // Adds a part; a part of another snapshot starts anew. On kComplete, `table` is set.
  Result Add(const pb::NotesReply& reply, std::shared_ptr<const ConfigTable>& table);
  // The snapshot and the part to ask for next; version 0 when none is begun.
  uint64_t version() const { return m_version; }
  uint32_t next_part() const { return m_next_part; }
  void Reset();

 private:
  uint64_t m_version = 0;
  std::string m_digest;
  uint32_t m_parts = 0;
  uint32_t m_next_part = 0;
  std::string m_bytes;
};

// A note that was not applied.
struct RefusedNote {
  uint64_t version = 0;
  std::string note_id;
  std::string reason;
};

struct ApplyBatchResult {
  std::shared_ptr<const ConfigTable> table;
  std::vector<EncodedNote> taken;  // In order; the table is at the version of the last.
  std::vector<std::pair<uint64_t, std::string>> note_ids;  // Version and id of the taken notes.
  std::vector<RefusedNote> refused;
  bool digest_differed = false;  // A note was not what its digest says; the rest was ignored.
};

// Applies the notes that follow on `table`; ignores those at or below its version and those after a
// gap.
ApplyBatchResult ApplyBatch(std::shared_ptr<const ConfigTable> table,
                            const std::vector<EncodedNote>& notes);

}  // namespace guavatrail
