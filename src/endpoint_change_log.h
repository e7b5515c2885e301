// Defines EndpointChangeLog, which entries of a directory have changed since a revision of the
// platform's store. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace guavatrail {

// Keeps the last changes only; who knows an older state needs all entries.
class EndpointChangeLog {
 public:
  struct Options {
    size_t max_changes = 1024;
  };

  EndpointChangeLog() : EndpointChangeLog(Options{}) {}
  explicit EndpointChangeLog(Options options) : m_options(options) {}

  // Commands.
  // The entry of `node` has changed at a revision that the next CommitRevision names.
  void RecordChange(const std::string& node);
  // All entries have been read anew: entries that came and went since the last revision were not
  // seen, so who knows an older state needs all entries.
  void RecordFullSync() { m_is_read_anew = true; }
  // All changes up to `revision` are known.
  void CommitRevision(uint64_t revision);

  // Queries.
  // At the last change; 0 before any.
  uint64_t revision() const { return m_revision; }
  // The nodes whose entries have changed after `known`, each once; empty when that is not known.
  std::optional<std::vector<std::string>> ChangedSince(uint64_t known) const;

 private:
  struct Change {
    uint64_t revision = 0;
    std::string node;
  };

  Options m_options;
  std::deque<Change> m_changes;        // Oldest first.
  std::vector<std::string> m_pending;  // Of a revision not yet named.
  bool m_is_read_anew = false;         // Since the last CommitRevision.
  uint64_t m_revision = 0;
  uint64_t m_complete_from = 0;  // All later changes are in m_changes.
};

}  // namespace guavatrail
