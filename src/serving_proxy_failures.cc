// The part of ServingProxy that evaluates failures of the backend server, and finds out which
// requests crash it.
#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <set>

#include "request_fingerprint.h"
#include "serving_call.h"

namespace guavatrail {

namespace {

std::vector<std::string> FingerprintsOf(const std::vector<RunningRequest>& running) {
  std::set<std::string> fingerprints;
  for (const RunningRequest& request : running) fingerprints.insert(request.fingerprint);
  return {fingerprints.begin(), fingerprints.end()};
}

std::vector<RunningFamily> FamiliesOf(const std::vector<RunningRequest>& running) {
  std::map<std::string, int64_t> starts;
  for (const RunningRequest& request : running) {
    int64_t& start_us = starts.emplace(request.family, request.start_us).first->second;
    start_us = std::min(start_us, request.start_us);
  }
  std::vector<RunningFamily> families;
  families.reserve(starts.size());
  for (const auto& [fingerprint, start_us] : starts) families.push_back({fingerprint, start_us});
  return families;
}

}  // namespace

void ServingProxy::SetCrashBlame(CrashBlame& blame, SuspectObserver on_change) {
  m_blame = &blame;
  m_on_suspects_changed = std::move(on_change);
}

// Records the result of a request in the failure rate of the backend server. A server that breaks
// off consecutive requests is reported as unreachable: it gets no work until its next report, and
// after that only until it breaks off another request.
void ServingProxy::RecordServerResult(const Call& call, ExchangeResult result) {
  if (result == ExchangeResult::kNotSent || call.server != m_gate.server) return;
  if (result == ExchangeResult::kBroken) {
    m_failures.OnBrokenConnection();
  } else if (!call.refusal.empty() || call.server_status >= kFirstServerError) {
    m_failures.OnFailure();
  } else {
    m_failures.OnSuccess();
  }
  if (call.refusal.empty()) {
    ReportResult(call,
                 result == ExchangeResult::kBroken || call.server_status >= kFirstServerError);
  }
  if (!m_failures.is_unreachable() || !m_gate.is_open) return;
  LOG(WARNING) << "event=server_breaks_off server=" << call.server.id
               << " failing_percent=" << m_failures.percent();
  if (m_observer.on_unreachable) m_observer.on_unreachable(call.server.id);
}

// For a rollout, it counts as an answer that took this long.
void ServingProxy::RecordTimeout(const Call& call) {
  if (call.server != m_gate.server) return;
  m_failures.OnFailure();
  ReportResult(call, false);
}

void ServingProxy::ReportResult(const Call& call, bool is_failure) const {
  if (!m_on_result || call.server != m_gate.server) return;
  m_on_result({call.work.name, is_failure, EventLoop::NowUs() - call.start_us});
}

bool ServingProxy::IsRunning(uint64_t id) const {
  auto it = m_calls.find(id);
  return it != m_calls.end() && it->second->phase == Call::Phase::kRunning;
}

// A request of which no byte was sent cannot have crashed the server. A server that is leaving ends
// by itself and cuts off what is still running.
void ServingProxy::OnBrokenOff(const Call& call) {
  if (m_blame == nullptr || m_crash_detector.is_checking()) return;
  if (call.server != m_gate.server || m_gate.is_leaving) return;
  std::vector<RunningRequest> running;
  for (const auto& [id, other] : m_calls) {
    bool is_sent = other->exchange != nullptr && other->exchange->may_have_been_sent();
    if (other->phase != Call::Phase::kRunning || !is_sent || other->server != call.server) continue;
    running.push_back({id, other->start_us, FingerprintOf(*other->downstream),
                       FamilyFingerprintOf(*other->downstream, other->workspace.name),
                       IsTrial(*other->downstream)});
  }
  m_crash_detector.OnBrokenOff(call.server, std::move(running));
}

// Whether the node must not run the request now: its server has crashed while it ran the request,
// or another copy of it has not been answered yet.
bool ServingProxy::IsContainedHere(const DownstreamRequest& request) const {
  int64_t now_us = EventLoop::NowUs();
  if (m_containment == nullptr || !m_containment->IsActive(now_us)) return false;
  std::string fingerprint = FingerprintOf(request);
  if (!m_containment->IsContained(fingerprint, now_us)) return false;
  if (m_containment->HasCrashedHere(fingerprint)) return true;
  return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& item) {
    return item.second->phase != Call::Phase::kEnded && item.second->fingerprint == fingerprint;
  });
}

void ServingProxy::OnServerCrashed(const ServerLifetime& server,
                                   const std::vector<RunningRequest>& running) {
  std::vector<std::string> fingerprints = FingerprintsOf(running);
  std::string lifetime = std::to_string(server.started_ms) + "/" + server.id;
  if (m_containment != nullptr) {
    for (const std::string& fingerprint : fingerprints) {
      m_containment->OnCrashHere(fingerprint, EventLoop::NowUs());
    }
  }
  std::vector<std::string> blamed = m_blame->OnCrash(lifetime, fingerprints, EventLoop::NowUs());
  std::vector<std::string> families =
      m_blame->OnFamilyCrash(lifetime, FamiliesOf(running), blamed, EventLoop::NowUs());
  blamed.insert(blamed.end(), families.begin(), families.end());
  // Earlier quarantines may be lost, and the request may have used up its trials then. A crash on a
  // trial leaves no doubt, neither of the request nor of its family.
  bool is_containing = m_containment != nullptr && m_containment->IsActive(EventLoop::NowUs());
  bool has_trial = std::any_of(running.begin(), running.end(),
                               [](const RunningRequest& request) { return request.is_trial; });
  if (is_containing || has_trial) m_blame->ForbidTrials(blamed);
  LOG(WARNING) << "event=crash_blamed server=" << server.id << " running=" << fingerprints.size()
               << " blamed=" << blamed.size() << " suspects=" << m_blame->size();
  m_metrics.GetCounter("server_crashes_total").Add();
  if (!blamed.empty()) m_on_suspects_changed(blamed);
  if (server == m_gate.server && m_observer.on_unreachable) m_observer.on_unreachable(server.id);
}

// A server that answers has survived the request. Its own failures do not count as answers, since a
// server may report one while it goes down.
void ServingProxy::OnServerAnswer(const Call& call) {
  m_crash_detector.OnAnswered(call.id);
  if (!call.refusal.empty() || call.server_status >= kFirstServerError) return;
  if (!call.fingerprint.empty()) {
    m_containment->OnAnswered(call.fingerprint, EventLoop::NowUs());
  }
  bool is_trial = IsTrial(*call.downstream);
  if (m_blame == nullptr || (m_blame->empty() && !is_trial)) return;
  int64_t now_us = EventLoop::NowUs();
  for (const std::string& fingerprint :
       {FingerprintOf(*call.downstream),
        FamilyFingerprintOf(*call.downstream, call.workspace.name)}) {
    if (is_trial) {
      m_blame->OnTrialAnswered(fingerprint, now_us);
      m_on_suspects_changed({fingerprint});
    } else if (m_blame->OnAnswered(fingerprint, now_us)) {
      m_on_suspects_changed({fingerprint});
    }
  }
}

}  // namespace guavatrail
