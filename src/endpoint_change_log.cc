#include "endpoint_change_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavatrail {

void EndpointChangeLog::RecordChange(const std::string& node) { m_pending.push_back(node); }

// The first revision of an era is committed even without changes: it tells other nodes that
// revisions of earlier eras are void.
void EndpointChangeLog::CommitRevision(StoreRevision revision) {
  bool is_new_era = m_revision.era < revision.era;
  if (is_new_era || !m_pending.empty()) m_revision = std::max(m_revision, revision);
  if (is_new_era || m_has_full_sync) {
    m_has_full_sync = false;
    m_changes.clear();
    m_complete_from = std::max(m_revision, revision);
  } else {
    for (std::string& node : m_pending) m_changes.push_back({m_revision, std::move(node)});
  }
  m_pending.clear();
  while (m_changes.size() > m_options.max_changes) {
    m_complete_from = m_changes.front().revision;
    m_changes.pop_front();
  }
}

std::optional<std::vector<std::string>> EndpointChangeLog::ChangedSince(StoreRevision known) const {
  if (known < m_complete_from) return std::nullopt;
  std::set<std::string> nodes;
  for (const Change& change : m_changes) {
    if (known < change.revision) nodes.insert(change.node);
  }
  return std::vector<std::string>(nodes.begin(), nodes.end());
}

}  // namespace guavatrail
