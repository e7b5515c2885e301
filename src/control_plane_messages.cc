// Message handlers of ControlPlane and the propagation of configuration versions.
#include <glog/logging.h>

#include <algorithm>
#include <limits>
#include <set>

#include "control_plane.h"

namespace guavatrail {

namespace {

// The digests of two neighbours differ briefly whenever an update is in flight, so tables are
// exchanged only when this many consecutive heartbeats differ.
constexpr int kDifferingHeartbeats = 2;
// All versions are sent to each neighbour once in about this many ticks, to repair lost messages.
constexpr uint64_t kFullVersionsTicks = 60;
constexpr int kLogPeriodS = 10;

int64_t NowMs() { return EventLoop::NowUs() / 1000; }

}  // namespace

void ControlPlane::OnMessage(Sender from, const pb::ControlMessage& message) {
  bool is_answer =
      message.has_notes_reply() || message.has_promise_ack() || message.has_floor_reply();
  // Other messages may arrive over a different connection than the one that carries the requests.
  if (is_answer) m_replies.OnReply(from);
  // A node that is leaving or in a name conflict handles membership messages only.
  bool is_active = !m_is_leaving && !m_table.IsInConflict();
  switch (message.body_case()) {
    case pb::ControlMessage::kHeartbeat:
      if (!m_table.IsInConflict()) OnHeartbeat(from, message.heartbeat());
      break;
    case pb::ControlMessage::kHeartbeatAck:
      OnHeartbeatAck(from, message.heartbeat_ack());
      break;
    case pb::ControlMessage::kJoinRequest:
      if (is_active) OnJoinRequest(from, message.join_request());
      break;
    case pb::ControlMessage::kMemberTable:
      OnMemberTable(from, message.member_table());
      break;
    case pb::ControlMessage::kMemberNews:
      OnMemberNews(from, message.member_news());
      break;
    case pb::ControlMessage::kMemberDigests:
      if (is_active) OnMemberDigests(from, message.member_digests());
      break;
    case pb::ControlMessage::kMemberVersions:
      m_table.MergeVersions(message.member_versions());
      break;
    default:
      if (is_active) m_delivery.OnMessage(from, message);
  }
}

void ControlPlane::OnHeartbeat(Sender from, const pb::Heartbeat& heartbeat) {
  pb::ControlMessage message;
  pb::HeartbeatAck& ack = *message.mutable_heartbeat_ack();
  ack.set_sequence(heartbeat.sequence());
  ack.set_incarnation(m_table.self().incarnation());
  ack.set_config_version(m_table.self().config_version());
  ack.set_member_digest(m_table.Digest());
  ack.set_head_age_ms(static_cast<uint32_t>(
      std::clamp<int64_t>(m_delivery.HeadAgeMs(), 0, std::numeric_limits<uint32_t>::max())));
  m_transport.Send(from, message);
  if (m_is_leaving) return;
  OnPeerState(from, heartbeat.incarnation(), heartbeat.config_version(), heartbeat.member_digest(),
              heartbeat.head_age_ms());
}

void ControlPlane::OnHeartbeatAck(Sender from, const pb::HeartbeatAck& ack) {
  if (m_is_leaving) {
    auto waiting = m_unacknowledged.find(from);
    if (waiting != m_unacknowledged.end()) m_unacknowledged.erase(waiting);
    if (m_unacknowledged.empty() && m_on_left) m_leave_timer.Start(std::chrono::milliseconds(0));
    return;
  }
  if (m_table.IsInConflict()) return;
  m_detector.OnHeartbeat(from, ack.incarnation(), NowMs());
  OnPeerState(from, ack.incarnation(), ack.config_version(), ack.member_digest(),
              ack.head_age_ms());
}

void ControlPlane::OnPeerState(Sender from, uint64_t incarnation, uint64_t version, uint64_t digest,
                               int64_t head_age_ms) {
  const pb::MemberRecord* record = m_table.Find(from);
  if (record != nullptr && record->incarnation() >= incarnation) {
    bool is_current = record->incarnation() == incarnation;
    if (is_current) m_table.RaiseVersion(from, version);
    // The peer must learn that it is suspected or declared dead, so that it can refute this, or
    // that another process has taken over its name.
    if (!is_current || record->state() != pb::MEMBER_ALIVE) SendRecord(from, from);
  }
  m_delivery.OnNeighbourState(from, version, head_age_ms);
  auto found = m_peers.find(from);
  if (found == m_peers.end()) found = m_peers.emplace(std::string(from), Peer{}).first;
  Peer& peer = found->second;
  peer.has_same_digest = digest == m_table.Digest();
  if (peer.has_same_digest) {
    peer.differing_heartbeats = 0;
    return;
  }
  peer.versions_sent = 0;
  bool is_due = NowMs() - m_last_exchange_ms >= m_settings.membership.heartbeat_ms;
  if (++peer.differing_heartbeats < kDifferingHeartbeats || !is_due) return;
  peer.differing_heartbeats = 0;
  m_last_exchange_ms = NowMs();
  m_exchanges.Add();
  pb::ControlMessage message;
  const BucketDigests& buckets = m_table.Buckets();
  message.mutable_member_digests()->mutable_buckets()->Add(buckets.begin(), buckets.end());
  m_transport.Send(from, message);
}

void ControlPlane::SendRecord(std::string_view node, std::string_view about) {
  auto record = m_table.Export(about, NowMs());
  if (!record) return;
  pb::ControlMessage message;
  *message.mutable_member_news()->add_members() = std::move(*record);
  SendTo(node, message);
}

void ControlPlane::SendVersions() {
  for (const std::string& node : m_neighbours) {
    Peer& peer = m_peers[node];
    if (m_random.Below(kFullVersionsTicks) == 0) peer.versions_sent = 0;
    if (peer.has_same_digest && peer.versions_sent != m_table.version_clock()) {
      SendVersions(node, peer);
    }
  }
}

void ControlPlane::SendVersions(const std::string& node, Peer& peer) {
  pb::ControlMessage message;
  *message.mutable_member_versions() = m_table.VersionsSince(peer.versions_sent);
  bool has_changes = message.member_versions().groups_size() > 0;
  if (!has_changes || m_transport.Send(node, message)) peer.versions_sent = m_table.version_clock();
}

void ControlPlane::OnJoinRequest(Sender from, const pb::JoinRequest& request) {
  if (request.self().name() != from) return;
  // No answer can be addressed to another process with this node's own name. Merging its request
  // still shows which of the two has the higher incarnation.
  Merge(from, request.self());
  ScheduleMemberUpdates();
  pb::ControlMessage message;
  for (pb::MemberRecord& record : m_table.ExportAll(NowMs())) {
    *message.mutable_member_table()->add_members() = std::move(record);
  }
  m_transport.Send(from, message);
}

void ControlPlane::OnMemberTable(Sender from, const pb::MemberTable& table) {
  bool is_first = !m_joiner.HasJoined() && table.buckets().empty();
  for (const pb::MemberRecord& record : table.members()) {
    OnMerged(from, record, m_table.MergeFromExchange(record, NowMs()));
  }
  const pb::MemberRecord* sender = m_table.Find(from);
  if (sender != nullptr) {
    std::string address = ControlAddressOf(*sender);
    if (m_contacts.erase(address) != 0) m_transport.Disconnect(address);
  }
  if (is_first) {
    m_joiner.OnMemberTable();
    LOG(INFO) << "event=joined contact=" << from << " members=" << table.members_size();
    // The other members know these records. Only the own record may be new to them, when it refutes
    // an earlier one.
    std::vector<std::string> changed = m_table.TakeChanged();
    m_table.MarkChanged(m_settings.node.name);
  }
  ScheduleMemberUpdates();
  if (!table.reply_wanted()) return;
  std::set<uint32_t> buckets(table.buckets().begin(), table.buckets().end());
  std::map<std::string_view, const pb::MemberRecord*> received;
  for (const pb::MemberRecord& record : table.members()) received[record.name()] = &record;
  pb::ControlMessage reply;
  for (pb::MemberRecord& record : m_table.ExportBuckets(buckets, NowMs())) {
    auto found = received.find(record.name());
    if (found != received.end() && HasSameState(*found->second, record)) continue;
    *reply.mutable_member_table()->add_members() = std::move(record);
  }
  if (reply.member_table().members().empty()) return;
  reply.mutable_member_table()->mutable_buckets()->CopyFrom(table.buckets());
  SendTo(from, reply);
}

void ControlPlane::OnMemberDigests(Sender from, const pb::MemberDigests& digests) {
  if (digests.buckets_size() != static_cast<int>(kMemberBuckets)) return;
  pb::ControlMessage message;
  pb::MemberTable& table = *message.mutable_member_table();
  std::set<uint32_t> differing;
  for (uint32_t i = 0; i < kMemberBuckets; ++i) {
    if (digests.buckets(static_cast<int>(i)) != m_table.Buckets()[i]) differing.insert(i);
  }
  if (differing.empty()) return;
  table.mutable_buckets()->Add(differing.begin(), differing.end());
  table.set_reply_wanted(true);
  for (pb::MemberRecord& record : m_table.ExportBuckets(differing, NowMs())) {
    *table.add_members() = std::move(record);
  }
  m_transport.Send(from, message);
}

void ControlPlane::OnMemberNews(Sender from, const pb::MemberNews& news) {
  for (const pb::MemberRecord& record : news.members()) {
    Merge(from, record);
    if (!news.suspected_by().empty()) OnSuspicionReport(from, record, news.suspected_by());
  }
  ScheduleMemberUpdates();
}

void ControlPlane::OnSuspicionReport(Sender from, const pb::MemberRecord& record,
                                     const std::string& reporter) {
  const pb::MemberRecord* known = m_table.Find(record.name());
  bool is_open = known != nullptr && known->state() == pb::MEMBER_SUSPECT &&
                 known->incarnation() == record.incarnation();
  if (!is_open) return;
  if (!m_detector.OnSuspicion({record.name(), record.incarnation()}, reporter, NowMs())) return;
  pb::ControlMessage message;
  *message.mutable_member_news()->add_members() = record;
  message.mutable_member_news()->set_suspected_by(reporter);
  SendToNeighbours(message, from);
}

void ControlPlane::Merge(Sender from, const pb::MemberRecord& record) {
  OnMerged(from, record, m_table.Merge(record, NowMs()));
}

void ControlPlane::OnMerged(Sender from, const pb::MemberRecord& record, MergeResult result) {
  switch (result) {
    case MergeResult::kInvalid: {
      m_invalid_records.Add();
      LOG_EVERY_T(WARNING, kLogPeriodS)
          << "event=invalid_record from=" << from << " name=\"" << record.name() << '"';
      break;
    }
    case MergeResult::kChanged:
      m_update_sources[record.name()] = from;
      break;
    case MergeResult::kRefuted:
      LOG(WARNING) << "event=refuted from=" << from
                   << " incarnation=" << m_table.self().incarnation();
      SendRecord(from, m_settings.node.name);
      break;
    case MergeResult::kConflict:
      LOG(ERROR) << "event=name_conflict node=" << record.name() << " other=" << record.ip() << ':'
                 << record.control_port() << " other_incarnation=" << record.incarnation();
      break;
    case MergeResult::kUnchanged:
    case MergeResult::kVersionOnly:
      break;
  }
}

}  // namespace guavatrail
