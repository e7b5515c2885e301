// Defines DeliveryAgent, which brings release notes to this node and passes them on: it watches the
// platform when chosen to, pulls from other nodes, guards the version in force, and owns the table.
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

// What the agent needs of the control plane.
struct DeliveryCallbacks {
  // Sends on the overlay or, to other members, over a connection opened on demand. A message to an
  // unreachable node is lost.
  std::function<void(std::string_view node, const pb::ControlMessage& message)> send;
  // Names of the current overlay neighbours.
  std::function<std::vector<std::string>()> neighbours;
  // All known members except this node.
  std::function<std::vector<pb::MemberRecord>()> members;
  // Called after a version went in force, so that the member record can carry it.
  std::function<void(uint64_t version)> on_version_in_force;
};

class DeliveryAgent {
 public:
  DeliveryAgent(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                PlatformClient& platform, Metrics& metrics, RandomSource& random,
                DeliveryCallbacks ports);
  ~DeliveryAgent();

  void Start();
  // Handles version_announce, notes_request, notes_reply, version_promise, promise_ack, floor_query
  // and floor_reply.
  void OnMessage(std::string_view node, const pb::ControlMessage& message);
  // A heartbeat or its acknowledgement told the version in force at a neighbour and the age of its
  // knowledge of the head.
  void OnNeighbourState(std::string_view node, uint64_t version, int64_t head_age_ms);
  // Members or neighbours changed.
  void OnMembershipChanged();

  // The table in force; null until the version guard allows serving.
  std::shared_ptr<const ConfigTable> table() const;
  // The version in force; 0 while there is none.
  uint64_t version() const;
  // Milliseconds since the platform's head was known to be current, here or by a watcher.
  int64_t HeadAgeMs() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
