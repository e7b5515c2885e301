#include "server_registry.h"

namespace guavatrail {

namespace {

// Lifetimes that are over and may still be named by late reports.
constexpr size_t kMaxOver = 64;

// Whether `report` says more of the server at the address than `known`.
bool IsNewer(const ServerReport& report, const ServerReport& known) {
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

bool ServerRegistry::IsOver(const ServerLifetime& lifetime) const {
  return m_over.contains(lifetime);
}

void ServerRegistry::End(const ServerLifetime& lifetime) {
  m_over.insert(lifetime);
  if (m_over.size() > kMaxOver) m_over.erase(m_over.begin());
}

ReportOutcome ServerRegistry::OnReport(const ServerReport& report, int64_t now_us) {
  if (report.service != m_service || report.address != m_address) return ReportOutcome::kForeign;
  if (IsOver(report.lifetime)) return ReportOutcome::kStale;
  if (m_left_ids.erase(report.lifetime.id) > 0 && !m_current) {
    // The leave overtook this report, or came before this node knew the server.
    End(report.lifetime);
    return ReportOutcome::kStale;
  }
  if (m_current && m_current->report.lifetime == report.lifetime) {
    ServerReport& known = m_current->report;
    if (report.sequence <= known.sequence) return ReportOutcome::kStale;
    bool is_changed = report.state != known.state || report.slots != known.slots;
    known = report;
    m_current->reported_us = now_us;
    m_current->is_restored = false;
    return is_changed ? ReportOutcome::kChanged : ReportOutcome::kRefreshed;
  }
  if (m_current) {
    const ServerLifetime& known = m_current->report.lifetime;
    // A report of an earlier server at the same address may arrive after that of its successor.
    if (report.lifetime.started_ms < known.started_ms) return ReportOutcome::kStale;
    End(known);
  }
  m_current = LocalServer{report, now_us, false};
  return ReportOutcome::kChanged;
}

ReportOutcome ServerRegistry::OnLeave(std::string_view id, std::optional<int64_t> started_ms) {
  if (!m_current || m_current->report.lifetime.id != id) {
    if (started_ms) {
      End({std::string(id), *started_ms});
    } else if (!m_current && m_left_ids.size() < kMaxOver) {
      m_left_ids.emplace(id);
    }
    return ReportOutcome::kStale;
  }
  ServerReport& known = m_current->report;
  if (started_ms && *started_ms != known.lifetime.started_ms) {
    End({std::string(id), *started_ms});
    return ReportOutcome::kStale;
  }
  End(known.lifetime);
  bool is_changed = known.state != ServerState::kLeft;
  known.state = ServerState::kLeft;
  return is_changed ? ReportOutcome::kChanged : ReportOutcome::kRefreshed;
}

// Reports and leaves may come before the stored report has been read; none of them may be undone by
// it, and a late one among them must not undo it.
void ServerRegistry::Restore(const ServerReport& report, int64_t now_us) {
  ServerReport restored = report;
  bool has_left = m_left_ids.erase(restored.lifetime.id) > 0 || IsOver(restored.lifetime);
  if (has_left) restored.state = ServerState::kLeft;
  if (restored.state == ServerState::kLeft) End(restored.lifetime);
  if (m_current && !IsNewer(restored, m_current->report)) return;
  if (m_current && m_current->report.lifetime != restored.lifetime) {
    End(m_current->report.lifetime);
  }
  m_current = LocalServer{restored, now_us, true};
}

void ServerRegistry::RejectLifetime(const ServerLifetime& lifetime) {
  End(lifetime);
  if (m_current && m_current->report.lifetime == lifetime) m_current.reset();
}

bool ServerRegistry::IsReady() const {
  return m_current && m_current->report.state == ServerState::kReady;
}

}  // namespace guavatrail
