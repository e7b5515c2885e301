// Defines the log of accepted notes as the platform stores it: the head object, whose conditional
// update decides the order, segments of older entries, snapshots of the table, and their keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "config_codec.h"
#include "config_table.h"

namespace guavatrail {

// One accepted note.
struct LogEntry {
  uint64_t version = 0;
  std::string note_id;
  std::string digest;  // DigestOf the encoded note.
  // Sorted. Empty when the list would be over kMaxTouchedBytes: the note may touch anything.
  std::vector<ResourceRef> touched_resources;
  bool operator==(const LogEntry&) const = default;
};

// The encoded table at `version`, stored in `parts` objects. Version 0 means no snapshot.
struct SnapshotRef {
  uint64_t version = 0;
  std::string digest;
  uint32_t parts = 0;
  bool operator==(const SnapshotRef&) const = default;
};

// The value of config/head.
struct ConfigHead {
  uint64_t version = 0;
  // DigestOf the encoded table at `version`; empty at version 0.
  std::string table_digest;
  // The latest entries, in order, ending at `version`.
  std::vector<LogEntry> tail;
  SnapshotRef snapshot;
  // Entries 1 to `segmented_version` are stored in segments of kSegmentEntries each; the tail
  // starts after.
  uint64_t segmented_version = 0;
  bool operator==(const ConfigHead&) const = default;
};

// The head as read. `object_version` 0 means that the object does not exist.
struct HeadObject {
  ConfigHead head;
  uint64_t object_version = 0;
  bool operator==(const HeadObject&) const = default;
};

inline constexpr std::string_view kHeadKey = "config/head";
// Longest tail of the head; kSegmentEntries move to a segment beyond it, so that at least half of
// the tail remains for publishers and nodes that are a little behind.
inline constexpr size_t kMaxTail = 128;
inline constexpr uint64_t kSegmentEntries = 64;
// Versions between snapshots: a node without state reads a snapshot and at most this many notes.
inline constexpr uint64_t kSnapshotInterval = 64;
// Largest stored value in bytes, below the platform's limit of 1,000,000.
inline constexpr size_t kMaxObjectBytes = 900'000;
// Bound on the touched resources of one entry, so that a full head stays below kMaxObjectBytes.
inline constexpr size_t kMaxTouchedBytes = 4'000;
// Bound on the parts of a snapshot that a reader accepts: a table of 14.4 MB, far above the few
// hundred resources of the target size and within the 32 MB that a node has for control.
inline constexpr uint32_t kMaxSnapshotParts = 16;

std::string NoteKey(std::string_view note_id, std::string_view digest);
// The object whose creation shows that no publisher has tried this id before.
std::string ClaimKey(std::string_view note_id);
std::string SnapshotKey(const SnapshotRef& snapshot, uint32_t part);
std::string SegmentKey(uint64_t first_version);
// First version of the segment that holds `version`.
uint64_t SegmentStart(uint64_t version);

std::string EncodeHead(const ConfigHead& head);
// Checks that the tail is contiguous and ends at the head's version, and that names and digests are
// well formed.
tl::expected<ConfigHead, CodecError> DecodeHead(std::string_view bytes);
std::string EncodeSegment(const std::vector<LogEntry>& entries);
// Checks that the entries are those of the segment that starts at `first_version`.
tl::expected<std::vector<LogEntry>, CodecError> DecodeSegment(std::string_view bytes,
                                                              uint64_t first_version);

// The entry for a note; its version is set when the note is appended.
LogEntry MakeLogEntry(const ReleaseNote& note);

// An immutable object to be created before the head refers to it.
struct ObjectWrite {
  std::string key;
  std::string value;
};

// The head after one more entry, and the objects that it refers to.
struct AppendResult {
  ConfigHead head;
  std::vector<ObjectWrite> new_objects;
};

// Appends `entry` at version head.version + 1, whose table is `table_after`. Moves old entries to a
// segment and adds a snapshot when due.
AppendResult AppendEntry(const ConfigHead& head, LogEntry entry, const ConfigTable& table_after);

// The entries of versions `first` to `last` that the tail holds.
std::vector<LogEntry> EntriesInTail(const ConfigHead& head, uint64_t first, uint64_t last);

// Parts of at most kMaxObjectBytes, at least one; the parts in order make up the bytes.
std::vector<std::string_view> SplitSnapshot(std::string_view bytes);

// The table after an accepted note, as every node computes it.
struct ApplyResult {
  ConfigTable table;
  // Why the note was refused, in which case the table is as before at the next version.
  std::optional<std::string> refusal;
  // Empty when the bytes are not a note.
  std::string note_id;
};

// Applies encoded bytes whose digest was checked. The result depends on the arguments only, so that
// all nodes refuse the same notes.
ApplyResult ApplyEncodedNote(const ConfigTable& table, std::string_view bytes);

}  // namespace guavatrail
