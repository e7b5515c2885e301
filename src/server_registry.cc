#include "server_registry.h"

namespace guavatrail {

namespace {

// Limit on the ended lifetimes that are kept to recognize late reports.
constexpr size_t kMaxEndedLifetimes = 64;

// Whether `report` supersedes `known`.
bool Supersedes(const ServerReport& report, const ServerReport& known) {
  if (report.lifetime != known.lifetime) {
    return report.lifetime.started_ms > known.lifetime.started_ms;
  }
  return report.state == ServerState::kLeft || report.sequence > known.sequence;
}

}  // namespace

std::string_view ToString(ServerState state) {
  switch (state) {
    case ServerState::kReady:
      return "ready";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view ToString(ReportOutcome outcome) {
  switch (outcome) {
    case ReportOutcome::kChanged:
      return "changed";
    case ReportOutcome::kRefreshed:
      return "refreshed";
    case ReportOutcome::kStale:
      return "stale";
    case ReportOutcome::kForeign:
      return "foreign";
  }
  return "unknown";
}

bool ServerRegistry::HasEnded(const ServerLifetime& lifetime) const {
  return m_ended_lifetimes.contains(lifetime);
}

void ServerRegistry::EndLifetime(const ServerLifetime& lifetime) {
  m_ended_lifetimes.insert(lifetime);
  if (m_ended_lifetimes.size() > kMaxEndedLifetimes)
    m_ended_lifetimes.erase(m_ended_lifetimes.begin());
}

ReportOutcome ServerRegistry::OnReport(const ServerReport& report, int64_t now_us) {
  if (report.service != m_service || report.address != m_address) return ReportOutcome::kForeign;
  if (HasEnded(report.lifetime)) return ReportOutcome::kStale;
  if (m_left_ids.erase(report.lifetime.id) > 0 && !m_current) {
    // The leave message overtook this report, or arrived before this node knew the server.
    EndLifetime(report.lifetime);
    return ReportOutcome::kStale;
  }
  if (m_current && m_current->report.lifetime == report.lifetime) {
    ServerReport& known = m_current->report;
    if (report.sequence <= known.sequence) return ReportOutcome::kStale;
    ServerReport next = report;
    // The server may have stated its leave in an answer only.
    if (next.state == ServerState::kReady) next.state = known.state;
    bool is_changed = next.state != known.state || next.slots != known.slots;
    known = next;
    m_current->reported_us = now_us;
    m_current->is_restored = false;
    return is_changed ? ReportOutcome::kChanged : ReportOutcome::kRefreshed;
  }
  if (m_current) {
    const ServerLifetime& known = m_current->report.lifetime;
    // A report of a previous server at this address may arrive after that of its successor.
    if (report.lifetime.started_ms < known.started_ms) return ReportOutcome::kStale;
    EndLifetime(known);
  }
  m_current = LocalServer{report, now_us, false};
  return ReportOutcome::kChanged;
}

ReportOutcome ServerRegistry::OnLeave(std::string_view id, std::optional<int64_t> started_ms) {
  if (!m_current || m_current->report.lifetime.id != id) {
    if (started_ms) {
      EndLifetime({std::string(id), *started_ms});
    } else if (!m_current && m_left_ids.size() < kMaxEndedLifetimes) {
      m_left_ids.emplace(id);
    }
    return ReportOutcome::kStale;
  }
  ServerReport& known = m_current->report;
  if (started_ms && *started_ms != known.lifetime.started_ms) {
    EndLifetime({std::string(id), *started_ms});
    return ReportOutcome::kStale;
  }
  EndLifetime(known.lifetime);
  bool is_changed = known.state != ServerState::kLeft;
  known.state = ServerState::kLeft;
  return is_changed ? ReportOutcome::kChanged : ReportOutcome::kRefreshed;
}

ReportOutcome ServerRegistry::OnLeaving(const ServerLifetime& lifetime) {
  if (!m_current || m_current->report.lifetime != lifetime) return ReportOutcome::kStale;
  ServerReport& known = m_current->report;
  if (known.state != ServerState::kReady) return ReportOutcome::kRefreshed;
  known.state = ServerState::kDraining;
  return ReportOutcome::kChanged;
}

// Reports and leave messages may arrive before the stored report has been read. The stored report
// must not override newer ones, and older ones among them must not override it.
void ServerRegistry::Restore(const ServerReport& report, int64_t now_us) {
  ServerReport restored = report;
  bool has_left = m_left_ids.erase(restored.lifetime.id) > 0 || HasEnded(restored.lifetime);
  if (has_left) restored.state = ServerState::kLeft;
  if (restored.state == ServerState::kLeft) EndLifetime(restored.lifetime);
  if (m_current && !Supersedes(restored, m_current->report)) {
    if (restored.state == ServerState::kDraining) OnLeaving(restored.lifetime);
    return;
  }
  if (m_current && m_current->report.lifetime != restored.lifetime) {
    EndLifetime(m_current->report.lifetime);
  }
  m_current = LocalServer{restored, now_us, true};
}

void ServerRegistry::RejectLifetime(const ServerLifetime& lifetime) {
  EndLifetime(lifetime);
  if (m_current && m_current->report.lifetime == lifetime) m_current.reset();
}

bool ServerRegistry::IsReady() const {
  return m_current && m_current->report.state == ServerState::kReady;
}

}  // namespace guavatrail
