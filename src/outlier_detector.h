// Defines OutlierPolicy, which finds backend servers that have become much slower than the others
// of their service, puts them aside and probes for their return. Pure: the clock is handed in.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace guavatrail {

// One answer of a server. Times are in microseconds.
struct ServerAnswer {
  std::string_view node;
  // Work kind; service times are compared within a kind only.
  std::string_view kind;
  // Time on the server without waiting, as far as known; else the time from sending to the answer.
  int64_t service_us = 0;
  // Typical service time that the node beside the server reports; 0 if unknown.
  int64_t reported_service_us = 0;
};

enum class EjectionState {
  kActive,    // Gets calls.
  kProbeDue,  // Put aside, but may get one call now; OnProbeSent must follow if it does.
  kEjected,   // Gets no calls.
};

// Compares the median of a server's last answers, relative to what is usual for their kinds, with
// the same figure of the other servers, so that a slowdown of the whole service puts none aside.
// One instance for each service. At most half of the servers are aside, and never the last one.
class OutlierDetector {
 public:
  struct Options {
    double slow_ratio = 3.0;    // Times slower than the others: put aside.
    double return_ratio = 2.0;  // Probes below this ratio count towards the return.
    int probes_to_return = 3;
    int64_t first_aside_us = 1'000'000;  // Doubled after every bad probe.
    int64_t max_aside_us = 8'000'000;
    // Answers of the other servers before a probe. At a low rate of calls this keeps probes from
    // being a large part of what the server would get anyway.
    uint64_t answers_before_probe = 100;
    // With fewer answers a probe is sent after this time all the same.
    int64_t quiet_probe_us = 30'000'000;
  };

  OutlierDetector() : OutlierDetector(Options{}) {}
  explicit OutlierDetector(Options options) : m_options(options) {}

  void SetServers(std::span<const std::string_view> nodes);
  void OnAnswer(const ServerAnswer& answer, int64_t now_us);
  void OnFailure(std::string_view node, int64_t now_us);
  void OnProbeSent(std::string_view node, int64_t now_us);
  EjectionState EjectionStateOf(std::string_view node, int64_t now_us) const;
  size_t aside_count() const { return m_aside_count; }

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
    bool aside = false;
    int64_t aside_until_us = 0;
    int64_t aside_since_us = 0;  // The last decision to put or leave it aside.
    uint64_t probe_at_answer = 0;
    int64_t aside_length_us = 0;
    int64_t probe_sent_us = -1;  // -1: no probe on its way.
    int good_probes = 0;
  };
  // The usual logarithm of the service time of a kind, as a running median.
  struct Usual {
    double log_us = 0;
    uint64_t samples = 0;
  };
  using Servers = std::map<std::string, Server, std::less<>>;

  double LogRatioOf(const ServerAnswer& answer);
  // Of the newest `count` answers.
  double MedianOf(const Server& server, size_t count, int64_t now_us) const;
  // Over the servers in use except `server`, which may be null.
  double MedianOfOthers(const Server* server, int64_t now_us) const;
  int64_t ReportedByOthers(const Server& server, int64_t now_us) const;
  bool IsSlow(const Server& server, int64_t reported_us, int64_t now_us) const;
  void Sampled(Server& server, double log_ratio, int64_t reported_us, int64_t now_us);
  void PutAside(Server& server, int64_t length_us, int64_t now_us);
  void Return(Server& server, int64_t now_us);
  void ReturnAllIfAllAreSlow(int64_t now_us);
  void ProbeEnded(Server& server, double log_ratio, int64_t now_us);
  bool MayPutAside() const;

  Options m_options;
  Servers m_servers;
  size_t m_aside_count = 0;
  uint64_t m_answers = 0;
  std::map<std::string, Usual, std::less<>> m_usual;
};

// Baseline: every server is always in use.
class NoOutlierDetection {
 public:
  void SetServers(std::span<const std::string_view> /*nodes*/) {}
  void OnAnswer(const ServerAnswer& /*answer*/, int64_t /*now_us*/) {}
  void OnFailure(std::string_view /*node*/, int64_t /*now_us*/) {}
  void OnProbeSent(std::string_view /*node*/, int64_t /*now_us*/) {}
  EjectionState EjectionStateOf(std::string_view /*node*/, int64_t /*now_us*/) const {
    return EjectionState::kActive;
  }
};

using OutlierPolicy = std::variant<OutlierDetector, NoOutlierDetection>;

// The servers of the service that can get calls at all. Those no longer named are forgotten.
void SetServers(OutlierPolicy& policy, std::span<const std::string_view> nodes);
// A whole answer arrived. An unknown node changes nothing.
void OnAnswer(OutlierPolicy& policy, const ServerAnswer& answer, int64_t now_us);
// A call got no whole answer within its time. Refusals and cancelled calls are not failures.
void OnFailure(OutlierPolicy& policy, std::string_view node, int64_t now_us);
// A call was sent to a server whose standing is kProbeDue.
void OnProbeSent(OutlierPolicy& policy, std::string_view node, int64_t now_us);
EjectionState EjectionStateOf(const OutlierPolicy& policy, std::string_view node, int64_t now_us);

}  // namespace guavatrail
