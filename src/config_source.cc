#include "config_source.h"

#include <algorithm>
#include <set>

#include "overlay.h"

namespace guavatrail {

void ConfigSourcePolicy::SetCandidates(const std::vector<Candidate>& candidates) {
  std::vector<std::string> own =
      ChooseWatchers(candidates, m_self.data_centre, m_options.watchers_per_data_centre);
  m_is_watcher = std::find(own.begin(), own.end(), m_self.node) != own.end();
  m_sources = std::move(own);
  std::erase(m_sources, m_self.node);
  std::set<std::string> names;
  for (const Candidate& candidate : candidates) {
    if (candidate.data_centre != m_self.data_centre) names.insert(candidate.data_centre);
  }
  // The nodes of one data centre spread over the others.
  std::vector<std::string> others = RendezvousTop(
      "config " + m_self.node, {names.begin(), names.end()}, m_options.foreign_watchers);
  for (const std::string& data_centre : others) {
    for (std::string& node : ChooseWatchers(candidates, data_centre, 1)) {
      m_sources.push_back(std::move(node));
    }
  }
}

void ConfigSourcePolicy::Answered(std::string_view node, int64_t age_us, int64_t now_us) {
  if (age_us > m_options.max_age_us) {
    Failed(node, now_us);
  } else if (auto it = m_avoided_until_us.find(node); it != m_avoided_until_us.end()) {
    m_avoided_until_us.erase(it);
  }
}

void ConfigSourcePolicy::Failed(std::string_view node, int64_t now_us) {
  m_avoided_until_us[std::string(node)] = now_us + m_options.avoid_us;
}

ConfigSource ConfigSourcePolicy::SourceAt(int64_t now_us) const {
  if (m_is_watcher) return FromPlatform{};
  for (const std::string& node : m_sources) {
    auto it = m_avoided_until_us.find(node);
    if (it == m_avoided_until_us.end() || it->second <= now_us) return FromNode{node};
  }
  return FromPlatform{};
}

}  // namespace guavatrail
