#include "control_plane.h"

#include <glog/logging.h>

#include <algorithm>
#include <limits>

#include "seed_list.h"

namespace guavatrail {

namespace {

using std::chrono::milliseconds;

// Changed records are collected for a random time below this and flooded in one message.
constexpr int64_t kUpdateDelayMs = 20;
// Limits a member_news message to about 12 KB, so that it does not delay heartbeats.
constexpr size_t kMaxRecordsPerUpdate = 100;
// Under many changes, the overlay and the endpoint list are rebuilt only once in this time.
constexpr int64_t kRefreshDelayMs = 20;
// A node that has not joined after this time counts as the only one of its mesh.
constexpr int64_t kJoinWaitMs = 3000;
// Longest wait for the neighbours to acknowledge a leave.
constexpr int64_t kLeaveMs = 500;
// The connection to a peer is replaced when a request to it is unanswered for this long. Heartbeats
// detect silent connections to successors only, and too late for the time within which a note must
// be in force.
constexpr int64_t kReplyTimeoutMs = 1000;
constexpr int64_t kOnDemandIdleMs = 10'000;
// A connection to a contact is closed after this time.
constexpr int64_t kContactMs = 2000;
constexpr int64_t kProbeConflictMs = 5000;
constexpr int kLogPeriodS = 10;

int64_t NowMs() { return EventLoop::NowUs() / 1000; }

pb::MemberRecord OwnRecord(const Settings& settings) {
  pb::MemberRecord record;
  record.set_name(settings.node.name);
  record.set_started_ms(static_cast<uint64_t>(EventLoop::WallMs()));
  record.set_incarnation(record.started_ms());
  record.set_service(settings.node.service);
  record.set_region(settings.node.region);
  record.set_data_centre(settings.node.data_centre);
  record.set_ip(AdvertisedIp(settings));
  record.set_caller_port(static_cast<uint32_t>(settings.listen.caller_port));
  record.set_peer_port(static_cast<uint32_t>(settings.listen.peer_port));
  record.set_control_port(static_cast<uint32_t>(settings.listen.control_port));
  record.set_admin_port(static_cast<uint32_t>(settings.listen.admin_port));
  record.set_slots(static_cast<uint32_t>(settings.server.slots));
  return record;
}

// Whether a peer answers the message at once, so that a missing answer shows a silent connection.
bool IsRequest(const pb::ControlMessage& message) {
  return message.has_notes_request() || message.has_version_promise() || message.has_floor_query();
}

TransportOptions TransportOptionsOf(const Settings& settings) {
  return {settings.node.name,
          settings.listen.ip,
          static_cast<uint16_t>(settings.listen.control_port),
          settings.control.public_key,
          settings.control.secret_key,
          BudgetOf(settings).service};
}

DetectorOptions DetectorOptionsOf(const Settings& settings) {
  return {settings.node.name, settings.membership.heartbeat_ms,
          settings.membership.missed_heartbeats, settings.membership.suspicion_ms};
}

JoinOptions JoinOptionsOf(const Settings& settings) {
  return {AdvertisedIp(settings) + ":" + std::to_string(settings.listen.control_port),
          settings.node.data_centre, settings.membership.seeds};
}

}  // namespace

ControlPlane::ControlPlane(EventLoop& loop, const Settings& settings, PlatformClient& platform,
                           Metrics& metrics, RandomSource& random)
    : m_settings(settings),
      m_random(random),
      m_table(OwnRecord(settings)),
      m_detector(DetectorOptionsOf(settings)),
      m_replies(kReplyTimeoutMs),
      m_transport(loop, TransportOptionsOf(settings), metrics),
      m_delivery(loop, settings, m_table.self().started_ms(), platform, metrics, random,
                 MakeDeliveryCallbacks()),
      m_joiner(loop, JoinOptionsOf(settings), platform, random, MakeJoinCallbacks()),
      m_invalid_records(metrics.GetCounter("control_invalid_records_total")),
      m_exchanges(metrics.GetCounter("control_member_exchanges_total")),
      m_suspicions(metrics.GetCounter("control_suspicions_total")),
      m_deaths(metrics.GetCounter("control_deaths_total")),
      m_live_members(metrics.GetGauge("control_live_members")),
      m_heartbeat_timer(loop, [this] { Heartbeat(); }),
      m_tick_timer(loop, [this] { Tick(); }),
      m_update_timer(loop, [this] { SendMemberUpdates(); }),
      m_refresh_timer(loop, [this] { RefreshOverlay(); }),
      m_open_timer(loop, [this] { OpenDueConnections(); }),
      m_join_timer(loop, [this] { m_knows_members = true; }),
      m_leave_timer(loop, [this] {
        // The handler may destroy this object.
        std::function<void()> left = std::move(m_on_left);
        if (left) left();
      }) {
  m_transport.SetHandler([this](std::string_view from, const pb::ControlMessage& message) {
    OnMessage(from, message);
  });
}

ControlPlane::~ControlPlane() = default;

tl::expected<void, ControlError> ControlPlane::Start() {
  if (!IsValidRecord(m_table.self())) {
    return tl::make_unexpected(ControlError{
        "the node and listen settings do not form a valid member record; listen.ip must be an IPv4 "
        "address"});
  }
  if (auto done = m_transport.Listen(); !done) {
    return tl::make_unexpected(ControlError{done.error().message});
  }
  RefreshOverlay();
  m_delivery.Start();
  m_joiner.Start();
  m_join_timer.Start(milliseconds(kJoinWaitMs));
  // Random phases keep nodes that start together from sending heartbeats at the same time.
  m_heartbeat_timer.Start(
      milliseconds(m_random.Below(static_cast<uint64_t>(m_settings.membership.heartbeat_ms))));
  m_tick_timer.Start(
      milliseconds(m_random.Below(static_cast<uint64_t>(m_settings.membership.heartbeat_ms))));
  return {};
}

void ControlPlane::SetDraining(bool draining) {
  m_table.SetSelfDraining(draining);
  ScheduleMemberUpdates();
}

void ControlPlane::Leave(std::function<void()> done) {
  m_on_left = std::move(done);
  if (m_is_leaving) return;
  m_is_leaving = true;
  m_joiner.Stop();
  // Right after a join m_neighbours may not have been computed yet.
  if (!m_table.IsInConflict()) {
    m_neighbours = Overlay(m_table.LiveNames(), static_cast<int>(m_settings.membership.rings))
                       .Neighbours(m_settings.node.name);
  }
  m_table.LeaveSelf(NowMs());
  m_heartbeat_timer.Cancel();
  m_tick_timer.Cancel();
  m_refresh_timer.Cancel();
  m_open_timer.Cancel();
  // Messages to one node arrive in order, so an acknowledged heartbeat confirms that the record
  // sent before it has arrived.
  m_unacknowledged.insert(m_neighbours.begin(), m_neighbours.end());
  for (const std::string& node : m_neighbours) {
    SendRecord(node, m_settings.node.name);
    SendHeartbeat(node);
  }
  m_leave_timer.Start(milliseconds(m_unacknowledged.empty() ? 0 : kLeaveMs));
}

MeshView ControlPlane::view() {
  return {[this]() -> std::shared_ptr<const ConfigTable> {
            return m_table.IsInConflict() ? nullptr : m_delivery.table();
          },
          [this] { return m_endpoints; }};
}

std::vector<pb::MemberRecord> ControlPlane::Members() const { return m_table.ExportAll(NowMs()); }

int64_t ControlPlane::Jittered(int64_t ms) {
  return ms * 9 / 10 + static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(ms / 5 + 1)));
}

