// Defines FailureDetector, which decides from heartbeats and from suspicion reports of other
// monitors which nodes are suspected and which are dead.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

struct DetectorOptions {
  std::string self;
  int64_t heartbeat_ms = 1000;
  int64_t missed_heartbeats = 3;
  int64_t suspicion_ms = 3000;
};

// A node to which this one sends heartbeats.
struct MonitoredNode {
  std::string name;
  uint64_t incarnation = 0;
  // Number of nodes that monitor it, this one included.
  size_t monitors = 1;
};

// A node at one incarnation.
struct NodeIncarnation {
  std::string name;
  uint64_t incarnation = 0;
  bool operator==(const NodeIncarnation&) const = default;
};

struct DetectorDecisions {
  // Silent for missed_heartbeats periods: newly suspected by this node.
  std::vector<NodeIncarnation> suspected;
  // Suspected by enough monitors for suspicion_ms without refutation.
  std::vector<NodeIncarnation> dead;
  // Silent for all but one of the heartbeat periods after which a node is suspected. The connection
  // may be the cause, so the caller should replace it.
  std::vector<std::string> silent;
};

// Performs no I/O; the caller passes in monotonic times in milliseconds.
class FailureDetector {
 public:
  explicit FailureDetector(DetectorOptions options) : m_options(std::move(options)) {}

  // Sets the monitored nodes; nodes that were monitored before keep their state. A higher
  // incarnation of a node clears the suspicion of a lower one.
  void SetMonitored(const std::vector<MonitoredNode>& nodes, int64_t now_ms);
  // Records a heartbeat or acknowledgement. One with a lower incarnation than the monitored one
  // comes from another process and is not a sign of life.
  void OnHeartbeat(std::string_view node, uint64_t incarnation, int64_t now_ms);
  // Records a suspicion reported by a monitor. Returns whether the report should be forwarded: only
  // the first two distinct reports about one incarnation are.
  bool OnSuspicion(const NodeIncarnation& node, std::string_view reporter, int64_t now_ms);
  // Whether there is an open suspicion of the node.
  bool HasSuspicion(std::string_view node) const { return m_suspicions.count(node) != 0; }
  // Must be called when the node has refuted, died or left, or its record was removed.
  void ClearSuspicion(std::string_view node) { m_suspicions.erase(std::string(node)); }
  // Makes the decisions that are due. Must be called at least once per heartbeat period. A longer
  // gap means that this process was paused; silence during it is no evidence against other nodes,
  // so all waits are extended by the gap.
  DetectorDecisions Tick(int64_t now_ms);

  // Number of pauses of this process detected so far.
  uint64_t pauses() const { return m_pauses; }

 private:
  struct Monitored {
    uint64_t incarnation = 0;
    size_t monitors = 1;
    int64_t heard_ms = 0;
    int64_t reconnect_ms = 0;       // When the connection was last found silent; 0 for never.
    int64_t suspicion_backoff = 1;  // Factor by which the silence before a suspicion is extended.
    bool is_suspected = false;
  };
  struct Suspicion {
    uint64_t incarnation = 0;
    int64_t since_ms = 0;
    std::set<std::string, std::less<>> reporters;
  };

  void ExtendWaits(int64_t gap_ms);
  void CheckSilence(const std::string& name, Monitored& node, int64_t now_ms,
                    DetectorDecisions& decisions);
  bool IsConfirmed(const std::string& name, const Monitored& node, int64_t now_ms) const;

  DetectorOptions m_options;
  std::map<std::string, Monitored, std::less<>> m_monitored;
  std::map<std::string, Suspicion, std::less<>> m_suspicions;
  int64_t m_last_tick_ms = -1;
  uint64_t m_pauses = 0;
};

}  // namespace guavatrail
