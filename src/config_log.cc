#include "config_log.h"

#include <algorithm>

namespace guavatrail {

namespace {

constexpr size_t kDigestLength = 64;

tl::unexpected<CodecError> Fail(const std::string& message) {
  return tl::make_unexpected(CodecError{message});
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= INT32_MAX &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

pb::LogEntry ToProto(const LogEntry& entry) {
  pb::LogEntry out;
  out.set_version(entry.version);
  out.set_note_id(entry.note_id);
  out.set_digest(entry.digest);
  for (const ResourceRef& ref : entry.touched_resources) {
    *out.add_touched() = guavatrail::ToProto(ref);
  }
  return out;
}

tl::expected<LogEntry, CodecError> EntryFromProto(const pb::LogEntry& message) {
  LogEntry entry{message.version(), message.note_id(), message.digest(), {}};
  if (!IsConfigName(entry.note_id)) return Fail("log entry: note id is not a valid name");
  if (!IsDigest(entry.digest)) return Fail("log entry: digest is not 64 hexadecimal digits");
  for (const pb::ResourceRef& touched : message.touched()) {
    auto ref = FromProto(touched);
    if (!ref) return tl::make_unexpected(ref.error());
    entry.touched_resources.push_back(std::move(*ref));
  }
  return entry;
}

// Decodes entries; fails unless their versions are consecutive and start at `first`.
template <typename Repeated>
tl::expected<std::vector<LogEntry>, CodecError> EntriesFromProto(const Repeated& messages,
                                                                 uint64_t first) {
  std::vector<LogEntry> entries;
  entries.reserve(messages.size());
  for (const pb::LogEntry& message : messages) {
    auto entry = EntryFromProto(message);
    if (!entry) return tl::make_unexpected(entry.error());
    if (entry->version != first + entries.size()) return Fail("log entries are not consecutive");
    entries.push_back(std::move(*entry));
  }
  return entries;
}

bool IsSnapshotValid(const SnapshotRef& snapshot, uint64_t head_version) {
  if (snapshot.version == 0) return snapshot.digest.empty() && snapshot.parts == 0;
  return snapshot.version <= head_version && IsDigest(snapshot.digest) && snapshot.parts > 0 &&
         snapshot.parts <= kMaxSnapshotParts;
}

void MoveToSegment(AppendResult& result) {
  std::vector<LogEntry>& tail = result.head.tail;
  auto end = tail.begin() + static_cast<std::ptrdiff_t>(kSegmentEntries);
  std::vector<LogEntry> moved(tail.begin(), end);
  result.new_objects.push_back({SegmentKey(moved.front().version), EncodeSegment(moved)});
  result.head.segmented_version = moved.back().version;
  tail.erase(tail.begin(), end);
}

void AddSnapshot(AppendResult& result, std::string_view table_bytes) {
  std::vector<std::string_view> parts = SplitSnapshot(table_bytes);
  // Readers reject snapshots with more parts; the log still yields the table without this one.
  if (parts.size() > kMaxSnapshotParts) return;
  SnapshotRef& snapshot = result.head.snapshot;
  snapshot = {result.head.version, result.head.table_digest, static_cast<uint32_t>(parts.size())};
  for (uint32_t part = 0; part < snapshot.parts; ++part) {
    result.new_objects.push_back({SnapshotKey(snapshot, part), std::string(parts[part])});
  }
}

}  // namespace

std::string NoteKey(std::string_view note_id, std::string_view digest) {
  return "config/notes/" + std::string(note_id) + "-" + std::string(digest);
}

std::string ClaimKey(std::string_view note_id) { return "config/claims/" + std::string(note_id); }

std::string SnapshotKey(const SnapshotRef& snapshot, uint32_t part) {
  return "config/snapshots/" + std::to_string(snapshot.version) + "-" + snapshot.digest + "/" +
         std::to_string(part);
}

std::string SegmentKey(uint64_t first_version) {
  return "config/log/" + std::to_string(first_version) + "-" +
         std::to_string(first_version + kSegmentEntries - 1);
}

uint64_t SegmentStart(uint64_t version) {
  return (version - 1) / kSegmentEntries * kSegmentEntries + 1;
}

std::string EncodeHead(const ConfigHead& head) {
  pb::ConfigHead out;
  out.set_version(head.version);
  out.set_table_digest(head.table_digest);
  for (const LogEntry& entry : head.tail) *out.add_tail() = ToProto(entry);
  if (head.snapshot.version > 0) {
    out.mutable_snapshot()->set_version(head.snapshot.version);
    out.mutable_snapshot()->set_digest(head.snapshot.digest);
    out.mutable_snapshot()->set_parts(head.snapshot.parts);
  }
  if (head.segmented_version > 0) {
    pb::SegmentRef* segments = out.add_segments();
    segments->set_first_version(1);
    segments->set_last_version(head.segmented_version);
  }
  return SerializeCanonical(out);
}

tl::expected<ConfigHead, CodecError> DecodeHead(std::string_view bytes) {
  pb::ConfigHead message;
  if (!Parse(bytes, message)) return Fail("head: cannot parse the protobuf message");
  ConfigHead head;
  head.version = message.version();
  head.table_digest = message.table_digest();
  bool digest_valid = head.version == 0 ? head.table_digest.empty() : IsDigest(head.table_digest);
  if (!digest_valid) return Fail("head: table digest does not fit the version or is malformed");
  if (message.segments_size() > 1) return Fail("head: more than one range of segments");
  if (message.segments_size() == 1) {
    head.segmented_version = message.segments(0).last_version();
    bool whole = head.segmented_version > 0 && head.segmented_version % kSegmentEntries == 0;
    if (!whole || message.segments(0).first_version() != 1) {
      return Fail("head: range of segments does not start at version 1 or ends inside a segment");
    }
  }
  auto tail = EntriesFromProto(message.tail(), head.segmented_version + 1);
  if (!tail) return tl::make_unexpected(tail.error());
  head.tail = std::move(*tail);
  if (head.segmented_version + head.tail.size() != head.version) {
    return Fail("head: tail does not end at the version of the head");
  }
  head.snapshot = {message.snapshot().version(), message.snapshot().digest(),
                   message.snapshot().parts()};
  if (!IsSnapshotValid(head.snapshot, head.version))
    return Fail("head: snapshot reference is malformed or above the head's version");
  return head;
}

std::string EncodeSegment(const std::vector<LogEntry>& entries) {
  pb::LogSegment out;
  if (!entries.empty()) {
    out.set_first_version(entries.front().version);
    out.set_last_version(entries.back().version);
  }
  for (const LogEntry& entry : entries) *out.add_entries() = ToProto(entry);
  return SerializeCanonical(out);
}

tl::expected<std::vector<LogEntry>, CodecError> DecodeSegment(std::string_view bytes,
                                                              uint64_t first_version) {
  pb::LogSegment message;
  if (!Parse(bytes, message)) return Fail("log segment: cannot parse the protobuf message");
  if (static_cast<uint64_t>(message.entries_size()) != kSegmentEntries) {
    return Fail("log segment: expected " + std::to_string(kSegmentEntries) + " entries, got " +
                std::to_string(message.entries_size()));
  }
  return EntriesFromProto(message.entries(), first_version);
}

LogEntry MakeLogEntry(const ReleaseNote& note) {
  LogEntry entry{0, note.id, DigestOf(EncodeNote(note)), AffectedResources(note)};
  size_t bytes = 0;
  // The tag, length and type of a reference take up to 6 bytes of its encoding.
  for (const ResourceRef& ref : entry.touched_resources) bytes += ref.name.size() + 6;
  if (bytes > kMaxTouchedBytes) entry.touched_resources.clear();
  return entry;
}

AppendResult AppendEntry(const ConfigHead& head, LogEntry entry, const ConfigTable& table_after) {
  AppendResult result{head, {}};
  std::string table_bytes = EncodeTable(table_after);
  entry.version = head.version + 1;
  result.head.version = entry.version;
  result.head.table_digest = DigestOf(table_bytes);
  result.head.tail.push_back(std::move(entry));
  if (result.head.tail.size() > kMaxTail) MoveToSegment(result);
  if (result.head.version - result.head.snapshot.version >= kSnapshotInterval) {
    AddSnapshot(result, table_bytes);
  }
  return result;
}

std::vector<LogEntry> EntriesInTail(const ConfigHead& head, uint64_t first, uint64_t last) {
  std::vector<LogEntry> entries;
  for (const LogEntry& entry : head.tail) {
    if (entry.version >= first && entry.version <= last) entries.push_back(entry);
  }
  return entries;
}

std::vector<std::string_view> SplitSnapshot(std::string_view bytes) {
  std::vector<std::string_view> parts;
  do {
    parts.push_back(bytes.substr(0, kMaxObjectBytes));
    bytes.remove_prefix(parts.back().size());
  } while (!bytes.empty());
  return parts;
}

ApplyResult ApplyEncodedNote(const ConfigTable& table, std::string_view bytes) {
  auto note = DecodeNote(bytes);
  if (!note) return {table.SkipVersion(), note.error().message, ""};
  auto next = table.Apply(*note);
  if (!next) return {table.SkipVersion(), next.error().message, note->id};
  return {std::move(*next), std::nullopt, note->id};
}

}  // namespace guavatrail
