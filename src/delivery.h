// Defines the decisions of configuration delivery: which nodes watch the platform and which ones
// are the acceptors of a node (by rendezvous hashing), which peer to pull from, the window of
// recent notes that a node can send to others, snapshots for nodes that are far behind, and the
// application of received notes to a table. Performs no I/O.
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

// A candidate for rendezvous hashing.
struct Candidate {
  std::string node;
  std::string data_centre;
};

// Returns the `count` candidates of `data_centre` with the highest hash, which watch the head.
std::vector<std::string> ChooseWatchers(const std::vector<Candidate>& candidates,
                                        std::string_view data_centre, size_t count);
// Returns the acceptors of `node`: the 3 candidates with the highest hash, in distinct data centres
// where possible. `node` itself is never chosen.
std::vector<std::string> ChooseAcceptors(const std::vector<Candidate>& candidates,
                                         std::string_view node);

// The roles of a node in delivery, which follow from the membership.
struct DeliveryRoles {
  std::vector<std::string> acceptors;           // Chosen from the alive members.
  std::vector<std::string> recovery_acceptors;  // Chosen from the members that have not left.
  std::vector<std::string> reachable;           // Members that are neither dead nor left.
  bool is_watcher = false;
};
// `members` are the other nodes; `watchers` is the number of watchers per data centre.
DeliveryRoles ChooseDeliveryRoles(const std::vector<pb::MemberRecord>& members,
                                  const Candidate& self, size_t watchers);

// Exponential back-off with jitter.
class Backoff {
 public:
  Backoff(int64_t first_ms, int64_t longest_ms) : m_first_ms(first_ms), m_longest_ms(longest_ms) {}
  // Returns the next delay, between half of and the full nominal delay; `unit` is a random number
  // in [0, 1).
  int64_t NextMs(double unit);
  void Reset() { m_failures = 0; }

 private:
  int64_t m_first_ms;
  int64_t m_longest_ms;
  int m_failures = 0;
};

// Chooses the peer to pull notes from. At most one pull is open at a time.
class PullScheduler {
 public:
  explicit PullScheduler(int64_t timeout_ms) : m_timeout_ms(timeout_ms) {}

  // Records that `node` announced `version`.
  void RecordAnnouncement(std::string_view node, uint64_t version);
  // The highest version that `node` announced; 0 if it announced none.
  uint64_t AnnouncedBy(std::string_view node) const;
  uint64_t HighestAnnounced() const;
  void RemovePeer(std::string_view node);
  // Removes all nodes that are not in `members`, and the open pull if it is with one of them.
  void RemoveAllExcept(const std::vector<std::string>& members);

  // Opens a pull and returns its node, if no pull is open and a node has announced a version above
  // `table_version`. RecordReply, ExpirePull, RecordBusy or RecordBadReply end the pull.
  std::optional<std::string> StartPull(uint64_t table_version, int64_t now_ms);
  bool IsOpen() const { return m_open.has_value(); }
  bool IsOpenWith(std::string_view node) const { return m_open && *m_open == node; }
  // Time at which the open pull expires, or at which the next pull may begin; INT64_MAX if there is
  // none.
  int64_t NextEventMs(uint64_t table_version) const;
  // Restarts the time-out of the open pull after a part of a snapshot arrived.
  void ExtendDeadline(int64_t now_ms);

  void RecordReply();
  // Ends the open pull if it has timed out, and returns whether it did. Its node is tried again
  // after a back-off.
  bool ExpirePull(int64_t now_ms);
  // Ends the open pull, whose node is busy and asked for a delay of `retry_after_ms`.
  void RecordBusy(int64_t now_ms, int64_t retry_after_ms);
  // Ends the open pull after a reply with wrong digests. Its node is tried again only after its
  // next announcement.
  void RecordBadReply();

 private:
  struct Peer {
    uint64_t version = 0;
    uint64_t order = 0;  // Order of the first announcements of the nodes.
    int failures = 0;
    int64_t not_before_ms = 0;
  };
  std::map<std::string, Peer, std::less<>> m_peers;
  uint64_t m_next_order = 1;
  int64_t m_timeout_ms;
  std::optional<std::string> m_open;
  int64_t m_deadline_ms = 0;
};

// An encoded note, as received or as sent to others.
struct EncodedNote {
  uint64_t version = 0;
  std::string digest;
  std::string bytes;
};
std::vector<EncodedNote> NotesFromReply(const pb::NotesReply& reply);

// The recent notes that a node can send to others: at most 128, of at most 2 MB together, so that
// delivery stays within the node's memory budget for control data.
class NoteWindow {
 public:
  static constexpr size_t kMaxNotes = 128;
  static constexpr size_t kMaxBytes = 2'000'000;

  // Notes must be added in version order; a gap clears the window first.
  void Add(EncodedNote note);
  void Clear();
  // Adds the notes after `table_version` to `reply`, up to about 1 MB; returns false if the first
  // of them is not in the window.
  bool FillReply(uint64_t table_version, pb::NotesReply& reply) const;

 private:
  std::deque<EncodedNote> m_notes;
  size_t m_bytes = 0;
};

// Serves snapshots of the table to at most 4 nodes at a time, so that many nodes that start at once
// do not overload this one.
class SnapshotServer {
 public:
  static constexpr size_t kMaxClients = 4;
  // A node that has not requested a part for this long no longer counts towards kMaxClients.
  static constexpr int64_t kClientIdleMs = 1'000;

  // Fills `reply` with the part that `request` asks for, of the snapshot that it names or otherwise
  // of `table`. Returns false if too many nodes are being served.
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
  // The latest snapshot and the one before, which a node may still be reading.
  std::vector<std::shared_ptr<const Encoded>> m_encoded;
};

// Assembles a snapshot from its parts.
class SnapshotAssembler {
 public:
  enum class Result { kIncomplete, kComplete, kDamaged };

  // Adds a part; a part of another snapshot discards the parts received before. Sets `table` on
  // kComplete.
  Result Add(const pb::NotesReply& reply, std::shared_ptr<const ConfigTable>& table);
  // The snapshot and the part to request next; version 0 if no part was received yet.
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
  std::vector<EncodedNote> taken;  // In version order; the table is at the version of the last one.
  std::vector<std::pair<uint64_t, std::string>> note_ids;  // Versions and ids of the taken notes.
  std::vector<RefusedNote> refused;
  bool digest_differed = false;  // A note did not match its digest; it and the rest were ignored.
};

// Applies the notes that directly follow `table`; ignores notes at or below its version and notes
// after a gap.
ApplyBatchResult ApplyBatch(std::shared_ptr<const ConfigTable> table,
                            const std::vector<EncodedNote>& notes);

}  // namespace guavatrail
