// Defines MemberTable, the member records that a node knows, and the rules by which they are
// merged.
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

// Dead and left records are kept this long, so that late news of them cannot bring them back.
inline constexpr int64_t kForgetGoneMs = 600'000;

enum class MergeResult {
  kUnchanged,
  kVersionOnly,  // Only the configuration version rose.
  kChanged,      // News for other nodes.
  kRefuted,      // The record accused this node; it raised its incarnation, which is news.
  kConflict,     // Another live process with this node's name has the higher incarnation.
  kInvalid,      // The record is malformed; nothing changed.
};

// Alive or suspect.
bool IsLive(const pb::MemberRecord& record);
// Equal in everything that is news: incarnation, state and draining flag.
bool IsSameNews(const pb::MemberRecord& a, const pb::MemberRecord& b);
// Names, address, ports and numbers are within their limits.
bool IsValidRecord(const pb::MemberRecord& record);

// Pure: times are monotonic milliseconds that the caller passes in. Merging is commutative,
// associative and idempotent: the higher incarnation wins; within one incarnation left > dead >
// suspect > alive, draining is kept once set, and the version takes the maximum.
class MemberTable {
 public:
  // `self` needs a nonzero incarnation and started_ms.
  explicit MemberTable(pb::MemberRecord self);

  // Commands. Merge() refutes accusations against this node unless it has left.
  MergeResult Merge(const pb::MemberRecord& record, int64_t now_ms);
  // Merges a record from an exchange of tables. There a death counts only as a suspicion of a
  // member that is held to be alive: when two parts of a fleet that declared each other dead meet
  // again, nobody may lose its living neighbours until their refutations arrive.
  MergeResult MergeExchanged(const pb::MemberRecord& record, int64_t now_ms);
  // Changes the state of a member if `incarnation` is its current one and the state is worse.
  bool Accuse(std::string_view name, uint64_t incarnation, pb::MemberStateCode state,
              int64_t now_ms);
  void SetSelfVersion(uint64_t version);
  // Clearing the flag raises the incarnation, since within one incarnation it stays set.
  void SetSelfDraining(bool draining);
  void LeaveSelf(int64_t now_ms);
  // Raises the version of a member; never lowers it.
  void RaiseVersion(std::string_view name, uint64_t version);
  // Removes records that have been dead or left for kForgetGoneMs.
  void ForgetGone(int64_t now_ms);
  // Names of records that changed since the last call, for the flood of news.
  std::vector<std::string> TakeChanged();
  // Makes the record part of the next TakeChanged(), to announce it again.
  void MarkChanged(const std::string& name) { m_changed.insert(name); }

  // Queries.
  // This process's own record, also while another process holds the name.
  const pb::MemberRecord& self() const { return m_self; }
  // Another live process holds this node's name with a higher incarnation.
  bool IsInConflict() const { return m_is_in_conflict; }
  // Null when not known.
  const pb::MemberRecord* Find(std::string_view name) const;
  // A record for sending, with its age when it is dead or left.
  std::optional<pb::MemberRecord> Export(std::string_view name, int64_t now_ms) const;
  std::vector<pb::MemberRecord> ExportAll(int64_t now_ms) const;
  std::vector<pb::MemberRecord> ExportBuckets(const std::set<uint32_t>& buckets,
                                              int64_t now_ms) const;
  // Names of the alive and suspect members, in order.
  std::vector<std::string> LiveNames() const;
  void ForEach(const std::function<void(const pb::MemberRecord&)>& visit) const;
  size_t size() const { return m_entries.size(); }

  // Digests over the alive and suspect members, independent of the order of changes and of the
  // versions. Dead and left members are left out because nodes forget them at different times.
  uint64_t Digest() const;
  const BucketDigests& Buckets() const { return m_buckets; }

  // A number that rises with each change of a version; VersionsSince() gives the members whose
  // version changed after it.
  uint64_t version_clock() const { return m_version_clock; }
  // The changed versions in the form for nodes with the same digest; no groups when none changed.
  pb::MemberVersions VersionsSince(uint64_t clock) const;
  // Merges versions from another node; false when its digest differs or the runs are malformed, and
  // then nothing has changed.
  bool MergeVersions(const pb::MemberVersions& versions);

 private:
  struct Entry {
    pb::MemberRecord record;
    uint64_t hash = 0;             // Its part of the bucket digest; 0 when dead or left.
    int64_t gone_since_ms = 0;     // For dead and left records.
    uint64_t version_changed = 0;  // Value of m_version_clock.
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  MergeResult MergeSelf(const pb::MemberRecord& record, int64_t now_ms);
  MergeResult MergeEntry(const pb::MemberRecord& record, int64_t now_ms);
  // Raises the own incarnation above `incarnation` and puts the own record in the table.
  void RaiseSelf(uint64_t incarnation);
  void PutSelf();
  void Put(Entry& entry, const pb::MemberRecord& record, int64_t now_ms);
  static pb::MemberRecord ExportEntry(const Entry& entry, int64_t now_ms);

  pb::MemberRecord m_self;
  bool m_is_in_conflict = false;
  Entries m_entries;
  BucketDigests m_buckets{};
  std::set<std::string> m_changed;
  uint64_t m_version_clock = 0;
};

}  // namespace guavatrail
