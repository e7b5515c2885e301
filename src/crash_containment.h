// Defines CrashContainment, which limits the servers that a request can crash while the quarantines
// of earlier processes may be lost. Performs no I/O; the caller passes in the time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "crash_blame.h"
#include "endpoint.h"

namespace guavatrail {

// If all nodes are lost at once after a time in which they could not store anything, nobody knows
// of the requests that crash servers, and several nodes may send such a request at the same moment.
// So until a node has learned what an older process knows, or the quarantines would have ended:
//  - an entry node sends a request only to the nodes of its shard (shuffle sharding), which all
//    entry nodes compute alike;
//  - a node runs one copy of a request at a time, and none that it ran when its server crashed.
// A request that a server has answered is exempt.
class CrashContainment {
 public:
  // Nodes that may run a request: as many servers as may crash before the quarantine.
  static constexpr size_t kShardNodes = CrashBlame::kCrashesToQuarantine;
  // Limits the memory. When it is reached, requests are no longer exempt.
  static constexpr size_t kMaxRequests = 16'384;

  // Begins the containment, unless it has begun before.
  void Start(int64_t now_us);
  void End();
  bool IsActive(int64_t now_us) const { return now_us < m_end_us; }
  // Whether the request is limited to its shard.
  bool IsContained(std::string_view fingerprint, int64_t now_us) const;
  // Whether the server of this node has crashed while it ran the request.
  bool HasCrashedHere(std::string_view fingerprint) const {
    return m_crashed_here.contains(fingerprint);
  }

  // Events.
  void OnAnswered(std::string_view fingerprint, int64_t now_us);
  void OnCrashHere(std::string_view fingerprint, int64_t now_us);

 private:
  using Fingerprints = std::set<std::string, std::less<>>;
  static void Add(Fingerprints& fingerprints, std::string_view fingerprint);

  bool m_has_started = false;
  int64_t m_end_us = 0;
  Fingerprints m_answered;
  Fingerprints m_crashed_here;
};

// The nodes that are responsible for a request, and the others. Draining nodes belong to neither.
struct Shard {
  std::vector<std::string> nodes;
  std::vector<std::string> other_nodes;
  bool Contains(std::string_view node) const {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
  }
};
// Of the nodes of `service`; empty: of all nodes.
Shard ShardOf(std::string_view fingerprint, const EndpointList& endpoints,
              std::string_view service);

}  // namespace guavatrail
