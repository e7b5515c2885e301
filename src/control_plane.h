// Defines ControlPlane, which combines transport, membership, failure detection, overlay and
// delivery into one node's part of the mesh.
//
// Staleness of the configuration versions in member records: each node sends changed versions to
// its overlay neighbours every half heartbeat period (at most 0.55 periods with jitter). While no
// message is lost and the member tables agree, a change therefore reaches all nodes within diameter
// x 0.55 heartbeat periods: 2.75 s at 550 nodes, where the diameter is 5. A lost message is
// repaired by the next full update to that neighbour, after 30 heartbeat periods on average.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "control_transport.h"
#include "delivery_agent.h"
#include "event_loop.h"
#include "failure_detector.h"
#include "joiner.h"
#include "member_table.h"
#include "mesh_view.h"
#include "metrics.h"
#include "overlay.h"
#include "platform_client.h"
#include "random_source.h"
#include "reply_timeout_tracker.h"
#include "settings.h"

namespace guavatrail {

struct ControlError {
  std::string message;
};

class ControlPlane {
 public:
  // All arguments must outlive the control plane.
  ControlPlane(EventLoop& loop, const Settings& settings, PlatformClient& platform,
               Metrics& metrics, RandomSource& random);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  // Commands.
  // Fails when the control port cannot be opened or the settings do not form a valid member record.
  tl::expected<void, ControlError> Start();
  void SetDraining(bool draining);
  // Announces that the node leaves, and stops participating in the mesh. Calls `done` from the loop
  // once the neighbours have acknowledged the announcement, after 500 ms at the latest.
  void Leave(std::function<void()> done);

  // Queries.
  // The table is null while the version guard does not allow serving, and while another process
  // holds this node's name. The view must not outlive the control plane.
  MeshView view();
  // All known records, this node's included.
  std::vector<pb::MemberRecord> Members() const;
  // Start time of this process in ms since the epoch; constant, and equal to Endpoint::incarnation
  // of this node. The incarnation in the member record starts at this value and is raised by
  // refutations.
  uint64_t incarnation() const { return m_table.self().started_ms(); }
  bool IsInConflict() const { return m_table.IsInConflict(); }
  // Whether the endpoints of the mesh are known. Stays true once it is.
  bool KnowsMembers() const { return m_knows_members; }
  const DeliveryAgent& delivery() const { return m_delivery; }

 private:
  // State of a peer as reported by its heartbeats.
  struct Peer {
    bool has_same_digest = false;
    int differing_heartbeats = 0;  // Consecutive heartbeats with another member digest.
    uint64_t versions_sent = 0;    // Version clock at the last versions sent to the peer.
  };
  using Sender = std::string_view;

  // Messages.
  void OnMessage(Sender from, const pb::ControlMessage& message);
  void OnHeartbeat(Sender from, const pb::Heartbeat& heartbeat);
  void OnHeartbeatAck(Sender from, const pb::HeartbeatAck& ack);
  void OnPeerState(Sender from, uint64_t incarnation, uint64_t version, uint64_t digest,
                   int64_t head_age_ms);
  void OnJoinRequest(Sender from, const pb::JoinRequest& request);
  void OnMemberTable(Sender from, const pb::MemberTable& table);
  void OnMemberNews(Sender from, const pb::MemberNews& news);
  void OnMemberDigests(Sender from, const pb::MemberDigests& digests);
  void Merge(Sender from, const pb::MemberRecord& record);
  void OnMerged(Sender from, const pb::MemberRecord& record, MergeResult result);
  void OnSuspicionReport(Sender from, const pb::MemberRecord& record, const std::string& reporter);
  bool SendTo(std::string_view node, const pb::ControlMessage& message);
  bool OpenOnDemand(std::string_view node);
  void SendToNeighbours(const pb::ControlMessage& message, std::string_view except);
  void SendRecord(std::string_view node, std::string_view about);

  // Timers.
  void Heartbeat();
  void SendHeartbeat(const std::string& node);
  void Tick();
  void DetectFailures();
  void ReportSuspicion(const NodeIncarnation& node);
  void SendVersions();
  void SendVersions(const std::string& node, Peer& peer);
  void CloseIdle();
  void ProbeConflict();
  void SendMemberUpdates();
  void RefreshOverlay();
  void RefreshConnections();
  void RefreshMonitored();
  void RefreshEndpoints();
  void OpenDueConnections();
  void ScheduleConnection(const std::string& node, int64_t within_ms, bool replace);
  void ScheduleMemberUpdates();

  void Contact(const std::string& address);
  AddressState AddressStateOf(const std::string& address) const;
  bool ShouldBeSeed() const;
  DeliveryCallbacks MakeDeliveryCallbacks();
  JoinCallbacks MakeJoinCallbacks();
  int64_t Jittered(int64_t ms);

  const Settings& m_settings;
  RandomSource& m_random;
  MemberTable m_table;
  FailureDetector m_detector;
  ReplyTimeoutTracker m_replies;
  Overlay m_overlay;
  ControlTransport m_transport;
  DeliveryAgent m_delivery;
  Joiner m_joiner;

  std::vector<std::string> m_successors;
  std::vector<std::string> m_neighbours;
  std::map<std::string, Peer, std::less<>> m_peers;
  // Lifetime (started_ms) of each node at the time when its connection was opened.
  std::map<std::string, uint64_t, std::less<>> m_connected_lifetimes;
  // Connections to open at a given time. `replace` closes an existing connection first.
  struct DueConnection {
    int64_t due_ms = 0;
    bool replace = false;
  };
  std::map<std::string, DueConnection> m_due_connections;
  // Last use in ms of connections opened on demand, and opening times in ms of contacts.
  std::map<std::string, int64_t, std::less<>> m_on_demand;
  std::map<std::string, int64_t> m_contacts;
  // The node that each changed record came from, which need not receive it again.
  std::map<std::string, std::string> m_update_sources;

  std::shared_ptr<const EndpointList> m_endpoints = std::make_shared<const EndpointList>();
  uint64_t m_endpoints_clock = 0;  // Version clock at which m_endpoints was built.
  uint64_t m_sequence = 0;         // Sequence number of the last heartbeat.
  int64_t m_last_exchange_ms = 0;  // Time of the last exchange of member digests.
  int64_t m_next_probe_ms = 0;     // Next probe of the other holder of the name, while in conflict.
  bool m_knows_members = false;
  bool m_is_leaving = false;
  std::function<void()> m_on_left;
  std::set<std::string, std::less<>> m_unacknowledged;  // Neighbours yet to confirm the leave.

  Counter& m_invalid_records;
  Counter& m_exchanges;
  Counter& m_suspicions;
  Counter& m_deaths;
  Gauge& m_live_members;
  Timer m_heartbeat_timer;
  Timer m_tick_timer;
  Timer m_update_timer;
  Timer m_refresh_timer;
  Timer m_open_timer;
  Timer m_join_timer;
  Timer m_leave_timer;
};

}  // namespace guavatrail
