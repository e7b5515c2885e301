// Defines EndpointChangeLog, which records the entries of an EndpointDirectory that changed at each
// revision of the platform's store. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "store_revision.h"

namespace guavatrail {

// Holds a bounded number of recent changes. A node with an older state must receive all entries.
class EndpointChangeLog {
 public:
  struct Options {
    size_t max_changes = 1024;
  };

  EndpointChangeLog() : EndpointChangeLog(Options{}) {}
  explicit EndpointChangeLog(Options options) : m_options(options) {}

  // Commands.
  // Records that the entry of `node` has changed. The next CommitRevision assigns the revision.
  void RecordChange(const std::string& node);
  // Records that all entries have been read. Entries that were added and removed between the last
  // revision and the reading are unknown, so a node with an older state must receive all entries.
  void RecordFullSync() { m_has_full_sync = true; }
  // Declares that all changes up to `revision` have been recorded.
  void CommitRevision(StoreRevision revision);

  // Queries.
  // The revision of the last change, or at which the era of the log began; number 0 before the
  // first one.
  StoreRevision revision() const { return m_revision; }
  // The nodes whose entries have changed after revision `known`, without duplicates; nullopt if the
  // log no longer holds these changes.
  std::optional<std::vector<std::string>> ChangedSince(StoreRevision known) const;

 private:
  struct Change {
    StoreRevision revision;
    std::string node;
  };

  Options m_options;
  std::deque<Change> m_changes;        // Oldest first.
  std::vector<std::string> m_pending;  // Changes since the last CommitRevision.
  bool m_has_full_sync = false;        // RecordFullSync was called since the last CommitRevision.
  StoreRevision m_revision;
  StoreRevision m_complete_from;  // m_changes holds all changes after this revision.
};

}  // namespace guavatrail
