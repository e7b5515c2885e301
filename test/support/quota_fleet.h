// Defines QuotaFleet, a simulation of nodes that keep the quotas of workspaces, with callers and a
// network, in simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "config_table.h"
#include "coordinator_selector.h"
#include "quota_enforcer.h"
#include "quota_ledger.h"
#include "random_source.h"

namespace guavatrail {

using Quotas = std::map<std::string, Workspace, std::less<>>;

// Requests of the callers of a workspace, which arrive at random times.
struct QuotaLoad {
  std::string workspace;
  std::function<double(double time_s)> per_s;
  // Weight of each node; empty: all are equal.
  std::vector<double> weights;
  // 0: refused requests are not repeated. Otherwise they are, after this time, until 2 s after
  // their first attempt.
  int64_t repeat_after_us = 0;
};

class QuotaFleet {
 public:
  // The nodes with the lowest numbers have the fastest links. A message takes up to 20 ms, and one
  // in 100 is lost.
  QuotaFleet(size_t nodes, Quotas quotas, uint64_t seed);

  void SetQuotas(Quotas quotas);
  void AddLoad(QuotaLoad load) { m_loads.push_back(std::move(load)); }
  // Whether messages between two nodes are delivered; default: always.
  void SetNetwork(std::function<bool(size_t a, size_t b)> reaches) {
    m_reaches = std::move(reaches);
  }
  // One message in this number is lost; 0: none.
  void SetLossOneIn(uint64_t messages) { m_loss_one_in = messages; }
  void RunUntil(double time_s);

  // Faults. A stopped node gets no requests; a paused one handles what has arrived when it resumes,
  // and its clock stands still meanwhile.
  void Stop(size_t node);
  void Start(size_t node);
  void Pause(size_t node);
  void Resume(size_t node);
  // Changes which nodes are listed.
  void SetListed(size_t node, bool is_listed);

  double time_s() const { return static_cast<double>(m_now_us) / 1e6; }
  // The node to which most nodes report.
  size_t Coordinator() const;

  // Results. Times are seconds of the simulation.
  uint64_t Admitted(const std::string& workspace, double from_s, double to_s) const;
  uint64_t Refused(const std::string& workspace, double from_s, double to_s) const;
  // The most requests that were admitted in any 5 s that begin at or after `from_s`.
  uint64_t MaxInWindow(const std::string& workspace, double from_s = 0) const;
  // The bound on them.
  static double Bound(double rate_per_s, double burst) {
    return (rate_per_s * 5 + burst) * 1.1 + 20;
  }
  uint64_t messages() const { return m_messages; }

 private:
  struct Node {
    std::string name;
    bool is_up = false;
    bool is_paused = false;
    bool is_listed = true;
    int64_t pause_start_us = 0;
    int64_t paused_us = 0;  // By which the clock is behind.
    uint64_t process = 0;
    std::unique_ptr<QuotaEnforcer> enforcer;
    std::unique_ptr<QuotaLedger> ledger;
    std::unique_ptr<CoordinatorSelector> selector;
    std::vector<std::function<void()>> held;  // Arrived during the pause.
  };
  struct Event {
    int64_t time_us;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time_us, sequence) > std::tie(other.time_us, other.sequence);
    }
  };
  struct Result {
    std::vector<int64_t> admitted_us;
    std::vector<int64_t> refused_us;
  };

  int64_t ClockOf(const Node& node) const { return kClockStartUs + m_now_us - node.paused_us; }
  void At(int64_t time_us, std::function<void()> run);
  // Runs on a node at a time, or when it resumes; not if its process has ended by then.
  void AtNode(size_t node, int64_t time_us, std::function<void()> run);
  void Deliver(size_t from, size_t to, std::function<void()> run);
  void ApplyEndpoints(Node& node);
  void OnTimer(size_t index);
  void Report(size_t from, size_t to, const QuotaReport& report);
  void Offer(size_t load, size_t node, int64_t first_us);
  void GenerateRequests();
  size_t Index(std::string_view name) const;
  size_t Listed() const;

  static constexpr int64_t kClockStartUs = 1'000'000'000;
  static constexpr int64_t kStepUs = 1'000;

  Quotas m_quotas;
  RandomSource m_random;
  std::vector<Node> m_nodes;
  std::vector<QuotaLoad> m_loads;
  std::vector<std::vector<double>> m_cumulated;  // Weights by load.
  std::function<bool(size_t, size_t)> m_reaches = [](size_t, size_t) { return true; };
  std::priority_queue<Event> m_events;
  std::map<std::string, Result> m_results;
  int64_t m_now_us = 0;
  uint64_t m_loss_one_in = 100;
  uint64_t m_next_sequence = 0;
  uint64_t m_next_process = 1;
  uint64_t m_messages = 0;
};

}  // namespace guavatrail
