// Defines RolloutModel, a model of the canary and old servers of a service that feeds a
// RolloutDecision with their counts once a second, without a network.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "random_source.h"
#include "rollout_decision.h"

namespace guavatrail {

struct ModelServer {
  std::string name;
  bool is_canary = false;
  double answers_per_s = 5;
  // Answers a request of `kind` begun at `at_s` seconds after the order.
  std::function<ServerResult(std::string_view kind, double at_s)> answer;
  double start_s = 0;
  RolloutCounts counts;
  double due = 0;
};

class RolloutModel {
 public:
  explicit RolloutModel(uint64_t seed, double step_s = 60)
      : m_random(seed), m_step_s(step_s), m_decision(Us(step_s)) {}

  static int64_t Us(double seconds) { return static_cast<int64_t>(seconds * 1e6); }

  // Service times vary by a factor of up to 2 around `mean_us`; a request in 200 takes 5 times as
  // long, and one in `fail_every` fails (0: none).
  ServerResult Answer(std::string_view kind, double mean_us, double fail_share) {
    double us = mean_us * (0.5 + 1.5 * m_random.Unit());
    if (m_random.Below(200) == 0) us *= 5;
    bool is_failure = m_random.Unit() < fail_share;
    return {kind, is_failure, static_cast<int64_t>(is_failure ? 1'000 : us)};
  }
  // The usual time of a kind in microseconds.
  static double MeanUs(std::string_view kind) { return kind == "lookup" ? 20'000 : 90'000; }

  // Adds a server whose answers are `factor` times as slow and of which `fail_share` fail.
  ModelServer& AddServer(bool is_canary, double answers_per_s, double factor = 1,
                         double fail_share = 0) {
    ModelServer server;
    server.name = (is_canary ? "canary-" : "old-") + std::to_string(m_servers.size());
    server.is_canary = is_canary;
    server.answers_per_s = answers_per_s;
    server.answer = [this, factor, fail_share](std::string_view kind, double) {
      return Answer(kind, factor * MeanUs(kind), fail_share);
    };
    m_servers.push_back(std::move(server));
    return m_servers.back();
  }
  // Six old servers, and `canaries` with `canary_rate` answers a second in all.
  void AddFleet(int canaries, double canary_rate, double factor = 1, double fail_share = 0) {
    m_servers.reserve(16);
    for (int i = 0; i < 6; ++i) AddServer(false, 15);
    for (int i = 0; i < canaries; ++i) AddServer(true, canary_rate / canaries, factor, fail_share);
  }
  std::vector<ModelServer>& servers() { return m_servers; }

  // Runs until a verdict or the time limit.
  RolloutVerdict Run() {
    size_t canaries = 0;
    for (ModelServer& server : m_servers) {
      if (server.is_canary) ++canaries;
      server.counts.Start(0, Us(server.start_s));
    }
    for (m_now_s = 0; m_now_s < m_step_s; m_now_s += 1) {
      for (ModelServer& server : m_servers) Step(server);
      RolloutVerdict verdict = m_decision.Decide(Us(m_now_s + 1), canaries,
                                                 m_servers.size() - canaries, Us(m_now_s + 1));
      if (verdict.action != RolloutAction::kKeep) return verdict;
    }
    return {};
  }
  double now_s() const { return m_now_s + 1; }
  int64_t bad_answers() const { return m_bad; }
  RolloutDecision& decision() { return m_decision; }

 private:
  void Step(ModelServer& server) {
    if (m_now_s < server.start_s) return;
    server.due += server.answers_per_s;
    for (; server.due >= 1; server.due -= 1) {
      std::string_view kind = m_random.Below(4) == 0 ? "report" : "lookup";
      double at_s = m_now_s + m_random.Unit();
      ServerResult result = server.answer(kind, at_s);
      bool is_slow = static_cast<double>(result.service_us) > 4 * MeanUs(kind);
      if (server.is_canary && (result.is_failure || is_slow)) ++m_bad;
      server.counts.OnResult(result, Us(at_s) + result.service_us);
    }
    m_decision.OnReport(server.name, "run", server.is_canary, server.counts.work(),
                        Us(m_now_s + 1));
  }

  RandomSource m_random;
  double m_step_s;
  double m_now_s = 0;
  int64_t m_bad = 0;
  std::vector<ModelServer> m_servers;
  RolloutDecision m_decision;
};

}  // namespace guavatrail
