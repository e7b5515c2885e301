// Defines the log of accepted notes as the platform stores it: the head object, whose conditional
// update decides the order of notes, segments of older entries, table snapshots, and object keys.
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
  std::string digest;  // Of the encoded note.
  // Sorted. Empty if the list would exceed kMaxTouchedBytes; the note may then touch any resource.
  std::vector<ResourceRef> touched_resources;
  bool operator==(const LogEntry&) const = default;
};

// Refers to the encoded table at `version`, stored in `parts` objects. Version 0: no snapshot.
struct SnapshotRef {
  uint64_t version = 0;
  std::string digest;
  uint32_t parts = 0;
  bool operator==(const SnapshotRef&) const = default;
};

// The value of config/head.
struct ConfigHead {
  uint64_t version = 0;
  // Digest of the encoded table at `version`; empty at version 0.
  std::string table_digest;
  // The latest entries in order of version; the last one is at `version`.
  std::vector<LogEntry> tail;
  SnapshotRef snapshot;
  // Entries 1 to `segmented_version` are stored in segments of kSegmentEntries each; the tail
  // starts with the next one.
  uint64_t segmented_version = 0;
  bool operator==(const ConfigHead&) const = default;
};

// The head with the version of its object on the platform; 0 if the object does not exist.
struct HeadObject {
  ConfigHead head;
  uint64_t object_version = 0;
  bool operator==(const HeadObject&) const = default;
};

inline constexpr std::string_view kHeadKey = "config/head";
// Maximum number of entries in the tail. Beyond it, kSegmentEntries move to a segment, which leaves
// at least half of the tail for publishers and nodes that are a few versions behind.
inline constexpr size_t kMaxTail = 128;
inline constexpr uint64_t kSegmentEntries = 64;
// Number of versions between snapshots. A node without state reads a snapshot and at most this many
// notes.
inline constexpr uint64_t kSnapshotInterval = 64;
// Largest stored value in bytes, below the platform's limit of 1,000,000.
inline constexpr size_t kMaxObjectBytes = 900'000;
// Bound on the encoded size of the touched resources of one entry. It keeps a head with a full tail
// below kMaxObjectBytes.
inline constexpr size_t kMaxTouchedBytes = 4'000;
// Maximum number of snapshot parts that a reader accepts. This allows a table of 14.4 MB, far more
// than the few hundred resources of the target size and within the 32 MB of memory that a node may
// use for control.
inline constexpr uint32_t kMaxSnapshotParts = 16;

std::string NoteKey(std::string_view note_id, std::string_view digest);
// Key of the object that claims a note id: its creation succeeds for the first publisher only.
std::string ClaimKey(std::string_view note_id);
std::string SnapshotKey(const SnapshotRef& snapshot, uint32_t part);
std::string SegmentKey(uint64_t first_version);
// First version of the segment that contains the entry at `version`.
uint64_t SegmentStart(uint64_t version);

std::string EncodeHead(const ConfigHead& head);
// Fails unless the tail is contiguous and ends at the head's version, and names and digests are
// well formed.
tl::expected<ConfigHead, CodecError> DecodeHead(std::string_view bytes);
std::string EncodeSegment(const std::vector<LogEntry>& entries);
// Fails unless the entries are exactly those of the segment that starts at `first_version`.
tl::expected<std::vector<LogEntry>, CodecError> DecodeSegment(std::string_view bytes,
                                                              uint64_t first_version);

// Creates the log entry of a note without its version, which AppendEntry sets.
LogEntry MakeLogEntry(const ReleaseNote& note);

// An immutable object, which must be created before the head that refers to it is written.
struct ObjectWrite {
  std::string key;
  std::string value;
};

// The head after an append, and the new objects that it refers to.
struct AppendResult {
  ConfigHead head;
  std::vector<ObjectWrite> new_objects;
};

// Appends `entry` at version head.version + 1, where the table is `table_after`. Moves the oldest
// entries to a segment if the tail is full, and adds a snapshot every kSnapshotInterval versions.
AppendResult AppendEntry(const ConfigHead& head, LogEntry entry, const ConfigTable& table_after);

// Returns those entries of versions `first` to `last` that are in the tail.
std::vector<LogEntry> EntriesInTail(const ConfigHead& head, uint64_t first, uint64_t last);

// Splits `bytes` into one or more parts of at most kMaxObjectBytes.
std::vector<std::string_view> SplitSnapshot(std::string_view bytes);

// The table after a note of the log, as every node computes it.
struct ApplyResult {
  ConfigTable table;
  // Why the note could not be applied. The table is then unchanged except for its version.
  std::optional<std::string> refusal;
  // Empty if the bytes are not a valid note.
  std::string note_id;
};

// Applies an encoded note, whose digest the caller has checked. The result depends on nothing but
// the arguments, so that all nodes refuse the same notes.
ApplyResult ApplyEncodedNote(const ConfigTable& table, std::string_view bytes);

}  // namespace guavatrail
