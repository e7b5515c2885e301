// The part of ControlPlane that follows the membership: the overlay, the connections to other nodes
// and the endpoints.
#include <algorithm>
#include <limits>

#include "control_plane.h"

namespace guavatrail {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxOnDemand = 16;  // Connections.

int64_t NowMs() { return EventLoop::NowUs() / 1000; }

Endpoint EndpointOf(const pb::MemberRecord& record) {
  Endpoint endpoint;
  endpoint.node = record.name();
  endpoint.incarnation = record.started_ms();
  endpoint.service = record.service();
  endpoint.region = record.region();
  endpoint.data_centre = record.data_centre();
  endpoint.ip = record.ip();
  endpoint.peer_port = static_cast<uint16_t>(record.peer_port());
  endpoint.admin_port = static_cast<uint16_t>(record.admin_port());
  endpoint.slots = static_cast<int>(record.slots());
  endpoint.draining = record.draining();
  endpoint.state = static_cast<MemberState>(record.state());
  endpoint.config_version = record.config_version();
  return endpoint;
}

static_assert(static_cast<int>(MemberState::kLeft) == pb::MEMBER_LEFT);
static_assert(static_cast<int>(MemberState::kDead) == pb::MEMBER_DEAD);
static_assert(static_cast<int>(MemberState::kSuspect) == pb::MEMBER_SUSPECT);

}  // namespace

void ControlPlane::RefreshOverlay() {
  m_overlay = Overlay(m_table.LiveNames(), static_cast<int>(m_settings.membership.rings));
  bool is_active = !m_table.IsInConflict();
  m_successors = is_active ? m_overlay.Successors(m_settings.node.name) : decltype(m_successors){};
  m_neighbours = is_active ? m_overlay.Neighbours(m_settings.node.name) : decltype(m_neighbours){};
  m_live_members.Set(static_cast<double>(m_overlay.size()));
  std::erase_if(m_peers, [this](const auto& item) {
    return std::find(m_neighbours.begin(), m_neighbours.end(), item.first) == m_neighbours.end();
  });
  // Versions are encoded by position in the order of names. The positions have changed, so a
  // neighbour may have dropped the last versions sent to it.
  for (auto& [name, peer] : m_peers) peer.versions_sent = 0;
  RefreshConnections();
  RefreshMonitored();
  RefreshEndpoints();
  if (m_joiner.HasJoined() && m_overlay.size() > 1) m_knows_members = true;
  m_delivery.OnMembershipChanged();
}

void ControlPlane::RefreshConnections() {
  auto is_successor = [this](const std::string& node) {
    return std::find(m_successors.begin(), m_successors.end(), node) != m_successors.end();
  };
  std::erase_if(m_due_connections, [&](const auto& item) { return !is_successor(item.first); });
  std::erase_if(m_connected_lifetimes, [&](const auto& item) {
    const pb::MemberRecord* record = m_table.Find(item.first);
    bool is_live = record != nullptr && IsLive(*record);
    if (is_live && (is_successor(item.first) || m_on_demand.count(item.first) != 0)) return false;
    m_on_demand.erase(item.first);
    m_transport.Disconnect(item.first);
    return true;
  });
  for (const std::string& node : m_successors) {
    m_on_demand.erase(node);
    const pb::MemberRecord* record = m_table.Find(node);
    auto known = m_connected_lifetimes.find(node);
    bool is_current = known != m_connected_lifetimes.end() &&
                      known->second == record->started_ms() && m_transport.IsConnected(node);
    if (!is_current) ScheduleConnection(node, m_settings.membership.heartbeat_ms / 10, true);
  }
}

void ControlPlane::RefreshMonitored() {
  std::vector<MonitoredNode> monitored;
  for (const std::string& node : m_successors) {
    monitored.push_back(
        {node, m_table.Find(node)->incarnation(), m_overlay.Predecessors(node).size()});
  }
  m_detector.SetMonitored(monitored, NowMs());
}

void ControlPlane::RefreshEndpoints() {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(m_table.size());
  m_table.ForEach([&](const pb::MemberRecord& record) { endpoints.push_back(EndpointOf(record)); });
  m_endpoints = std::make_shared<const EndpointList>(std::move(endpoints));
  m_endpoints_clock = m_table.version_clock();
}

void ControlPlane::ScheduleConnection(const std::string& node, int64_t within_ms, bool replace) {
  if (m_due_connections.count(node) != 0) return;
  int64_t delay_ms = static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(within_ms + 1)));
  m_due_connections[node] = {NowMs() + delay_ms, replace};
  if (!m_open_timer.IsPending()) m_open_timer.Start(milliseconds(delay_ms));
}

void ControlPlane::OpenDueConnections() {
  int64_t now_ms = NowMs();
  int64_t next_ms = std::numeric_limits<int64_t>::max();
  std::erase_if(m_due_connections, [&](const auto& item) {
    const auto& [node, due] = item;
    if (due.due_ms > now_ms) {
      next_ms = std::min(next_ms, due.due_ms);
      return false;
    }
    const pb::MemberRecord* record = m_table.Find(node);
    if (record == nullptr) return true;
    if (due.replace) m_transport.Disconnect(node);
    m_transport.Connect(node, ControlAddressOf(*record));
    m_connected_lifetimes[node] = record->started_ms();
    SendHeartbeat(node);
    return true;
  });
  if (!m_due_connections.empty()) m_open_timer.Start(milliseconds(next_ms - now_ms));
}

// Connects to an unconnected member. Unless it is a successor, the connection is closed when idle.
bool ControlPlane::OpenOnDemand(std::string_view node) {
  const pb::MemberRecord* record = m_table.Find(node);
  bool is_usable = record != nullptr && IsLive(*record) && node != m_settings.node.name;
  if (!is_usable || m_transport.IsConnected(node)) return false;
  bool is_successor =
      std::find(m_successors.begin(), m_successors.end(), node) != m_successors.end();
  if (!is_successor) {
    if (m_on_demand.size() >= kMaxOnDemand && m_on_demand.count(node) == 0) return false;
    m_on_demand[std::string(node)] = NowMs();
  }
  m_connected_lifetimes[std::string(node)] = record->started_ms();
  m_transport.Connect(node, ControlAddressOf(*record));
  return true;
}

}  // namespace guavatrail
