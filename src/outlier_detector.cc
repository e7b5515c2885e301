#include "outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace guavatrail {

namespace {

// With fewer answers a single straggler would decide the median.
constexpr size_t kMinSamples = 4;
// A slowdown of the whole service shows on one server first. The other servers are therefore also
// judged by this many of their newest answers, which show a slowdown sooner than a full window.
constexpr size_t kNewest = 3;
// Older samples say nothing about a slowdown that starts and ends within seconds.
constexpr int64_t kSampleLifeUs = 2'000'000;
constexpr int64_t kReportLifeUs = 5'000'000;
// A report is already a mean over the requests of all entry nodes, so a single one suffices. The
// ratio is higher than for answers because reports mix work kinds.
constexpr double kSlowReportRatio = 4.0;
// After a server is reinstated, its node still reports the slow time until it has measured new
// requests.
constexpr int64_t kReportPauseUs = 3'000'000;
// A probe without an answer expires after this time, and another one may be sent.
constexpr int64_t kProbeTimeoutUs = 2'000'000;
// Log ratio that a failure counts as, and the upper bound for a single answer.
constexpr double kMaxLogRatio = 2.5;
// Step of the running median: large at first so that it converges, then small so that it stays
// stable.
constexpr double kFirstStep = 0.5;
constexpr double kLastStep = 0.02;

// The lower of the two middle values if the number of values is even: of two other servers, one of
// them slow, the fast one is the reference.
template <typename T>
T LowerMedian(std::vector<T>& values) {
  auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void OutlierDetector::SetServers(std::span<const std::string_view> nodes, int64_t now_us) {
  std::erase_if(m_servers, [&](const auto& entry) {
    bool gone = std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end();
    if (gone && entry.second.ejected) --m_ejected_count;
    return gone;
  });
  for (std::string_view node : nodes) m_servers.try_emplace(std::string(node));
  // With fewer servers the share of ejected ones may have become too large; those that would be
  // probed first are reinstated.
  while (m_ejected_count > m_servers.size() / 2) {
    Server* first = nullptr;
    for (auto& [name, server] : m_servers) {
      if (!server.ejected) continue;
      if (first == nullptr || server.ejected_until_us < first->ejected_until_us) first = &server;
    }
    Reinstate(*first, now_us);
  }
}

double OutlierDetector::LogRatioOf(const ServerAnswer& answer) {
  double log_us = std::log(static_cast<double>(std::max<int64_t>(1, answer.service_us)));
  auto entry = m_baselines.find(answer.kind);
  if (entry == m_baselines.end())
    entry = m_baselines.emplace(std::string(answer.kind), Baseline{}).first;
  Baseline& baseline = entry->second;
  if (baseline.samples++ == 0) baseline.log_us = log_us;
  double log_ratio = std::clamp(log_us - baseline.log_us, -kMaxLogRatio, kMaxLogRatio);
  double step = std::max(kLastStep, kFirstStep / static_cast<double>(baseline.samples));
  baseline.log_us += std::clamp(log_us - baseline.log_us, -step, step);
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
    if (&other == server || other.ejected) continue;
    others.push_back(std::max(MedianOf(other, kWindow, now_us), MedianOf(other, kNewest, now_us)));
  }
  return others.empty() ? 0 : LowerMedian(others);
}

int64_t OutlierDetector::ReportedByOthers(const Server& server, int64_t now_us) const {
  std::vector<int64_t> others;
  others.reserve(m_servers.size());
  for (const auto& [name, other] : m_servers) {
    bool is_fresh = other.reported_us > 0 && now_us - other.reported_at_us <= kReportLifeUs;
    if (&other != &server && !other.ejected && is_fresh) others.push_back(other.reported_us);
  }
  return others.empty() ? 0 : LowerMedian(others);
}

bool OutlierDetector::CanEject() const { return (m_ejected_count + 1) * 2 <= m_servers.size(); }

bool OutlierDetector::IsSlow(const Server& server, int64_t reported_us, int64_t now_us) const {
  double median = MedianOf(server, kWindow, now_us);
  double limit = std::log(m_options.slow_ratio);
  if (median > limit && median - MedianOfOthers(&server, now_us) > limit) return true;
  if (reported_us == 0 || now_us < server.ignore_reports_until_us) return false;
  int64_t others_us = ReportedByOthers(server, now_us);
  return others_us > 0 &&
         static_cast<double>(reported_us) > kSlowReportRatio * static_cast<double>(others_us);
}

void OutlierDetector::AddSample(Server& server, double log_ratio, int64_t reported_us,
                                int64_t now_us) {
  if (server.ejected) {
    // Answers to calls sent before the ejection say nothing about a recovery.
    if (server.probe_sent_us >= 0) OnProbeResult(server, log_ratio, now_us);
    return;
  }
  server.samples[server.sample_count++ % kWindow] = {log_ratio, now_us};
  if (reported_us > 0) {
    server.reported_us = reported_us;
    server.reported_at_us = now_us;
  }
  if (IsSlow(server, reported_us, now_us) && CanEject()) {
    server = Server{};
    ++m_ejected_count;
    Eject(server, m_options.base_ejection_us, now_us);
  } else if (m_ejected_count > 0) {
    ReinstateAllIfAllAreSlow(now_us);
  }
}

void OutlierDetector::Eject(Server& server, int64_t length_us, int64_t now_us) {
  server.ejected = true;
  server.ejection_length_us = length_us;
  server.ejected_since_us = now_us;
  server.ejected_until_us = now_us + length_us;
  server.probe_at_answer = m_answers + m_options.answers_before_probe;
  server.good_probes = 0;
}

void OutlierDetector::Reinstate(Server& server, int64_t now_us) {
  server = Server{};
  server.ignore_reports_until_us = now_us + kReportPauseUs;
  --m_ejected_count;
}

// If the servers in use have become as slow as the ejected ones, the cause is not a noisy neighbour
// of the ejected servers, and using fewer servers makes the slowdown worse.
void OutlierDetector::ReinstateAllIfAllAreSlow(int64_t now_us) {
  if (MedianOfOthers(nullptr, now_us) <= std::log(m_options.slow_ratio)) return;
  for (auto& [name, server] : m_servers) {
    if (server.ejected) Reinstate(server, now_us);
  }
}

void OutlierDetector::OnProbeResult(Server& server, double log_ratio, int64_t now_us) {
  server.probe_sent_us = -1;
  if (log_ratio - MedianOfOthers(&server, now_us) > std::log(m_options.reinstate_ratio)) {
    Eject(server, std::min(2 * server.ejection_length_us, m_options.max_ejection_us), now_us);
    return;
  }
  if (++server.good_probes >= m_options.probes_to_reinstate) Reinstate(server, now_us);
}

void OutlierDetector::OnAnswer(const ServerAnswer& answer, int64_t now_us) {
  auto server = m_servers.find(answer.node);
  if (server == m_servers.end()) return;
  ++m_answers;
  AddSample(server->second, LogRatioOf(answer), answer.reported_service_us, now_us);
}

void OutlierDetector::OnFailure(std::string_view node, int64_t now_us) {
  auto server = m_servers.find(node);
  if (server != m_servers.end()) AddSample(server->second, kMaxLogRatio, 0, now_us);
}

void OutlierDetector::OnProbeSent(std::string_view node, int64_t now_us) {
  auto server = m_servers.find(node);
  if (server != m_servers.end() && server->second.ejected) server->second.probe_sent_us = now_us;
}

EjectionState OutlierDetector::EjectionStateOf(std::string_view node, int64_t now_us) const {
  auto found = m_servers.find(node);
  if (found == m_servers.end() || !found->second.ejected) return EjectionState::kActive;
  const Server& server = found->second;
  bool is_probing = server.probe_sent_us >= 0 && now_us - server.probe_sent_us < kProbeTimeoutUs;
  if (now_us < server.ejected_until_us || is_probing) return EjectionState::kEjected;
  bool is_probe_due = m_answers >= server.probe_at_answer ||
                      now_us - server.ejected_since_us >= m_options.max_probe_delay_us;
  return is_probe_due ? EjectionState::kProbeDue : EjectionState::kEjected;
}

void SetServers(OutlierPolicy& policy, std::span<const std::string_view> nodes, int64_t now_us) {
  std::visit([&](auto& p) { p.SetServers(nodes, now_us); }, policy);
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
