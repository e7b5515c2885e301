#include "config_store.h"

#include <glog/logging.h>

#include <algorithm>

namespace guavatrail {

namespace {

// Limit on concurrent note reads for one table.
constexpr size_t kMaxConcurrentReads = 16;

tl::unexpected<StoreError> Fail(StoreError::Code code, const std::string& message) {
  return tl::make_unexpected(StoreError{code, message});
}

// Reads a range of log entries: segment by segment, then from the tail of the head.
struct EntriesReader : std::enable_shared_from_this<EntriesReader> {
  PlatformClient& client;
  ConfigHead head;
  uint64_t next;
  uint64_t last;
  std::vector<LogEntry> entries;
  StoreHandler<std::vector<LogEntry>> handler;

  EntriesReader(PlatformClient& c, const ConfigHead& h, uint64_t first, uint64_t l,
                StoreHandler<std::vector<LogEntry>> done)
      : client(c), head(h), next(first), last(l), handler(std::move(done)) {}

  void ReadNext() {
    if (next > last || next > head.segmented_version) {
      std::vector<LogEntry> tail = EntriesInTail(head, next, last);
      entries.insert(entries.end(), tail.begin(), tail.end());
      handler(std::move(entries));
      return;
    }
    std::string key = SegmentKey(SegmentStart(next));
    client.Read(key, [self = shared_from_this(), key](auto object) { self->OnRead(key, object); });
  }

  void OnRead(const std::string& key, const tl::expected<PlatformObject, PlatformError>& object) {
    if (!object) return handler(tl::make_unexpected(ToStoreError(object.error(), key)));
    uint64_t first = SegmentStart(next);
    auto segment = DecodeSegment(object->value, first);
    if (!segment) {
      return handler(Fail(StoreError::Code::kCorrupt, key + ": " + segment.error().message));
    }
    for (LogEntry& entry : *segment) {
      if (entry.version >= next && entry.version <= last) entries.push_back(std::move(entry));
    }
    next = first + kSegmentEntries;
    ReadNext();
  }
};

// Reads the parts of a snapshot in order and checks the digest of the whole.
struct SnapshotReader : std::enable_shared_from_this<SnapshotReader> {
  PlatformClient& client;
  SnapshotRef snapshot;
  uint32_t part = 0;
  std::string bytes;
  StoreHandler<std::string> handler;

  SnapshotReader(PlatformClient& c, SnapshotRef s, StoreHandler<std::string> done)
      : client(c), snapshot(std::move(s)), handler(std::move(done)) {}

  void ReadNext() {
    std::string key = SnapshotKey(snapshot, part);
    if (part == snapshot.parts) {
      if (DigestOf(bytes) != snapshot.digest) {
        return handler(
            Fail(StoreError::Code::kCorrupt, key + ": snapshot does not match its digest"));
      }
      return handler(std::move(bytes));
    }
    client.Read(key, [self = shared_from_this(), key](auto object) {
      if (!object) return self->handler(tl::make_unexpected(ToStoreError(object.error(), key)));
      self->bytes += object->value;
      ++self->part;
      self->ReadNext();
    });
  }
};

// Reads the snapshot if the base table is too old, then the notes after it concurrently.
struct UpdatesReader : std::enable_shared_from_this<UpdatesReader> {
  PlatformClient& client;
  ConfigHead head;
  TableUpdates updates;
  std::vector<LogEntry> entries;
  size_t next = 0;
  size_t reads_in_flight = 0;
  bool failed = false;
  StoreHandler<TableUpdates> handler;

  UpdatesReader(PlatformClient& c, const ConfigHead& h, std::shared_ptr<const ConfigTable> base,
                StoreHandler<TableUpdates> done)
      : client(c), head(h), handler(std::move(done)) {
    updates.base = std::move(base);
  }

