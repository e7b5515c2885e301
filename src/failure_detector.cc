#include "failure_detector.h"

#include <algorithm>

namespace guavatrail {

namespace {

// Distinct monitors that must suspect a node before it is declared dead, where it has that many.
constexpr size_t kReportsToConfirm = 2;
// A node that refutes every suspicion but stays silent to this monitor is behind a broken path.
// Each refuted suspicion doubles the silence before the next one, up to this factor, so that they
// do not flood the fleet every few seconds.
constexpr int64_t kMaxSuspicionBackoff = 16;

}  // namespace

void FailureDetector::SetMonitored(const std::vector<MonitoredNode>& nodes, int64_t now_ms) {
  std::map<std::string, Monitored, std::less<>> next;
  for (const MonitoredNode& node : nodes) {
    Monitored entry;
    entry.incarnation = node.incarnation;
    entry.heard_ms = now_ms;
    auto known = m_monitored.find(node.name);
    if (known != m_monitored.end()) {
      bool refuted = node.incarnation > known->second.incarnation;
      entry = known->second;
      entry.incarnation = std::max(entry.incarnation, node.incarnation);
      if (refuted && entry.is_suspected) {
        entry.suspicion_backoff = std::min(kMaxSuspicionBackoff, entry.suspicion_backoff * 2);
        entry.heard_ms = now_ms;
      }
      if (refuted) entry.is_suspected = false;
    }
    entry.monitors = node.monitors;
    auto suspicion = m_suspicions.find(node.name);
    if (suspicion != m_suspicions.end() && suspicion->second.incarnation < entry.incarnation) {
      m_suspicions.erase(suspicion);
    }
    next[node.name] = entry;
  }
  m_monitored = std::move(next);
}

void FailureDetector::OnHeartbeat(std::string_view node, uint64_t incarnation, int64_t now_ms) {
  auto found = m_monitored.find(node);
  if (found == m_monitored.end() || incarnation < found->second.incarnation) return;
  found->second.heard_ms = now_ms;
  found->second.reconnect_ms = 0;
  found->second.suspicion_backoff = 1;
  if (!found->second.is_suspected) return;
  // Withdraws this monitor's own report; the node itself refutes towards the other monitors.
  found->second.is_suspected = false;
  auto suspicion = m_suspicions.find(node);
  if (suspicion == m_suspicions.end()) return;
  suspicion->second.reporters.erase(m_options.self);
  if (suspicion->second.reporters.empty()) m_suspicions.erase(suspicion);
}

bool FailureDetector::OnSuspicion(const NodeIncarnation& node, std::string_view reporter,
                                  int64_t now_ms) {
  auto monitored = m_monitored.find(node.name);
  bool is_refuted =
      monitored != m_monitored.end() && node.incarnation < monitored->second.incarnation;
  if (is_refuted) return false;
  Suspicion& suspicion = m_suspicions[node.name];
  if (node.incarnation < suspicion.incarnation) return false;
  if (suspicion.reporters.empty() || node.incarnation > suspicion.incarnation) {
    suspicion = {node.incarnation, now_ms, {}};
  }
  if (suspicion.reporters.size() >= kReportsToConfirm) return false;
  return suspicion.reporters.emplace(reporter).second;
}

DetectorDecisions FailureDetector::Tick(int64_t now_ms) {
  int64_t gap_ms = m_last_tick_ms < 0 ? 0 : now_ms - m_last_tick_ms;
  m_last_tick_ms = now_ms;
  if (gap_ms > m_options.heartbeat_ms) {
    ++m_pauses;
    ExtendWaits(gap_ms);
  }
  DetectorDecisions decisions;
  for (auto& [name, node] : m_monitored) {
    CheckSilence(name, node, now_ms, decisions);
    if (IsConfirmed(name, node, now_ms)) decisions.dead.push_back({name, node.incarnation});
  }
  for (const NodeIncarnation& node : decisions.dead) ClearSuspicion(node.name);
  return decisions;
}

void FailureDetector::ExtendWaits(int64_t gap_ms) {
  for (auto& [name, node] : m_monitored) {
    node.heard_ms += gap_ms;
    if (node.reconnect_ms != 0) node.reconnect_ms += gap_ms;
  }
  for (auto& [name, suspicion] : m_suspicions) suspicion.since_ms += gap_ms;
}

void FailureDetector::CheckSilence(const std::string& name, Monitored& node, int64_t now_ms,
                                   DetectorDecisions& decisions) {
  int64_t silent_ms = now_ms - node.heard_ms;
  int64_t suspect_after_ms = m_options.missed_heartbeats * m_options.heartbeat_ms;
  int64_t reconnect_after_ms =
      std::max(m_options.heartbeat_ms, suspect_after_ms - m_options.heartbeat_ms);
  bool is_retry_due = node.reconnect_ms == 0 || now_ms - node.reconnect_ms >= suspect_after_ms;
  if (silent_ms >= reconnect_after_ms && is_retry_due) {
    node.reconnect_ms = now_ms;
    decisions.silent.push_back(name);
  }
  if (node.is_suspected || silent_ms < suspect_after_ms * node.suspicion_backoff) return;
  node.is_suspected = true;
  OnSuspicion({name, node.incarnation}, m_options.self, now_ms);
  decisions.suspected.push_back({name, node.incarnation});
}

bool FailureDetector::IsConfirmed(const std::string& name, const Monitored& node,
                                  int64_t now_ms) const {
  auto found = m_suspicions.find(name);
  if (found == m_suspicions.end() || found->second.incarnation != node.incarnation) return false;
  size_t needed = std::min(kReportsToConfirm, std::max<size_t>(1, node.monitors));
  return found->second.reporters.size() >= needed &&
         now_ms - found->second.since_ms >= m_options.suspicion_ms;
}

}  // namespace guavatrail
