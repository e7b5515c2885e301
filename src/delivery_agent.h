// Defines DeliveryAgent, which obtains release notes for this node and distributes them to others.
// It watches the platform when this node is chosen as a watcher, pulls notes from other nodes, runs
// the version guard, and owns the table in force.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config_table.h"
#include "control.pb.h"
#include "event_loop.h"
#include "metrics.h"
#include "platform_client.h"
#include "random_source.h"
#include "settings.h"

namespace guavatrail {

// Functions of the control plane that the agent uses.
struct DeliveryCallbacks {
  // Sends on the overlay or, to other members, over a connection opened on demand. A message to an
  // unreachable node is lost.
  std::function<void(std::string_view node, const pb::ControlMessage& message)> send;
  // Names of the current overlay neighbours.
  std::function<std::vector<std::string>()> neighbours;
  // All known members except this node.
  std::function<std::vector<pb::MemberRecord>()> members;
  // Called after a version went in force, to update the node's member record.
  std::function<void(uint64_t version)> on_version_in_force;
};

class DeliveryAgent {
 public:
  DeliveryAgent(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                PlatformClient& platform, Metrics& metrics, RandomSource& random,
                DeliveryCallbacks callbacks);
  ~DeliveryAgent();

  void Start();
  // Handles version_announce, notes_request, notes_reply, version_promise, promise_ack, floor_query
  // and floor_reply.
  void OnMessage(std::string_view node, const pb::ControlMessage& message);
  // Handles the state of a neighbour from a heartbeat or its acknowledgement: its version in force,
  // and the time since it knew the head to be current.
  void OnNeighbourState(std::string_view node, uint64_t version, int64_t head_age_ms);
  // Must be called when members or neighbours have changed.
  void OnMembershipChanged();

  // The table in force; null until the version guard allows serving.
  std::shared_ptr<const ConfigTable> table() const;
  // The version in force; 0 while there is none.
  uint64_t version() const;
  // Milliseconds since the platform's head was last known to be current, by a read of this node or
  // from a neighbour.
  int64_t HeadAgeMs() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
