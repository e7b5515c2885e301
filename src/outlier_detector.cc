#include "outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace guavatrail {

namespace {

// The median of fewer answers would let one straggler decide.
constexpr size_t kMinSamples = 4;
// A slowdown of the whole service reaches one server first. The others are therefore judged by
// their newest answers as well, which show a slowdown sooner than a full window.
constexpr size_t kNewest = 3;
// Older answers say nothing about a slowdown that starts and ends within seconds.
constexpr int64_t kSampleLifeUs = 2'000'000;
constexpr int64_t kReportLifeUs = 5'000'000;
// A report is already a mean over the requests of all entry nodes, so one is enough. The ratio is
// higher than for answers because reports mix kinds of work.
constexpr double kSlowReportRatio = 4.0;
// After a return the node's report still shows the slow time until it has measured new requests.
constexpr int64_t kReportPauseUs = 3'000'000;
// A probe without an answer is given up after this time and another one may be sent.
constexpr int64_t kProbeTimeoutUs = 2'000'000;
// What a failure counts as, and the most that one answer can count for.
constexpr double kMaxLogRatio = 2.5;
// Step of the running median: large at first to find the level, then small to keep it.
constexpr double kFirstStep = 0.5;
constexpr double kLastStep = 0.02;

// The lower of the two middle values if their number is even: with one slow server among two others
// the fast one is the measure.
template <typename T>
T LowerMedian(std::vector<T>& values) {
  auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void OutlierDetector::SetServers(std::span<const std::string_view> nodes) {
  std::erase_if(m_servers, [&](const auto& entry) {
    bool gone = std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end();
    if (gone && entry.second.aside) --m_aside_count;
    return gone;
  });
  for (std::string_view node : nodes) m_servers.try_emplace(std::string(node));
  // With fewer servers the share of those aside may have become too large: the one that would
  // be probed first returns.
  while (m_aside_count > m_servers.size() / 2) {
    Server* first = nullptr;
    for (auto& [name, server] : m_servers) {
      if (!server.aside) continue;
      if (first == nullptr || server.aside_until_us < first->aside_until_us) first = &server;
    }
    *first = Server{};
    --m_aside_count;
  }
}

double OutlierDetector::LogRatioOf(const ServerAnswer& answer) {
  double log_us = std::log(static_cast<double>(std::max<int64_t>(1, answer.service_us)));
  auto usual = m_usual.find(answer.kind);
  if (usual == m_usual.end()) usual = m_usual.emplace(std::string(answer.kind), Usual{}).first;
  Usual& u = usual->second;
  if (u.samples++ == 0) u.log_us = log_us;
  double log_ratio = std::clamp(log_us - u.log_us, -kMaxLogRatio, kMaxLogRatio);
  double step = std::max(kLastStep, kFirstStep / static_cast<double>(u.samples));
  u.log_us += std::clamp(log_us - u.log_us, -step, step);
  return log_ratio;
}

double OutlierDetector::MedianOf(const Server& server, size_t count, int64_t now_us) const {
  std::vector<double> recent;
  recent.reserve(count);
  for (size_t i = 1; i <= std::min(server.sample_count, count); ++i) {
    const Sample& sample = server.samples[(server.sample_count - i) % kWindow];
    if (now_us - sample.time_us <= kSampleLifeUs) recent.push_back(sample.log_ratio);
  }
  return recent.size() < std::min(count, kMinSamples) ? 0 : LowerMedian(recent);
}

double OutlierDetector::MedianOfOthers(const Server* server, int64_t now_us) const {
  std::vector<double> others;
  others.reserve(m_servers.size());
  for (const auto& [name, other] : m_servers) {
    if (&other == server || other.aside) continue;
    others.push_back(std::max(MedianOf(other, kWindow, now_us), MedianOf(other, kNewest, now_us)));
  }
  return others.empty() ? 0 : LowerMedian(others);
}

int64_t OutlierDetector::ReportedByOthers(const Server& server, int64_t now_us) const {
  std::vector<int64_t> others;
  others.reserve(m_servers.size());
  for (const auto& [name, other] : m_servers) {
    bool is_fresh = other.reported_us > 0 && now_us - other.reported_at_us <= kReportLifeUs;
    if (&other != &server && !other.aside && is_fresh) others.push_back(other.reported_us);
  }
  return others.empty() ? 0 : LowerMedian(others);
}

bool OutlierDetector::MayPutAside() const { return (m_aside_count + 1) * 2 <= m_servers.size(); }

bool OutlierDetector::IsSlow(const Server& server, int64_t reported_us, int64_t now_us) const {
  double median = MedianOf(server, kWindow, now_us);
  double limit = std::log(m_options.slow_ratio);
  if (median > limit && median - MedianOfOthers(&server, now_us) > limit) return true;
  if (reported_us == 0 || now_us < server.ignore_reports_until_us) return false;
  int64_t others_us = ReportedByOthers(server, now_us);
  return others_us > 0 &&
         static_cast<double>(reported_us) > kSlowReportRatio * static_cast<double>(others_us);
}

void OutlierDetector::Sampled(Server& server, double log_ratio, int64_t reported_us,
                              int64_t now_us) {
  if (server.aside) {
    // Answers to calls sent before the server was put aside say nothing about its return.
    if (server.probe_sent_us >= 0) ProbeEnded(server, log_ratio, now_us);
    return;
  }
  server.samples[server.sample_count++ % kWindow] = {log_ratio, now_us};
  if (reported_us > 0) {
    server.reported_us = reported_us;
    server.reported_at_us = now_us;
  }
  if (IsSlow(server, reported_us, now_us) && MayPutAside()) {
    server = Server{};
    ++m_aside_count;
    PutAside(server, m_options.first_aside_us, now_us);
  } else if (m_aside_count > 0) {
    ReturnAllIfAllAreSlow(now_us);
  }
}

void OutlierDetector::PutAside(Server& server, int64_t length_us, int64_t now_us) {
  server.aside = true;
  server.aside_length_us = length_us;
  server.aside_since_us = now_us;
  server.aside_until_us = now_us + length_us;
  server.probe_at_answer = m_answers + m_options.answers_before_probe;
  server.good_probes = 0;
}

void OutlierDetector::Return(Server& server, int64_t now_us) {
  server = Server{};
  server.ignore_reports_until_us = now_us + kReportPauseUs;
  --m_aside_count;
}

// When the servers in use have become as slow, the reason is not a neighbour of the servers aside,
// and fewer servers make it worse.
void OutlierDetector::ReturnAllIfAllAreSlow(int64_t now_us) {
  if (MedianOfOthers(nullptr, now_us) <= std::log(m_options.slow_ratio)) return;
  for (auto& [name, server] : m_servers) {
    if (server.aside) Return(server, now_us);
  }
}

void OutlierDetector::ProbeEnded(Server& server, double log_ratio, int64_t now_us) {
  server.probe_sent_us = -1;
  if (log_ratio - MedianOfOthers(&server, now_us) > std::log(m_options.return_ratio)) {
    PutAside(server, std::min(2 * server.aside_length_us, m_options.max_aside_us), now_us);
    return;
  }
  if (++server.good_probes >= m_options.probes_to_return) Return(server, now_us);
}

void OutlierDetector::OnAnswer(const ServerAnswer& answer, int64_t now_us) {
  auto server = m_servers.find(answer.node);
  if (server == m_servers.end()) return;
  ++m_answers;
  Sampled(server->second, LogRatioOf(answer), answer.reported_service_us, now_us);
}

void OutlierDetector::OnFailure(std::string_view node, int64_t now_us) {
  auto server = m_servers.find(node);
  if (server != m_servers.end()) Sampled(server->second, kMaxLogRatio, 0, now_us);
}

void OutlierDetector::OnProbeSent(std::string_view node, int64_t now_us) {
  auto server = m_servers.find(node);
  if (server != m_servers.end() && server->second.aside) server->second.probe_sent_us = now_us;
}

EjectionState OutlierDetector::EjectionStateOf(std::string_view node, int64_t now_us) const {
  auto found = m_servers.find(node);
  if (found == m_servers.end() || !found->second.aside) return EjectionState::kActive;
  const Server& server = found->second;
  bool is_probing = server.probe_sent_us >= 0 && now_us - server.probe_sent_us < kProbeTimeoutUs;
  if (now_us < server.aside_until_us || is_probing) return EjectionState::kEjected;
  bool is_probe_due = m_answers >= server.probe_at_answer ||
                      now_us - server.aside_since_us >= m_options.quiet_probe_us;
  return is_probe_due ? EjectionState::kProbeDue : EjectionState::kEjected;
}

void SetServers(OutlierPolicy& policy, std::span<const std::string_view> nodes) {
  std::visit([&](auto& p) { p.SetServers(nodes); }, policy);
}

void OnAnswer(OutlierPolicy& policy, const ServerAnswer& answer, int64_t now_us) {
  std::visit([&](auto& p) { p.OnAnswer(answer, now_us); }, policy);
}

void OnFailure(OutlierPolicy& policy, std::string_view node, int64_t now_us) {
  std::visit([&](auto& p) { p.OnFailure(node, now_us); }, policy);
}

void OnProbeSent(OutlierPolicy& policy, std::string_view node, int64_t now_us) {
  std::visit([&](auto& p) { p.OnProbeSent(node, now_us); }, policy);
}

EjectionState EjectionStateOf(const OutlierPolicy& policy, std::string_view node, int64_t now_us) {
  return std::visit([&](const auto& p) { return p.EjectionStateOf(node, now_us); }, policy);
}

}  // namespace guavatrail
