// Defines OutlierPolicy, which detects backend servers that have become much slower than the others
// of their service, ejects them, and probes them until they can be reinstated. Performs no I/O; the
// caller passes in the time.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace guavatrail {

// An answer of a server. Times are in microseconds.
struct ServerAnswer {
  std::string_view node;
  // Work kind; service times are compared within a kind only.
  std::string_view kind;
  // Service time without queueing, if known; otherwise the time from sending the request to the
  // answer.
  int64_t service_us = 0;
  // Typical service time that the server's node reports; 0 if unknown.
  int64_t reported_service_us = 0;
};

enum class EjectionState {
  kActive,    // Gets calls.
  kProbeDue,  // Ejected; a probe may be sent now and is then recorded by OnProbeSent.
  kEjected,   // Gets no calls.
};

// Compares the median of a server's recent answer times, relative to the typical time of their
// work kinds, with that of the other servers, so that a slowdown of the whole service ejects none.
// At most half of the servers are ejected, and never the only one. One instance per service.
class OutlierDetector {
 public:
  struct Options {
    double slow_ratio = 3.0;       // Servers slower than the others by this factor are ejected.
    double reinstate_ratio = 2.0;  // Probes below this ratio count as good.
    int probes_to_reinstate = 3;
    int64_t base_ejection_us = 1'000'000;  // Doubled after every bad probe.
    int64_t max_ejection_us = 8'000'000;
    // Answers of the other servers before a probe. At a low call rate this keeps probes a small
    // part of the calls that the server would get anyway.
    uint64_t answers_before_probe = 100;
    // A probe is sent after this time even with fewer answers.
    int64_t max_probe_delay_us = 30'000'000;
  };

  OutlierDetector() : OutlierDetector(Options{}) {}
  explicit OutlierDetector(Options options) : m_options(options) {}

  void SetServers(std::span<const std::string_view> nodes, int64_t now_us);
  void OnAnswer(const ServerAnswer& answer, int64_t now_us);
  void OnFailure(std::string_view node, int64_t now_us);
  void OnProbeSent(std::string_view node, int64_t now_us);
  EjectionState EjectionStateOf(std::string_view node, int64_t now_us) const;
  size_t ejected_count() const { return m_ejected_count; }

 private:
  static constexpr size_t kWindow = 7;
  struct Sample {
    double log_ratio = 0;
    int64_t time_us = 0;
  };
  struct Server {
    std::array<Sample, kWindow> samples;
    size_t sample_count = 0;  // Total; the newest is at (sample_count - 1) % kWindow.
    int64_t reported_us = 0;
    int64_t reported_at_us = 0;
    int64_t ignore_reports_until_us = 0;
    bool ejected = false;
    int64_t ejected_until_us = 0;
    int64_t ejected_since_us = 0;  // Time of the last decision to eject it or to keep it ejected.
    uint64_t probe_at_answer = 0;
    int64_t ejection_length_us = 0;
    int64_t probe_sent_us = -1;  // -1: no probe in flight.
    int good_probes = 0;
  };
  // Logarithm of the typical service time of a work kind, as a running median.
  struct Baseline {
    double log_us = 0;
    uint64_t samples = 0;
  };
  using Servers = std::map<std::string, Server, std::less<>>;

  double LogRatioOf(const ServerAnswer& answer);
  // Median of the newest `count` answers.
  double MedianOf(const Server& server, size_t count, int64_t now_us) const;
  // Median over the servers in use except `server`, which may be null.
  double MedianOfOthers(const Server* server, int64_t now_us) const;
  int64_t ReportedByOthers(const Server& server, int64_t now_us) const;
  bool IsSlow(const Server& server, int64_t reported_us, int64_t now_us) const;
  void AddSample(Server& server, double log_ratio, int64_t reported_us, int64_t now_us);
  void Eject(Server& server, int64_t length_us, int64_t now_us);
  void Reinstate(Server& server, int64_t now_us);
  void ReinstateAllIfAllAreSlow(int64_t now_us);
  void OnProbeResult(Server& server, double log_ratio, int64_t now_us);
  bool CanEject() const;

  Options m_options;
  Servers m_servers;
  size_t m_ejected_count = 0;
  uint64_t m_answers = 0;
  std::map<std::string, Baseline, std::less<>> m_baselines;
};

// For comparisons: every server is always in use.
class NoOutlierDetection {
 public:
  void SetServers(std::span<const std::string_view> /*nodes*/, int64_t /*now_us*/) {}
  void OnAnswer(const ServerAnswer& /*answer*/, int64_t /*now_us*/) {}
  void OnFailure(std::string_view /*node*/, int64_t /*now_us*/) {}
  void OnProbeSent(std::string_view /*node*/, int64_t /*now_us*/) {}
  EjectionState EjectionStateOf(std::string_view /*node*/, int64_t /*now_us*/) const {
    return EjectionState::kActive;
  }
};

using OutlierPolicy = std::variant<OutlierDetector, NoOutlierDetection>;

// Sets the servers of the service that may get calls; the state of all others is dropped.
void SetServers(OutlierPolicy& policy, std::span<const std::string_view> nodes, int64_t now_us);
// Records a complete answer. An unknown node is ignored.
void OnAnswer(OutlierPolicy& policy, const ServerAnswer& answer, int64_t now_us);
// Records a call without a complete answer in time. Refusals and cancelled calls are not
// failures.
void OnFailure(OutlierPolicy& policy, std::string_view node, int64_t now_us);
// Records that a call was sent as a probe to a server whose state is kProbeDue.
void OnProbeSent(OutlierPolicy& policy, std::string_view node, int64_t now_us);
EjectionState EjectionStateOf(const OutlierPolicy& policy, std::string_view node, int64_t now_us);

}  // namespace guavatrail
