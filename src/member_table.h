// Defines MemberTable, the member records that a node knows, with the rules for merging them.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace guavatrail {

// Records are spread over buckets by a hash of the name, so that two nodes exchange only the
// buckets in which they differ.
inline constexpr size_t kMemberBuckets = 32;
using BucketDigests = std::array<uint64_t, kMemberBuckets>;

// Dead and left records are retained this long, so that a late update cannot revive the member.
inline constexpr int64_t kGoneRecordRetentionMs = 600'000;

enum class MergeResult {
  kUnchanged,
  kVersionOnly,  // Only the configuration version rose.
  kChanged,      // The record changed; other nodes must be informed.
  kRefuted,      // The record was wrong about this node, which refutes it with a new incarnation.
  kConflict,     // Another live process with this node's name has the higher incarnation.
  kInvalid,      // The record is malformed; nothing changed.
};

// Whether the member is alive or suspect.
bool IsLive(const pb::MemberRecord& record);
// Equal in the fields that are flooded: incarnation, state and draining flag.
bool HasSameState(const pb::MemberRecord& a, const pb::MemberRecord& b);
// The address, "IP:PORT", at which the member takes control messages.
std::string ControlAddressOf(const pb::MemberRecord& record);
// Whether names, address, ports and numbers are within their limits.
bool IsValidRecord(const pb::MemberRecord& record);

// Performs no I/O; the caller passes in monotonic times in milliseconds. Merging is commutative,
// associative and idempotent: the higher incarnation wins; within one incarnation left > dead >
// suspect > alive, draining is kept once set, and the version takes the maximum.
class MemberTable {
 public:
  // `self` needs a nonzero incarnation and started_ms.
  explicit MemberTable(pb::MemberRecord self);

  // Commands.
  // Merges a record. Refutes a suspicion or death of this node, unless it has left.
  MergeResult Merge(const pb::MemberRecord& record, int64_t now_ms);
  // Merges a record from an exchange of tables. A record that declares dead a member that is live
  // here is merged as a suspicion only: when two partitions that declared each other dead
  // reconnect, a node must not lose its live neighbours before their refutations arrive.
  MergeResult MergeFromExchange(const pb::MemberRecord& record, int64_t now_ms);
  // Sets a member to a worse state if `incarnation` is current. Returns whether the state changed.
  bool DeclareState(std::string_view name, uint64_t incarnation, pb::MemberStateCode state,
                    int64_t now_ms);
  void SetSelfVersion(uint64_t version);
  // Clearing the flag raises the incarnation: merging never clears it within one incarnation.
  void SetSelfDraining(bool draining);
  void LeaveSelf(int64_t now_ms);
  // Raises the version of a member; never lowers it.
  void RaiseVersion(std::string_view name, uint64_t version);
  // Removes records that have been dead or left for kGoneRecordRetentionMs.
  void RemoveExpired(int64_t now_ms);
  // Returns the names of the records that changed since the last call, to be flooded.
  std::vector<std::string> TakeChanged();
  // Includes the record in the next TakeChanged(), to announce it again.
  void MarkChanged(const std::string& name) { m_changed.insert(name); }

  // Queries.
  // The own record of this process, even while another process holds the name.
  const pb::MemberRecord& self() const { return m_self; }
  // Whether another live process holds this node's name with a higher incarnation.
  bool IsInConflict() const { return m_is_in_conflict; }
  // Null when the member is not known.
  const pb::MemberRecord* Find(std::string_view name) const;
  // A record to send. For a dead or left member it includes the time since that state began.
  std::optional<pb::MemberRecord> Export(std::string_view name, int64_t now_ms) const;
  std::vector<pb::MemberRecord> ExportAll(int64_t now_ms) const;
  std::vector<pb::MemberRecord> ExportBuckets(const std::set<uint32_t>& buckets,
                                              int64_t now_ms) const;
  // Names of the alive and suspect members, in order.
  std::vector<std::string> LiveNames() const;
  void ForEach(const std::function<void(const pb::MemberRecord&)>& visit) const;
  size_t size() const { return m_entries.size(); }

  // Digests over the alive and suspect members, independent of the order of changes and of the
  // versions. Dead and left members are excluded because nodes remove them at different times.
  uint64_t Digest() const;
  const BucketDigests& Buckets() const { return m_buckets; }

  // A logical clock that advances with each change of a version; VersionsSince() returns the
  // members whose version changed after a given value.
  uint64_t version_clock() const { return m_version_clock; }
  // The changed versions, encoded for nodes with the same digest; no groups when none changed.
  pb::MemberVersions VersionsSince(uint64_t clock) const;
  // Merges versions from another node. Returns false and changes nothing when its digest differs or
  // the runs are malformed.
  bool MergeVersions(const pb::MemberVersions& versions);

 private:
  struct Entry {
    pb::MemberRecord record;
    uint64_t hash = 0;             // Contribution to the bucket digest; 0 when dead or left.
    int64_t gone_since_ms = 0;     // For dead and left records.
    uint64_t version_changed = 0;  // m_version_clock at the last change of the version.
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  MergeResult MergeSelf(const pb::MemberRecord& record, int64_t now_ms);
  MergeResult MergeEntry(const pb::MemberRecord& record, int64_t now_ms);
  // Raises the own incarnation above `incarnation` and stores the own record in the table.
  void RaiseOwnIncarnation(uint64_t incarnation);
  void StoreSelf();
  void StoreRecord(Entry& entry, const pb::MemberRecord& record, int64_t now_ms);
  static pb::MemberRecord ExportEntry(const Entry& entry, int64_t now_ms);

  pb::MemberRecord m_self;
  bool m_is_in_conflict = false;
  Entries m_entries;
  BucketDigests m_buckets{};
  std::set<std::string> m_changed;
  uint64_t m_version_clock = 0;
};

}  // namespace guavatrail