void ControlPlane::Heartbeat() {
  m_heartbeat_timer.Start(milliseconds(Jittered(m_settings.membership.heartbeat_ms)));
  if (m_table.IsInConflict()) return;
  for (const std::string& node : m_successors) SendHeartbeat(node);
}

void ControlPlane::SendHeartbeat(const std::string& node) {
  pb::ControlMessage message;
  pb::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_sequence(++m_sequence);
  heartbeat.set_incarnation(m_table.self().incarnation());
  heartbeat.set_config_version(m_table.self().config_version());
  heartbeat.set_member_digest(m_table.Digest());
  heartbeat.set_head_age_ms(static_cast<uint32_t>(
      std::clamp<int64_t>(m_delivery.HeadAgeMs(), 0, std::numeric_limits<uint32_t>::max())));
  m_transport.Send(node, message);
}

void ControlPlane::Tick() {
  m_tick_timer.Start(milliseconds(Jittered(m_settings.membership.heartbeat_ms / 2)));
  m_table.RemoveExpired(NowMs());
  CloseIdle();
  if (m_table.IsInConflict()) {
    ProbeConflict();
    return;
  }
  DetectFailures();
  SendVersions();
  if (m_endpoints_clock != m_table.version_clock()) RefreshEndpoints();
}

void ControlPlane::DetectFailures() {
  DetectorDecisions decisions = m_detector.Tick(NowMs());
  for (const std::string& node : decisions.silent) {
    // The random delay spreads reconnections when a whole group of nodes becomes reachable at once.
    ScheduleConnection(node, m_settings.membership.heartbeat_ms / 2, true);
  }
  for (const NodeIncarnation& node : decisions.suspected) ReportSuspicion(node);
  for (const NodeIncarnation& node : decisions.dead) {
    if (!m_table.DeclareState(node.name, node.incarnation, pb::MEMBER_DEAD, NowMs())) continue;
    m_deaths.Add();
    LOG(WARNING) << "event=node_dead node=" << node.name << " incarnation=" << node.incarnation;
  }
  ScheduleMemberUpdates();
}

