// Defines QuotaLedger, by which the coordinator of the quotas of workspaces decides what each node
// may admit. Performs no I/O; callers pass in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_table.h"
#include "quota_report.h"

namespace guavatrail {

// Keeps a token bucket for each workspace, from the reports of the nodes on what they have admitted
// already. The level of a bucket may therefore be negative. A node that reports adds its part of
// the refill for the time since its last report, by its own clock, so that coordinators of parts
// of the nodes together refill at the rate of the quota, and a pause of the coordinator neither
// adds nor loses tokens. A new ledger begins with empty buckets, since it does not know what was
// admitted before.
class QuotaLedger {
 public:
  // Commands.
  // The quotas in force; a workspace that remains keeps its bucket.
  void SetQuotas(const std::map<std::string, Workspace, std::less<>>& workspaces);
  // The nodes that are known, whether they can be reached or not.
  void SetNodes(std::set<std::string> nodes);
  // Counts what a node has admitted, and returns what it may admit. `now_us` is the monotonic clock
  // of the coordinator.
  QuotaReply OnReport(const QuotaReport& report, int64_t now_us);

  // Queries.
  // Whether a report of this node can be counted. False for a node that is not known while as many
  // others report that are not: clients of the peer port can make up names.
  bool HasRoomFor(std::string_view node) const;
  // Fraction of the known nodes that have reported within the last moments; at most 1.
  double GroupAt(int64_t now_us) const;
  // The level of the bucket of a workspace in requests; negative: more was admitted than the quota
  // allows. 0 if it is unknown.
  double LevelOf(std::string_view workspace) const;
  // Workspaces near or above their quota.
  size_t limited() const { return m_limited.size(); }

 private:
  // Requests a second of a workspace, at one node or at all.
  struct Rates {
    double demand = 0;       // Between the last two reports.
    double long_demand = 0;  // Average over about a second.
    double admitted = 0;     // Between the last two reports.
    void Add(const Rates& rates, double factor);
  };
  struct Bucket {
    double rate_per_s = 0;
    double capacity = 0;
    double level = 0;
    double refilled_s = 0;  // m_refill_s at the last refill.
    Rates rates;            // The sum over the nodes of the group.
  };
  // What a node has reported on a workspace.
  struct Usage {
    QuotaCounters total;
    QuotaCounters rated;  // Those from which the rates were last computed.
    Rates rates;
    int64_t seen_us = 0;
  };
  struct Node {
    uint64_t process = 0;
    // Times of its last report and of those from which its rates were last computed, by its clock.
    int64_t time_us = 0;
    int64_t rated_us = 0;
    int64_t seen_us = 0;
    bool has_rates = false;  // Included in the rates of the buckets.
    std::unordered_map<Bucket*, Usage> usages;
  };
  using Buckets = std::map<std::string, Bucket, std::less<>>;

  void Reset(int64_t now_us);
  void CountNodes(int64_t now_us);
  size_t KnownNodes(int64_t now_us) const;
  Node& UpdateNode(const QuotaReport& report, int64_t now_us);
  bool IsRecent(const Node& node, int64_t now_us) const;
  double CapacityOf(const Bucket& bucket, int64_t now_us) const;
  void Refill(Bucket& bucket, int64_t now_us) const;
  void Count(Node& node, const QuotaUsage& usage, int64_t now_us);
  static void UpdateRates(Node& node, const QuotaReport& report);
  static void RemoveRates(Node& node);
  static void ForgetUsages(Node& node, int64_t now_us);
  double EstimatedLevel(const Bucket& bucket) const;
  static double DemandOf(const Rates& rates);
  bool IsLimited(const Bucket& bucket, bool was_limited) const;
  QuotaReply MakeReply(const Node& node, int64_t now_us);
  QuotaLimit LimitFor(const Node& node, Buckets::value_type& item) const;

  Buckets m_buckets;
  std::set<std::string> m_known;
  std::map<std::string, Node, std::less<>> m_nodes;
  // Names of the workspaces in m_buckets that are near or above their quota.
  std::set<std::string, std::less<>> m_limited;
  double m_refill_s = 0;      // Seconds of refill at the whole rate since the ledger began.
  double m_group = 0;         // Of the last count.
  size_t m_known_count = 1;   // Of the last count.
  int64_t m_counted_us = -1;  // Time of the last count; -1: none.
  int64_t m_first_us = -1;    // Of the first report; -1: none.
  int64_t m_last_us = 0;      // Of the last report.
};

}  // namespace guavatrail
