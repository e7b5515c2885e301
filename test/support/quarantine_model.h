// Defines QuarantineModel, a model of several nodes that find out which requests crash servers, and
// claim trials of those in quarantine from a store. Messages are lost, late and doubled, nodes
// restart, and servers crash together.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "crash_blame.h"
#include "quarantine_trials.h"
#include "random_source.h"

namespace guavatrail {

// All copies of one request arrive at random nodes, which run them on the servers of all nodes.
class QuarantineModel {
 public:
  struct Options {
    bool is_deadly = false;  // Each server that runs the request crashes.
    bool is_store_away = false;
    bool has_cut = false;  // One node is cut off from all others and from the store for a time.
    int restarts = 0;
    double loss = 0.2;  // Of each message, and of each answer of the store.
  };
  struct Result {
    // Copies that reached a server, sent later than kTouchUs after the third crash by nodes that
    // had been up for kTouchUs.
    int runs_in_quarantine = 0;
    // Longest time from the first to the last refusal in a row at one node, while a server was up.
    int64_t longest_refusal_us = 0;
    int quarantined_nodes = 0;  // At the end.
    bool was_quarantined = false;
  };
  static constexpr int64_t kTouchUs = 3'000'000;

  QuarantineModel(uint64_t seed, const Options& options);
  Result Run();

 private:
  struct Node {
    std::unique_ptr<CrashBlame> blame;
    std::unique_ptr<QuarantineTrials> trials;
    int64_t start_us = 0;
    int process = 0;
    int lifetime = 1;  // Of its server.
    bool is_server_up = true;
    int running = 0;  // Copies that its server runs.
    std::optional<int64_t> first_refusal_us;
    // What the node knows of the stored quarantine.
    int known_revision = 0;
    int known_trials = 0;
  };
  struct Object {
    int revision = 0;  // 0: absent.
    CrashSuspect suspect;
    int64_t end_us = 0;
    std::string claimant;
  };

  void At(int64_t time_us, std::function<void()> action);
  void After(int64_t delay_us, std::function<void()> action) { At(m_now_us + delay_us, action); }
  bool IsLost() { return m_random.Below(1'000) < static_cast<uint64_t>(m_options.loss * 1'000); }
  int64_t Delay(int64_t most_us) {
    return 1'000 + static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(most_us)));
  }
  size_t RandomNode() { return m_random.Below(m_nodes.size()); }

  bool IsCutOff(size_t index) const;
  bool CanReach(size_t a, size_t b) const { return a == b || (!IsCutOff(a) && !IsCutOff(b)); }
  bool IsInTouch(size_t index) const;
  void Arrive();
  void Send(size_t entry, bool is_trial);
  bool RunOn(size_t entry, size_t server, bool is_trial);
  void Finish(size_t server, int lifetime, bool is_trial);
  void CrashServer(size_t index);
  void CrashServers();
  void Restart(size_t index);
  void OnRefused(size_t entry);
  void Announce(size_t from);
  void Deliver(size_t from, size_t to, const CrashSuspect& suspect);
  void ExchangeWithRandomNode(size_t from);
  void StoreQuarantine(size_t index);
  struct PendingClaim {
    int process = 0;
    int trial = 0;
    int revision = 0;
    CrashSuspect suspect;
  };
  void Claim(size_t index);
  void SendClaim(size_t index, const PendingClaim& claim);
  bool ApplyClaim(size_t index, const PendingClaim& claim);
  void OnClaimed(size_t index, int process, bool is_granted);

  Options m_options;
  RandomSource m_random;
  int64_t m_now_us = 0;
  std::multimap<int64_t, std::function<void()>> m_events;
  std::vector<Node> m_nodes;
  Object m_object;
  int m_crashes = 0;
  int64_t m_third_crash_us = 0;
  Result m_result;
};

}  // namespace guavatrail
