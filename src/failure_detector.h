// Defines FailureDetector, which decides from heartbeats and the reports of other monitors which
// nodes are suspected and which are dead.
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

// A node that this one sends heartbeats to.
struct MonitoredNode {
  std::string name;
  uint64_t incarnation = 0;
  // Nodes that monitor it, this one included.
  size_t monitors = 1;
};

// A node at one incarnation.
struct NodeLifetime {
  std::string name;
  uint64_t incarnation = 0;
  bool operator==(const NodeLifetime&) const = default;
};

struct DetectorDecisions {
  // Silent for missed_heartbeats periods: newly suspected by this node.
  std::vector<NodeLifetime> suspected;
  // Suspected by enough monitors for suspicion_ms without refutation.
  std::vector<NodeLifetime> dead;
  // Silent for one period less than makes a suspicion: the connection may be at fault, so it should
  // be replaced.
  std::vector<std::string> silent;
};

// Pure: times are monotonic milliseconds that the caller passes in.
class FailureDetector {
 public:
  explicit FailureDetector(DetectorOptions options) : m_options(std::move(options)) {}

  // Replaces the monitored nodes; those that stay keep their history. A higher incarnation of a
  // node clears the suspicion of the lower one.
  void SetMonitored(const std::vector<MonitoredNode>& nodes, int64_t now_ms);
  // A heartbeat or acknowledgement arrived. One with a lower incarnation than the monitored one
  // comes from another process and is no sign of life.
  void OnHeard(std::string_view node, uint64_t incarnation, int64_t now_ms);
  // A monitor reports a suspicion. True when the report is news that should be passed on: at most
  // the two first reports about a lifetime are.
  bool OnReport(const NodeLifetime& node, std::string_view reporter, int64_t now_ms);
  // Whether a report about the node is open.
  bool HasReport(std::string_view node) const { return m_suspicions.count(node) != 0; }
  // The node refuted, died, left or was forgotten.
  void ClearSuspicion(std::string_view node) { m_suspicions.erase(std::string(node)); }
  // Must be called at least once in each heartbeat period. When it was not, this process did not
  // run, and silence in that time says nothing about others: all waits are extended by the gap.
  DetectorDecisions Tick(int64_t now_ms);

  // Pauses of this process noticed so far.
  uint64_t pauses() const { return m_pauses; }

 private:
  struct Monitored {
    uint64_t incarnation = 0;
    size_t monitors = 1;
    int64_t heard_ms = 0;
    int64_t reconnect_ms = 0;  // When the connection was last found silent; 0 for never.
    int64_t patience = 1;      // Factor on the silence before a suspicion.
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