  void Start() {
    if (updates.base == nullptr || updates.base->version() > head.version) {
      updates.base = std::make_shared<const ConfigTable>();
    }
    uint64_t version = updates.base->version();
    if (head.snapshot.version <= version || head.version - version <= kSnapshotInterval) {
      return ReadLog();
    }
    ReadSnapshot(client, head.snapshot, [self = shared_from_this()](auto bytes) {
      if (!bytes) return self->handler(tl::make_unexpected(bytes.error()));
      auto decoded = DecodeTable(*bytes);
      if (decoded) {
        self->updates.base = std::make_shared<const ConfigTable>(std::move(*decoded));
      } else {
        // The snapshot of another build may lack what this one needs to know. The notes have it
        // all.
        LOG(WARNING) << "event=snapshot_not_used version=" << self->head.snapshot.version
                     << " error=\"" << decoded.error().message << "\"";
      }
      self->ReadLog();
    });
  }

  void ReadLog() {
    ReadEntries(client, head, updates.base->version() + 1, head.version,
                [self = shared_from_this()](auto read) {
                  if (!read) return self->handler(tl::make_unexpected(read.error()));
                  self->entries = std::move(*read);
                  self->ReadNotes();
                });
  }

  // Reads are concurrent: with up to kSnapshotInterval notes and a platform that takes 500 ms to
  // answer, sequential reads took longer than a publisher waits.
  void ReadNotes() {
    updates.notes.resize(entries.size());
    if (entries.empty()) return handler(std::move(updates));
    while (reads_in_flight < kMaxConcurrentReads && next < entries.size()) ReadNote(next++);
  }

  void ReadNote(size_t index) {
    ++reads_in_flight;
    ReadNoteBytes(client, entries[index], [self = shared_from_this(), index](auto bytes) {
      self->OnNote(index, std::move(bytes));
    });
  }

