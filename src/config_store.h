// Defines asynchronous reads of the configuration stored on the platform: the head, log entries,
// notes and the table. Handlers run on the event loop; destroying the client cancels them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "config_log.h"
#include "platform_client.h"

namespace guavatrail {

struct StoreError {
  enum class Code {
    kUnavailable,  // The platform did not answer or returned an error; a retry may succeed.
    kMissing,      // An object does not exist; a retry may succeed if the read was stale.
    kCorrupt,      // An object cannot be decoded or does not match its key or digest.
  };
  Code code = Code::kUnavailable;
  std::string message;
};

template <typename T>
using StoreHandler = std::function<void(tl::expected<T, StoreError>)>;

StoreError ToStoreError(const PlatformError& error, std::string_view key);
tl::expected<HeadObject, StoreError> DecodeHeadObject(const PlatformObject& object);

// Reads the head; yields that of the empty table, with object version 0, if the platform stores
// none.
void ReadHead(PlatformClient& client, StoreHandler<HeadObject> handler);

// Reads the entries of versions `first` to `last` from segments and from the tail of `head`.
void ReadEntries(PlatformClient& client, const ConfigHead& head, uint64_t first, uint64_t last,
                 StoreHandler<std::vector<LogEntry>> handler);

// Reads the encoded note of an entry and checks its digest.
void ReadNoteBytes(PlatformClient& client, const LogEntry& entry,
                   StoreHandler<std::string> handler);

// Reads the encoded table of a snapshot and checks its digest.
void ReadSnapshot(PlatformClient& client, const SnapshotRef& snapshot,
                  StoreHandler<std::string> handler);

// A table and the notes to apply to it, in order, to reach the head.
struct TableUpdates {
  std::shared_ptr<const ConfigTable> base;
  std::vector<std::pair<LogEntry, std::string>> notes;  // Each entry with its encoded note.
};
// Reads the updates from `base` (null: the empty table) to `head`. The empty table also replaces a
// `base` that is newer than `head`. The result starts from the snapshot instead if that is newer
// than the base and the base is more than kSnapshotInterval versions behind.
void ReadTableUpdates(PlatformClient& client, const ConfigHead& head,
                      std::shared_ptr<const ConfigTable> base, StoreHandler<TableUpdates> handler);

// Computes the table at `head` from `base`, a table of an earlier version (null: the empty table).
void ReadTable(PlatformClient& client, const ConfigHead& head,
               std::shared_ptr<const ConfigTable> base,
               StoreHandler<std::shared_ptr<const ConfigTable>> handler);

// A note with its log entry.
struct StoredNote {
  LogEntry entry;
  ReleaseNote note;
};
// Reads all log entries, from version 1 on.
void ReadHistory(PlatformClient& client, StoreHandler<std::vector<LogEntry>> handler);
// Reads the note at `version`; fails with kMissing if `version` is 0 or above the head's, or if
// the log has no entry for it.
void ReadNoteAt(PlatformClient& client, uint64_t version, StoreHandler<StoredNote> handler);
// Reads the head and computes its table.
void ReadCurrentTable(PlatformClient& client,
                      StoreHandler<std::shared_ptr<const ConfigTable>> handler);

}  // namespace guavatrail