void ControlPlane::ReportSuspicion(const NodeIncarnation& node) {
  m_suspicions.Add();
  m_table.DeclareState(node.name, node.incarnation, pb::MEMBER_SUSPECT, NowMs());
  auto record = m_table.Export(node.name, NowMs());
  if (!record || record->state() != pb::MEMBER_SUSPECT) return;
  LOG(INFO) << "event=node_suspected node=" << node.name << " incarnation=" << node.incarnation;
  pb::ControlMessage message;
  *message.mutable_member_news()->add_members() = *record;
  message.mutable_member_news()->set_suspected_by(m_settings.node.name);
  SendToNeighbours(message, "");
  // The node may still be reachable over another connection than the silent one.
  SendTo(node.name, message);
}

void ControlPlane::CloseIdle() {
  int64_t now_ms = NowMs();
  std::erase_if(m_on_demand, [&](const auto& item) {
    if (now_ms - item.second < kOnDemandIdleMs) return false;
    m_transport.Disconnect(item.first);
    return true;
  });
  std::erase_if(m_contacts, [&](const auto& item) {
    if (now_ms - item.second < kContactMs) return false;
    m_transport.Disconnect(item.first);
    return true;
  });
}

// Requests the member table of a random member, which shows whether the other process with this
// node's name is still alive.
void ControlPlane::ProbeConflict() {
  LOG_EVERY_T(ERROR, kLogPeriodS)
      << "event=name_conflict node=" << m_settings.node.name
      << " detail=\"another live process has this name and a higher incarnation; refusing work\"";
  if (NowMs() < m_next_probe_ms) return;
  m_next_probe_ms = NowMs() + Jittered(kProbeConflictMs);
  std::vector<std::string> names = m_table.LiveNames();
  std::erase(names, m_settings.node.name);
  if (names.empty()) return;
  Contact(ControlAddressOf(*m_table.Find(names[m_random.Below(names.size())])));
}

void ControlPlane::ScheduleMemberUpdates() {
  if (!m_update_timer.IsPending()) {
    m_update_timer.Start(milliseconds(m_random.Below(kUpdateDelayMs)));
  }
}

