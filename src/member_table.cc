#include "member_table.h"

#include <arpa/inet.h>

#include <algorithm>

#include "config_table.h"
#include "overlay.h"

namespace guavatrail {

namespace {

// Domains of StableHash.
constexpr uint64_t kBucketDomain = 2;
constexpr uint64_t kRecordDomain = 3;

constexpr uint32_t kMaxPort = 65535;
constexpr uint32_t kMaxSlots = 4096;
// Leaves room for refutations, which raise an accepted incarnation further.
constexpr uint64_t kMaxIncarnation = uint64_t{1} << 62;
constexpr int64_t kMsPerSecond = 1000;

bool IsIp(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

size_t BucketOf(std::string_view name) { return StableHash(kBucketDomain, name) % kMemberBuckets; }

uint64_t HashOf(const pb::MemberRecord& record) {
  if (!IsLive(record)) return 0;
  std::string text = record.name();
  text += '\n' + std::to_string(record.incarnation()) + '\n' + std::to_string(record.state()) +
          (record.draining() ? "d" : "");
  return StableHash(kRecordDomain, text);
}

bool Supersedes(const pb::MemberRecord& a, const pb::MemberRecord& b) {
  return a.incarnation() != b.incarnation() ? a.incarnation() > b.incarnation()
                                            : a.state() > b.state();
}

// Merges two records with the same name.
pb::MemberRecord Merged(const pb::MemberRecord& a, const pb::MemberRecord& b) {
  pb::MemberRecord result = Supersedes(b, a) ? b : a;
  if (a.incarnation() == b.incarnation()) {
    result.set_draining(a.draining() || b.draining());
    result.set_config_version(std::max(a.config_version(), b.config_version()));
  }
  result.clear_gone_age_s();
  return result;
}

}  // namespace

bool IsLive(const pb::MemberRecord& record) {
  return record.state() == pb::MEMBER_ALIVE || record.state() == pb::MEMBER_SUSPECT;
}

bool HasSameState(const pb::MemberRecord& a, const pb::MemberRecord& b) {
  return a.incarnation() == b.incarnation() && a.state() == b.state() &&
         a.draining() == b.draining();
}

std::string ControlAddressOf(const pb::MemberRecord& record) {
  return record.ip() + ":" + std::to_string(record.control_port());
}

bool IsValidRecord(const pb::MemberRecord& record) {
  bool names = IsConfigName(record.name()) && IsHeaderName(record.service()) &&
               IsConfigName(record.region()) && IsConfigName(record.data_centre()) &&
               IsIp(record.ip());
  bool ports = std::max({record.caller_port(), record.peer_port(), record.control_port(),
                         record.admin_port()}) <= kMaxPort;
  return names && ports && record.control_port() != 0 && record.slots() <= kMaxSlots &&
         record.incarnation() != 0 && record.incarnation() <= kMaxIncarnation &&
         record.started_ms() != 0 && pb::MemberStateCode_IsValid(record.state());
}

MemberTable::MemberTable(pb::MemberRecord self) : m_self(std::move(self)) { StoreSelf(); }

MergeResult MemberTable::Merge(const pb::MemberRecord& record, int64_t now_ms) {
  if (!IsValidRecord(record)) return MergeResult::kInvalid;
  return record.name() == m_self.name() ? MergeSelf(record, now_ms) : MergeEntry(record, now_ms);
}

MergeResult MemberTable::MergeFromExchange(const pb::MemberRecord& record, int64_t now_ms) {
  const pb::MemberRecord* known = Find(record.name());
  // This node's own name is exempt: a false death is refuted at once, and a process in a name
  // conflict learns from exchanges that the other holder is gone.
  bool is_unrefuted_death = record.state() == pb::MEMBER_DEAD && record.name() != m_self.name() &&
                            known != nullptr && IsLive(*known) &&
                            known->incarnation() == record.incarnation();
  if (!is_unrefuted_death) return Merge(record, now_ms);
  pb::MemberRecord suspect = record;
  suspect.set_state(pb::MEMBER_SUSPECT);
  suspect.clear_gone_age_s();
  return Merge(suspect, now_ms);
}

MergeResult MemberTable::MergeSelf(const pb::MemberRecord& record, int64_t now_ms) {
  bool is_own = record.started_ms() == m_self.started_ms();
  if (m_is_in_conflict) {
    MergeResult result = is_own ? MergeResult::kUnchanged : MergeEntry(record, now_ms);
    const pb::MemberRecord& holder = m_entries.find(m_self.name())->second.record;
    if (IsLive(holder)) return result;
    // The other holder is gone, so this process takes the name back.
    RaiseOwnIncarnation(holder.incarnation());
    return MergeResult::kRefuted;
  }
  if (is_own) {
    if (!Supersedes(record, m_self) || m_self.state() == pb::MEMBER_LEFT) {
      return MergeResult::kUnchanged;
    }
    RaiseOwnIncarnation(record.incarnation());
    return MergeResult::kRefuted;
  }
  if (record.incarnation() < m_self.incarnation()) return MergeResult::kUnchanged;
  if (!IsLive(record)) {
    // A former lifetime that ran with a clock ahead of the current one.
    RaiseOwnIncarnation(record.incarnation());
    return MergeResult::kRefuted;
  }
  if (record.incarnation() == m_self.incarnation() && record.started_ms() < m_self.started_ms()) {
    return MergeResult::kUnchanged;
  }
  m_is_in_conflict = true;
  StoreRecord(m_entries[m_self.name()], record, now_ms);
  m_changed.insert(m_self.name());
  return MergeResult::kConflict;
}

MergeResult MemberTable::MergeEntry(const pb::MemberRecord& record, int64_t now_ms) {
  auto found = m_entries.find(record.name());
  if (found == m_entries.end()) {
    // Other nodes are removing this record; storing it would start a new retention period.
    if (!IsLive(record) && record.gone_age_s() * kMsPerSecond >= kGoneRecordRetentionMs) {
      return MergeResult::kUnchanged;
    }
    StoreRecord(m_entries[record.name()], record, now_ms);
    m_changed.insert(record.name());
    return MergeResult::kChanged;
  }
  Entry& entry = found->second;
  pb::MemberRecord merged = Merged(entry.record, record);
  if (HasSameState(merged, entry.record)) {
    if (merged.config_version() == entry.record.config_version()) return MergeResult::kUnchanged;
    RaiseVersion(record.name(), merged.config_version());
    return MergeResult::kVersionOnly;
  }
  bool uses_received_age = HasSameState(merged, record);
  merged.set_gone_age_s(uses_received_age ? record.gone_age_s() : 0);
  StoreRecord(entry, merged, now_ms);
  m_changed.insert(record.name());
  return MergeResult::kChanged;
}

bool MemberTable::DeclareState(std::string_view name, uint64_t incarnation,
                               pb::MemberStateCode state, int64_t now_ms) {
  auto found = m_entries.find(name);
  if (found == m_entries.end() || name == m_self.name()) return false;
  if (found->second.record.incarnation() != incarnation || found->second.record.state() >= state) {
    return false;
  }
  pb::MemberRecord record = found->second.record;
  record.set_state(state);
  StoreRecord(found->second, record, now_ms);
  m_changed.insert(std::string(name));
  return true;
}

void MemberTable::SetSelfVersion(uint64_t version) {
  if (version <= m_self.config_version()) return;
  m_self.set_config_version(version);
  if (!m_is_in_conflict) RaiseVersion(m_self.name(), version);
}

void MemberTable::SetSelfDraining(bool draining) {
  if (draining == m_self.draining()) return;
  m_self.set_draining(draining);
  if (!draining) m_self.set_incarnation(m_self.incarnation() + 1);
  if (!m_is_in_conflict) StoreSelf();
}

void MemberTable::LeaveSelf(int64_t now_ms) {
  m_self.set_state(pb::MEMBER_LEFT);
  if (m_is_in_conflict) return;
  StoreRecord(m_entries[m_self.name()], m_self, now_ms);
  m_changed.insert(m_self.name());
}

void MemberTable::RaiseVersion(std::string_view name, uint64_t version) {
  auto found = m_entries.find(name);
  if (found == m_entries.end() || version <= found->second.record.config_version()) return;
  found->second.record.set_config_version(version);
  found->second.version_changed = ++m_version_clock;
}

void MemberTable::RemoveExpired(int64_t now_ms) {
  std::erase_if(m_entries, [&](const auto& item) {
    return !IsLive(item.second.record) && item.first != m_self.name() &&
           now_ms - item.second.gone_since_ms >= kGoneRecordRetentionMs;
  });
}

std::vector<std::string> MemberTable::TakeChanged() {
  std::vector<std::string> names(m_changed.begin(), m_changed.end());
  m_changed.clear();
  return names;
}

void MemberTable::RaiseOwnIncarnation(uint64_t incarnation) {
  m_self.set_incarnation(std::max(incarnation, m_self.incarnation()) + 1);
  m_is_in_conflict = false;
  StoreSelf();
}

void MemberTable::StoreSelf() {
  StoreRecord(m_entries[m_self.name()], m_self, 0);
  m_changed.insert(m_self.name());
}

void MemberTable::StoreRecord(Entry& entry, const pb::MemberRecord& record, int64_t now_ms) {
  uint64_t& bucket = m_buckets[BucketOf(record.name())];
  bucket ^= entry.hash;
  bool version_changed = entry.record.config_version() != record.config_version();
  entry.record = record;
  entry.hash = HashOf(record);
  bucket ^= entry.hash;
  entry.gone_since_ms = now_ms - static_cast<int64_t>(record.gone_age_s()) * kMsPerSecond;
  entry.record.clear_gone_age_s();
  if (version_changed) entry.version_changed = ++m_version_clock;
}

const pb::MemberRecord* MemberTable::Find(std::string_view name) const {
  auto found = m_entries.find(name);
  return found == m_entries.end() ? nullptr : &found->second.record;
}

pb::MemberRecord MemberTable::ExportEntry(const Entry& entry, int64_t now_ms) {
  pb::MemberRecord record = entry.record;
  if (!IsLive(record)) {
    record.set_gone_age_s(
        static_cast<uint32_t>(std::max<int64_t>(0, now_ms - entry.gone_since_ms) / kMsPerSecond));
  }
  return record;
}

std::optional<pb::MemberRecord> MemberTable::Export(std::string_view name, int64_t now_ms) const {
  auto found = m_entries.find(name);
  if (found == m_entries.end()) return std::nullopt;
  return ExportEntry(found->second, now_ms);
}

std::vector<pb::MemberRecord> MemberTable::ExportAll(int64_t now_ms) const {
  std::vector<pb::MemberRecord> records;
  records.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) records.push_back(ExportEntry(entry, now_ms));
  return records;
}

std::vector<pb::MemberRecord> MemberTable::ExportBuckets(const std::set<uint32_t>& buckets,
                                                         int64_t now_ms) const {
  std::vector<pb::MemberRecord> records;
  for (const auto& [name, entry] : m_entries) {
    if (buckets.count(static_cast<uint32_t>(BucketOf(name))) != 0) {
      records.push_back(ExportEntry(entry, now_ms));
    }
  }
  return records;
}

std::vector<std::string> MemberTable::LiveNames() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : m_entries) {
    if (IsLive(entry.record)) names.push_back(name);
  }
  return names;
}

