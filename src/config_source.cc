#include "config_source.h"

#include <algorithm>
#include <set>

#include "overlay.h"

namespace guavatrail {

namespace {

// Minimum number of watchers; each is in a different data centre.
constexpr int kMinWatchers = 2;
// A node with less than this share of the fastest link (that of its own data centre if fewer than
// kMinWatchers data centres have fast links) does not watch: a watcher receives whole
// configurations from the store and sends them to followers that start.
constexpr double kWatcherLinkShare = 0.5;

}  // namespace

std::vector<Candidate> WatcherCandidates(const EndpointList& endpoints) {
  double fastest = 0;
  std::map<std::string, double> fastest_in_data_centre;
  for (const Endpoint& endpoint : endpoints.all()) {
    // The node of a draining server is about to leave.
    if (endpoint.draining) continue;
    double& link = fastest_in_data_centre[endpoint.data_centre];
    link = std::max(link, endpoint.link_mbps);
    fastest = std::max(fastest, link);
  }
  auto fast_data_centres =
      std::count_if(fastest_in_data_centre.begin(), fastest_in_data_centre.end(),
                    [&](const auto& item) { return item.second >= kWatcherLinkShare * fastest; });
  std::vector<Candidate> candidates;
  for (const Endpoint& endpoint : endpoints.all()) {
    if (endpoint.draining) continue;
    double link =
        fast_data_centres < kMinWatchers ? fastest_in_data_centre[endpoint.data_centre] : fastest;
    if (endpoint.link_mbps < kWatcherLinkShare * link) continue;
    candidates.push_back({endpoint.node, endpoint.data_centre});
  }
  return candidates;
}

void ConfigSourcePolicy::SetCandidates(const std::vector<Candidate>& candidates,
                                       size_t fleet_size) {
  std::set<std::string> names;
  for (const Candidate& candidate : candidates) names.insert(candidate.data_centre);
  size_t wanted = (fleet_size + m_options.nodes_per_watcher - 1) / m_options.nodes_per_watcher;
  std::vector<std::string> watcher_data_centres =
      RendezvousTop("config", {names.begin(), names.end()}, std::max<size_t>(kMinWatchers, wanted));
  // Nodes without a watcher in their data centre are spread over all watchers.
  std::vector<std::string> order =
      RendezvousTop("config " + m_self.node, watcher_data_centres, watcher_data_centres.size());
  std::stable_partition(order.begin(), order.end(), [this](const std::string& data_centre) {
    return data_centre == m_self.data_centre;
  });
  m_sources.clear();
  for (const std::string& data_centre : order) {
    if (m_sources.size() >= m_options.max_sources) break;
    for (std::string& node : ChooseWatchers(candidates, data_centre, 1)) {
      m_sources.push_back(std::move(node));
    }
  }
  m_is_watcher = !m_sources.empty() && m_sources.front() == m_self.node;
  std::erase(m_sources, m_self.node);
}

void ConfigSourcePolicy::OnAnswer(std::string_view node, int64_t age_us, int64_t now_us,
                                  double unit) {
  if (age_us <= m_options.max_age_us) {
    if (auto it = m_backoff_until_us.find(node); it != m_backoff_until_us.end()) {
      m_backoff_until_us.erase(it);
    }
    m_stale.clear();
    return;
  }
  OnFailure(node, now_us);
  bool is_new = m_stale.emplace(node).second;
  if (!is_new || m_stale.size() != m_options.min_stale_sources_in_outage) return;
  auto backoff_us = static_cast<int64_t>(unit * static_cast<double>(m_options.platform_backoff_us));
  m_platform_backoff_until_us = std::max(m_platform_backoff_until_us, now_us + backoff_us);
}

void ConfigSourcePolicy::OnFailure(std::string_view node, int64_t now_us) {
  m_backoff_until_us[std::string(node)] = now_us + m_options.source_backoff_us;
}

void ConfigSourcePolicy::OnPlatformFailure(int64_t now_us, double unit) {
  if (m_sources.size() < m_options.min_stale_sources_in_outage) return;
  auto backoff_us =
      static_cast<int64_t>((1 + unit) / 2 * static_cast<double>(m_options.platform_backoff_us));
  m_platform_backoff_until_us = now_us + backoff_us;
}

bool ConfigSourcePolicy::IsBackedOff(std::string_view node, int64_t now_us) const {
  auto it = m_backoff_until_us.find(node);
  return it != m_backoff_until_us.end() && it->second > now_us;
}

ConfigSource ConfigSourcePolicy::SourceAt(int64_t now_us) const {
  if (m_is_watcher || m_sources.empty()) return FromPlatform{};
  for (const std::string& node : m_sources) {
    if (!IsBackedOff(node, now_us)) return FromNode{node};
  }
  if (now_us >= m_platform_backoff_until_us) return FromPlatform{};
  // The source that failed longest ago.
  return FromNode{*std::min_element(
      m_sources.begin(), m_sources.end(), [this](const std::string& a, const std::string& b) {
        return m_backoff_until_us.find(a)->second < m_backoff_until_us.find(b)->second;
      })};
}

}  // namespace guavatrail
