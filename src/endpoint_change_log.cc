#include "endpoint_change_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavatrail {

void EndpointChangeLog::RecordChange(const std::string& node) { m_pending.push_back(node); }

void EndpointChangeLog::CommitRevision(uint64_t revision) {
  bool has_news = !m_pending.empty();
  if (has_news) m_revision = std::max(m_revision, revision);
  if (m_is_read_anew) {
    m_is_read_anew = false;
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

std::optional<std::vector<std::string>> EndpointChangeLog::ChangedSince(uint64_t known) const {
  if (known < m_complete_from) return std::nullopt;
  std::set<std::string> nodes;
  for (const Change& change : m_changes) {
    if (change.revision > known) nodes.insert(change.node);
  }
  return std::vector<std::string>(nodes.begin(), nodes.end());
}

}  // namespace guavatrail