  void OnNote(size_t index, tl::expected<std::string, StoreError> bytes) {
    --reads_in_flight;
    if (failed) return;
    if (!bytes) {
      failed = true;
      return handler(tl::make_unexpected(bytes.error()));
    }
    updates.notes[index] = {entries[index], std::move(*bytes)};
    if (next < entries.size()) return ReadNote(next++);
    if (reads_in_flight == 0) handler(std::move(updates));
  }
};

// Only logs a mismatch: the notes are authoritative, and a digest that differs from the head's
// means that the writer of the head applied them differently.
void CheckTableDigest(const ConfigHead& head, const ConfigTable& table) {
  if (head.version > 0 && DigestOf(EncodeTable(table)) != head.table_digest) {
    LOG(WARNING) << "event=table_digest_differs version=" << head.version;
  }
}

}  // namespace

StoreError ToStoreError(const PlatformError& error, std::string_view key) {
  StoreError::Code code = error.code == PlatformError::Code::kNotFound
                              ? StoreError::Code::kMissing
                              : StoreError::Code::kUnavailable;
  return {code, std::string(key) + ": " + error.message};
}

tl::expected<HeadObject, StoreError> DecodeHeadObject(const PlatformObject& object) {
  auto head = DecodeHead(object.value);
  if (!head) {
    return Fail(StoreError::Code::kCorrupt, std::string(kHeadKey) + ": " + head.error().message);
  }
  return HeadObject{std::move(*head), object.version};
}

void ReadHead(PlatformClient& client, StoreHandler<HeadObject> handler) {
  client.Read(kHeadKey, [handler = std::move(handler)](auto object) {
    if (object) return handler(DecodeHeadObject(*object));
    if (object.error().code == PlatformError::Code::kNotFound) return handler(HeadObject{});
    handler(tl::make_unexpected(ToStoreError(object.error(), kHeadKey)));
  });
}

void ReadEntries(PlatformClient& client, const ConfigHead& head, uint64_t first, uint64_t last,
                 StoreHandler<std::vector<LogEntry>> handler) {
  std::make_shared<EntriesReader>(client, head, std::max<uint64_t>(first, 1), last,
                                  std::move(handler))
      ->ReadNext();
}

void ReadNoteBytes(PlatformClient& client, const LogEntry& entry,
                   StoreHandler<std::string> handler) {
  std::string key = NoteKey(entry.note_id, entry.digest);
  client.Read(key, [key, digest = entry.digest, handler = std::move(handler)](auto object) {
    if (!object) return handler(tl::make_unexpected(ToStoreError(object.error(), key)));
    if (DigestOf(object->value) != digest) {
      return handler(Fail(StoreError::Code::kCorrupt, key + ": note does not match its digest"));
    }
    handler(std::move(object->value));
  });
}

void ReadSnapshot(PlatformClient& client, const SnapshotRef& snapshot,
                  StoreHandler<std::string> handler) {
  std::make_shared<SnapshotReader>(client, snapshot, std::move(handler))->ReadNext();
}

void ReadTableUpdates(PlatformClient& client, const ConfigHead& head,
                      std::shared_ptr<const ConfigTable> base, StoreHandler<TableUpdates> handler) {
  std::make_shared<UpdatesReader>(client, head, std::move(base), std::move(handler))->Start();
}

void ReadTable(PlatformClient& client, const ConfigHead& head,
               std::shared_ptr<const ConfigTable> base,
               StoreHandler<std::shared_ptr<const ConfigTable>> handler) {
  ReadTableUpdates(client, head, std::move(base),
                   [head, handler = std::move(handler)](auto updates) {
                     if (!updates) return handler(tl::make_unexpected(updates.error()));
                     ConfigTable table = *updates->base;
                     for (const auto& [entry, bytes] : updates->notes) {
                       table = std::move(ApplyEncodedNote(table, bytes).table);
                     }
                     CheckTableDigest(head, table);
                     handler(std::make_shared<const ConfigTable>(std::move(table)));
                   });
}

void ReadHistory(PlatformClient& client, StoreHandler<std::vector<LogEntry>> handler) {
  ReadHead(client, [&client, handler = std::move(handler)](auto object) {
    if (!object) return handler(tl::make_unexpected(object.error()));
    ReadEntries(client, object->head, 1, object->head.version, handler);
  });
}

void ReadNoteAt(PlatformClient& client, uint64_t version, StoreHandler<StoredNote> handler) {
  auto on_bytes = [handler](const LogEntry& entry,
                            const tl::expected<std::string, StoreError>& bytes) {
    if (!bytes) return handler(tl::make_unexpected(bytes.error()));
    auto note = DecodeNote(*bytes);
    if (!note) return handler(Fail(StoreError::Code::kCorrupt, note.error().message));
    handler(StoredNote{entry, std::move(*note)});
  };
  auto on_entries = [&client, handler, version, on_bytes](auto entries) {
    if (!entries) return handler(tl::make_unexpected(entries.error()));
    if (entries->empty()) {
      return handler(
          Fail(StoreError::Code::kMissing, "no note at version " + std::to_string(version)));
    }
    ReadNoteBytes(client, entries->front(),
                  [on_bytes, entry = entries->front()](auto bytes) { on_bytes(entry, bytes); });
  };
  ReadHead(client, [&client, handler, version, on_entries](auto object) {
    if (!object) return handler(tl::make_unexpected(object.error()));
    if (version == 0 || version > object->head.version) {
      return handler(Fail(StoreError::Code::kMissing,
                          "no note at version " + std::to_string(version) + "; the head is at " +
                              std::to_string(object->head.version)));
    }
    ReadEntries(client, object->head, version, version, on_entries);
  });
}

void ReadCurrentTable(PlatformClient& client,
                      StoreHandler<std::shared_ptr<const ConfigTable>> handler) {
  ReadHead(client, [&client, handler = std::move(handler)](auto object) {
    if (!object) return handler(tl::make_unexpected(object.error()));
    ReadTable(client, object->head, nullptr, handler);
  });
}

}  // namespace guavatrail
