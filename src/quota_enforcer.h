// Defines QuotaEnforcer, by which a node decides which requests of workspaces with a quota it
// admits. Performs no I/O; callers pass in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_table.h"
#include "quota_report.h"
#include "random_source.h"

namespace guavatrail {

struct QuotaRefusal {
  int64_t retry_after_ms = 0;  // Positive.
};

// Admits what the last reply of a coordinator allows, and never more than the whole quota. When the
// next reply is overdue, it admits no more than it had requests before, also of workspaces without
// a limit. Without a valid reply the node is a group of one: it admits its part of each quota. A
// node that has just started admits somewhat more until its first reply.
//
// All times are microseconds of one monotonic clock.
class QuotaEnforcer {
 public:
  // `process` differs between the processes of a node.
  QuotaEnforcer(std::string node, uint64_t process, RandomSource& random);

  // Commands.
  // The quotas in force; a workspace that remains keeps its counters.
  void SetQuotas(const std::map<std::string, Workspace, std::less<>>& workspaces, int64_t now_us);
  // The number of known nodes, this one included.
  void SetNodeCount(size_t nodes) { m_nodes = nodes; }
  // Counts a request and decides whether it is admitted. Requests of a workspace without a quota,
  // or of none, are admitted.
  tl::expected<void, QuotaRefusal> Admit(std::string_view workspace, int64_t now_us);
  // A request that was admitted has ended without having run.
  void Return(std::string_view workspace, int64_t now_us);
  // The counters of the workspaces that had requests of late.
  QuotaReport MakeReport(int64_t now_us);
  // Applies the reply of `coordinator` to the report made at `sent_us`, unless it is late. A reply
  // of another coordinator than the last one is applied only if that one's has expired, or if the
  // group is about as large: right after a change of the coordinator, few nodes have reported to
  // the new one. Returns whether it was applied.
  bool OnReply(std::string_view coordinator, int64_t sent_us, const QuotaReply& reply,
               int64_t now_us);

  // Queries.
  bool has_quotas() const { return !m_workspaces.empty(); }
  // Whether the limits of a coordinator are in force.
  bool IsCoordinated(int64_t now_us) const { return m_has_reply && now_us < m_valid_until_us; }
  // Of the last reply that was applied; empty: none was.
  const std::string& coordinator() const { return m_coordinator; }
  double group() const { return m_group; }

 private:
  // Tokens of a node without a coordinator. They come at even intervals, with a random offset on
  // each node, and each may be used for a limited time. Nodes that each kept one token for later
  // would together exceed a quota of few requests a second.
  struct UncoordinatedTokens {
    double produced = 0;      // Tokens, whole and in part, since the node was alone.
    double first_unused = 1;  // Number of the next token to use.
  };
  struct Snapshot {
    int64_t time_us = 0;
    QuotaCounters counters;
  };
  struct State {
    double rate_per_s = 0;
    double capacity = 0;
    QuotaCounters counters;
    std::deque<Snapshot> snapshots;  // Oldest first; empty: no requests of late.
    int64_t last_request_us = 0;
    // The whole quota.
    double own_tokens = 0;
    int64_t own_updated_us = 0;
    // Of the limit that the coordinator has set, or this node while the coordinator is silent.
    std::optional<QuotaLimit> limit;
    double recent_per_s = 0;  // Requests at the time of the last reply.
    double credit = 0;        // Part of a request that may be admitted, 0 to 1.
    double limit_tokens = 0;  // Within the rate and burst of the limit.
    int64_t limit_updated_us = 0;
    double net_at_reply = 0;  // Admitted less returned at the time of the last reply.
    UncoordinatedTokens lone;
    int64_t uncoordinated_updated_us = -1;  // -1: not alone.
    std::optional<double> start_tokens;     // Until the first reply.
  };

  bool IsAdmitted(State& state, int64_t now_us);
  static bool HasOwnToken(State& state, int64_t now_us);
  bool TakeWithinLimit(State& state, int64_t now_us);
  bool TakeUncoordinated(State& state, int64_t now_us);
  void LimitIfSilent(State& state, int64_t now_us) const;
  double PartOf(double rate_per_s) const;
  static void RefillLimit(State& state, int64_t now_us);
  static double RecentPerS(const State& state, int64_t now_us);
  int64_t RetryAfterMs(const State& state) const;
  void MarkActive(State& state, int64_t now_us);

  std::string m_node;
  uint64_t m_process;
  RandomSource& m_random;
  std::map<std::string, State, std::less<>> m_workspaces;
  size_t m_nodes = 1;
  int64_t m_start_us = -1;  // When quotas were first in force; -1: never.
  bool m_has_reply = false;
  std::string m_coordinator;
  double m_group = 0;
  int64_t m_sent_us = 0;  // Of the report that the last applied reply answers.
  int64_t m_valid_until_us = 0;
};

}  // namespace guavatrail
