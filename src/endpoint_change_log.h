// Defines EndpointChangeLog, which records the entries of an EndpointDirectory that changed at each
// revision of the platform's store. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

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
  void CommitRevision(uint64_t revision);

  // Queries.
  // The revision of the last change; 0 before the first one.
  uint64_t revision() const { return m_revision; }
  // The nodes whose entries have changed after revision `known`, without duplicates; nullopt if the
  // log no longer holds these changes.
  std::optional<std::vector<std::string>> ChangedSince(uint64_t known) const;

 private:
  struct Change {
    uint64_t revision = 0;
    std::string node;
  };

  Options m_options;
  std::deque<Change> m_changes;        // Oldest first.
  std::vector<std::string> m_pending;  // Changes since the last CommitRevision.
  bool m_has_full_sync = false;        // RecordFullSync was called since the last CommitRevision.
  uint64_t m_revision = 0;
  uint64_t m_complete_from = 0;  // m_changes holds all changes after this revision.
};

}  // namespace guavatrail