void MemberTable::ForEach(const std::function<void(const pb::MemberRecord&)>& visit) const {
  for (const auto& [name, entry] : m_entries) visit(entry.record);
}

uint64_t MemberTable::Digest() const {
  uint64_t digest = 0;
  for (uint64_t bucket : m_buckets) digest ^= bucket;
  return digest;
}

pb::MemberVersions MemberTable::VersionsSince(uint64_t clock) const {
  struct Group {
    std::vector<uint32_t> runs;
    uint32_t end = 0;  // Position after the last member of the last run.
  };
  std::map<uint64_t, Group> groups;
  uint32_t position = 0;
  for (const auto& [name, entry] : m_entries) {
    if (!IsLive(entry.record)) continue;
    if (entry.version_changed > clock) {
      Group& group = groups[entry.record.config_version()];
      if (group.runs.empty() || group.end != position) {
        group.runs.push_back(position - group.end);
        group.runs.push_back(0);
      }
      ++group.runs.back();
      group.end = position + 1;
    }
    ++position;
  }
  pb::MemberVersions versions;
  versions.set_member_digest(Digest());
  for (const auto& [version, group] : groups) {
    pb::VersionGroup& out = *versions.add_groups();
    out.set_version(version);
    out.mutable_runs()->Add(group.runs.begin(), group.runs.end());
  }
  return versions;
}

bool MemberTable::MergeVersions(const pb::MemberVersions& versions) {
  if (versions.member_digest() != Digest()) return false;
  std::vector<std::string> names = LiveNames();
  auto fits = [&](const pb::VersionGroup& group) {
    uint64_t end = 0;
    for (uint32_t run : group.runs()) end += run;
    return group.runs_size() % 2 == 0 && end <= names.size();
  };
  if (!std::all_of(versions.groups().begin(), versions.groups().end(), fits)) return false;
  for (const pb::VersionGroup& group : versions.groups()) {
    size_t position = 0;
    for (int i = 0; i < group.runs_size(); i += 2) {
      position += group.runs(i);
      for (uint32_t taken = 0; taken < group.runs(i + 1); ++taken, ++position) {
        if (names[position] != m_self.name()) RaiseVersion(names[position], group.version());
      }
    }
  }
  return true;
}

}  // namespace guavatrail
