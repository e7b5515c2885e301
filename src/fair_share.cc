#include "fair_share.h"

#include <algorithm>
#include <cmath>

namespace guavatrail {

namespace {

// Short enough to follow a surge of a few seconds, long enough to average over the arrivals of a
// workspace with few requests.
constexpr double kHalfLifeUs = 2'000'000;
constexpr int64_t kDecayPeriodUs = 100'000;
// Margins that keep random arrivals from putting a workspace with its usual demand above its share:
// a factor for large workspaces, and requests of usual length for those with few requests.
constexpr double kTolerance = 1.3;
constexpr double kToleratedRequests = 3;
// A workspace is removed once less than this part of a usual request is left of its use.
constexpr double kActiveRequests = 0.1;

}  // namespace

double FairShare::DecaySince(int64_t now_us) const {
  return std::exp2(-static_cast<double>(std::max<int64_t>(0, now_us - m_decayed_us)) / kHalfLifeUs);
}

void FairShare::DecayTo(int64_t now_us) {
  if (now_us - m_decayed_us < kDecayPeriodUs) return;
  double factor = DecaySince(now_us);
  for (auto& [name, entry] : m_entries) entry.used_us *= factor;
  for (Total& total : m_totals) total.used_us *= factor;
  m_decayed_us = now_us;
}

void FairShare::Remove(std::map<std::string, Entry, std::less<>>::iterator entry) {
  Total& total = m_totals.at(static_cast<size_t>(entry->second.importance));
  total.weight -= entry->second.weight;
  total.used_us = std::max(0.0, total.used_us - entry->second.used_us);
  m_entries.erase(entry);
}

void FairShare::RemoveInactive() {
  double inactive_us = kActiveRequests * static_cast<double>(m_request_time.typical_us());
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    auto next = std::next(entry);
    if (entry->second.used_us < inactive_us) Remove(entry);
    entry = next;
  }
}

void FairShare::OnStarted(const WorkspaceTag& workspace, int64_t service_us, int64_t now_us) {
  if (workspace.name.empty()) return;
  if (now_us - m_decayed_us >= kDecayPeriodUs) {
    DecayTo(now_us);
    RemoveInactive();
  }
  m_request_time.Add(service_us);
  auto entry = m_entries.find(workspace.name);
  bool has_changed = entry != m_entries.end() && (entry->second.weight != workspace.weight ||
                                                  entry->second.importance != workspace.importance);
  double used_us = entry == m_entries.end() ? 0 : entry->second.used_us;
  if (has_changed) Remove(entry);
  Total& total = m_totals.at(static_cast<size_t>(workspace.importance));
  if (has_changed || entry == m_entries.end()) {
    entry =
        m_entries.emplace(workspace.name, Entry{workspace.importance, workspace.weight, used_us})
            .first;
    total.weight += workspace.weight;
    total.used_us += used_us;
  }
  entry->second.used_us += static_cast<double>(service_us);
  total.used_us += static_cast<double>(service_us);
}

bool FairShare::IsAboveShare(const WorkspaceTag& workspace, int64_t now_us) const {
  auto entry = m_entries.find(workspace.name);
  if (entry == m_entries.end()) return false;
  const Entry& own = entry->second;
  const Total& total = m_totals.at(static_cast<size_t>(own.importance));
  // Without other workspaces there is nobody to share with.
  if (total.weight <= own.weight) return false;
  double factor = DecaySince(now_us);
  // What the others use sets the level. With the use of this workspace in it, one that takes almost
  // the whole server would raise its own share.
  double others_us = (total.used_us - own.used_us) * factor;
  double share_us = others_us * own.weight / (total.weight - own.weight);
  double tolerated_us = kToleratedRequests * static_cast<double>(m_request_time.typical_us());
  return own.used_us * factor > kTolerance * share_us + tolerated_us;
}

}  // namespace guavatrail
