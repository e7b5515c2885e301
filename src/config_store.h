// Defines the asynchronous reads of the configuration that the platform holds: the head, log
// entries, notes and the table. Handlers run on the loop; destroying the client drops them.
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
    kUnavailable,  // The platform did not answer or refused; a retry may succeed.
    kMissing,      // An object is not there; after a stale read a retry may succeed.
    kCorrupt,      // An object is not what its key or digest says.
  };
  Code code = Code::kUnavailable;
  std::string message;
};

template <typename T>
using StoreHandler = std::function<void(tl::expected<T, StoreError>)>;

StoreError ToStoreError(const PlatformError& error, std::string_view key);
tl::expected<HeadObject, StoreError> DecodeHeadObject(const PlatformObject& object);

// A missing head is that of the empty table, with object version 0.
void ReadHead(PlatformClient& client, StoreHandler<HeadObject> handler);

// The entries `first` to `last`, from the tail of `head` and from segments.
void ReadEntries(PlatformClient& client, const ConfigHead& head, uint64_t first, uint64_t last,
                 StoreHandler<std::vector<LogEntry>> handler);

// The encoded note of an entry; its digest is checked.
void ReadNoteBytes(PlatformClient& client, const LogEntry& entry,
                   StoreHandler<std::string> handler);

// The encoded table of a snapshot; its digest is checked.
void ReadSnapshot(PlatformClient& client, const SnapshotRef& snapshot,
                  StoreHandler<std::string> handler);

// A table and the notes that lead from it to the head.
struct TableUpdates {
  std::shared_ptr<const ConfigTable> base;
  std::vector<std::pair<LogEntry, std::string>> notes;  // With their encoded bytes.
};
// What leads from `base` (null: the empty table) to `head`. When more than kSnapshotInterval
// versions lie between, the result starts from the snapshot.
void ReadTableUpdates(PlatformClient& client, const ConfigHead& head,
                      std::shared_ptr<const ConfigTable> base, StoreHandler<TableUpdates> handler);

// The table at `head`, given the table `base` at an earlier version (null: the empty table).
void ReadTable(PlatformClient& client, const ConfigHead& head,
               std::shared_ptr<const ConfigTable> base,
               StoreHandler<std::shared_ptr<const ConfigTable>> handler);

// For the operator's command.
struct StoredNote {
  LogEntry entry;
  ReleaseNote note;
};
// All entries, from version 1 on.
void ReadHistory(PlatformClient& client, StoreHandler<std::vector<LogEntry>> handler);
// The note at `version`; kMissing when the head is lower.
void ReadNoteAt(PlatformClient& client, uint64_t version, StoreHandler<StoredNote> handler);
// The table at the current head.
void ReadCurrentTable(PlatformClient& client,
                      StoreHandler<std::shared_ptr<const ConfigTable>> handler);

}  // namespace guavatrail