// Floods changed records to the neighbours. The flood ends by itself, since a record changes at a
// node only once for each incarnation and state.
void ControlPlane::SendMemberUpdates() {
  std::vector<std::string> changed = m_table.TakeChanged();
  if (changed.empty()) return;
  for (const std::string& name : changed) {
    const pb::MemberRecord* record = m_table.Find(name);
    if (record != nullptr && record->state() != pb::MEMBER_SUSPECT) m_detector.ClearSuspicion(name);
  }
  for (const std::string& node : m_neighbours) {
    pb::ControlMessage message;
    for (const std::string& name : changed) {
      auto record = m_table.Export(name, NowMs());
      auto source = m_update_sources.find(name);
      bool is_source = source != m_update_sources.end() && source->second == node;
      // A monitor's suspicion is flooded as a report; one from a table exchange is sent here.
      bool is_reported =
          record && record->state() == pb::MEMBER_SUSPECT && m_detector.HasSuspicion(name);
      if (!record || is_source || is_reported) continue;
      *message.mutable_member_news()->add_members() = std::move(*record);
      if (message.member_news().members_size() < static_cast<int>(kMaxRecordsPerUpdate)) continue;
      m_transport.Send(node, message);
      message.Clear();
    }
    if (message.has_member_news()) m_transport.Send(node, message);
  }
  m_update_sources.clear();
  if (!m_is_leaving && !m_refresh_timer.IsPending()) {
    m_refresh_timer.Start(milliseconds(kRefreshDelayMs));
  }
}

void ControlPlane::Contact(const std::string& address) {
  if (address == ControlAddressOf(m_table.self()) || m_is_leaving) return;
  m_transport.ConnectContact(address);
  m_contacts[address] = NowMs();
  pb::ControlMessage message;
  *message.mutable_join_request()->mutable_self() = m_table.self();
  m_transport.Send(address, message);
}

AddressState ControlPlane::AddressStateOf(const std::string& address) const {
  AddressState state = AddressState::kUnknown;
  m_table.ForEach([&](const pb::MemberRecord& record) {
    if (ControlAddressOf(record) != address || state == AddressState::kLive) return;
    state = IsLive(record) ? AddressState::kLive : AddressState::kGone;
  });
  return state;
}

bool ControlPlane::ShouldBeSeed() const {
  if (m_table.IsInConflict() || m_is_leaving || m_table.self().draining()) return false;
  std::vector<std::string> names;
  m_table.ForEach([&](const pb::MemberRecord& record) {
    bool is_here = record.data_centre() == m_settings.node.data_centre;
    if (IsLive(record) && is_here) names.push_back(record.name());
  });
  std::vector<std::string> top =
      RendezvousTop(SeedKey(m_settings.node.data_centre), std::move(names), kMaxSeeds);
  return std::find(top.begin(), top.end(), m_settings.node.name) != top.end();
}

bool ControlPlane::SendTo(std::string_view node, const pb::ControlMessage& message) {
  auto used = m_on_demand.find(node);
  if (used != m_on_demand.end()) used->second = NowMs();
  if (m_replies.IsTimedOut(node, NowMs())) {
    m_replies.Reset(node);
    LOG(INFO) << "event=silent_connection_replaced node=" << node;
    m_transport.Disconnect(node);
    OpenOnDemand(node);
  }
  if (IsRequest(message)) m_replies.OnSent(node, NowMs());
  if (m_transport.Send(node, message)) return true;
  return OpenOnDemand(node) && m_transport.Send(node, message);
}

void ControlPlane::SendToNeighbours(const pb::ControlMessage& message, std::string_view except) {
  for (const std::string& node : m_neighbours) {
    if (node != except) m_transport.Send(node, message);
  }
}

DeliveryCallbacks ControlPlane::MakeDeliveryCallbacks() {
  DeliveryCallbacks callbacks;
  callbacks.send = [this](std::string_view node, const pb::ControlMessage& message) {
    SendTo(node, message);
  };
  callbacks.neighbours = [this] { return m_neighbours; };
  callbacks.members = [this] {
    std::vector<pb::MemberRecord> members = Members();
    std::erase_if(members,
                  [this](const auto& record) { return record.name() == m_settings.node.name; });
    return members;
  };
  callbacks.on_version_in_force = [this](uint64_t version) { m_table.SetSelfVersion(version); };
  return callbacks;
}

JoinCallbacks ControlPlane::MakeJoinCallbacks() {
  return {[this](const std::string& address) { Contact(address); },
          [this](const std::string& address) { return AddressStateOf(address); },
          [this] { return m_overlay.size(); }, [this] { return ShouldBeSeed(); }};
}

}  // namespace guavatrail
