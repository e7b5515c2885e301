#include "server_picker.h"

#include <algorithm>
#include <vector>

namespace guavatrail {

namespace {

// Back-off after a refusal by a draining server or by a server of another service. For this long
// the endpoint list may not show yet that the server has left.
constexpr int64_t kDrainBackoffMs = 5'000;
// Back-off after a refusal by a node that is stopping or has no server. A node that restarts, or
// whose server restarts, may accept work again at any moment.
constexpr int64_t kAbsentBackoffMs = 1'000;
// After a failed exchange with a node, its server counts as absent for this time in the choice
// between canaries and other servers.
constexpr int64_t kUnreachableMs = 3'000;
// What a node stated about its server is kept for this time after the node was last listed.
constexpr int64_t kStatementRetentionUs = 60'000'000;
constexpr int64_t kUsPerMs = 1000;

// Back-off after a node refused a call for `reason`; 0: the time that the node asked for.
int64_t BackoffMsFor(std::string_view reason) {
  if (reason == kReasonDraining || reason == kReasonWrongService) return kDrainBackoffMs;
  if (reason == kReasonStopping || reason == kReasonNoServer) return kAbsentBackoffMs;
  return 0;
}

// Placement by completion time already sends less work to a slow server, so an ejection only has to
// cover the time until the first load reports. The default options would delay the return of a
// recovered server by more than 10 s when each entry node has few calls.
OutlierDetector::Options QuickReinstatement() {
  return {.probes_to_reinstate = 1,
          .base_ejection_us = 500'000,
          .max_ejection_us = 2'000'000,
          .answers_before_probe = 10,
          .max_probe_delay_us = 2'000'000};
}

bool IsLive(const Endpoint& endpoint) {
  bool is_member = endpoint.state == MemberState::kAlive || endpoint.state == MemberState::kSuspect;
  return is_member && !endpoint.draining;
}

bool IsUsable(const Endpoint& endpoint, MemberState state, const std::set<std::string>& excluded) {
  return endpoint.state == state && !endpoint.draining && !excluded.contains(endpoint.node);
}

}  // namespace

ServerPicker::ServerPicker(const Settings& settings, RandomSource& random)
    : m_placement_name(settings.calls.placement),
      m_local_data_centre(settings.node.data_centre),
      m_retry_share(settings.calls.retry_budget),
      m_hedge_share(settings.calls.hedge_budget),
      m_shared_retry_reserve(settings.calls.shared_retry_reserve),
      m_random(random),
      m_endpoints(std::make_shared<const EndpointList>()) {}

ServerPicker::Service& ServerPicker::ServiceOf(std::string_view name) {
  auto it = m_services.find(name);
  if (it != m_services.end()) return it->second;
  PlacementPolicy placement = TwoChoices({.local_data_centre = m_local_data_centre});
  OutlierDetector::Options outliers;
  if (m_placement_name == "round_robin") placement = RoundRobin{};
  if (m_placement_name == "completion_time") {
    placement = CompletionTime({.local_data_centre = m_local_data_centre});
    outliers = QuickReinstatement();
  }
  HedgePolicy hedges = NoHedge{};
  if (m_hedge_share > 0) hedges = PercentileHedge({.share = m_hedge_share});
  Service service{std::move(placement), OutlierDetector(outliers),
                  TokenRetryBudget({.share = m_retry_share, .reserve = RetryReserve()}),
                  std::move(hedges)};
  return m_services.emplace(std::string(name), std::move(service)).first->second;
}

double ServerPicker::RetryReserve() const {
  if (m_shared_retry_reserve <= 0) return TokenRetryBudget::Options().reserve;
  return m_shared_retry_reserve /
         static_cast<double>(std::max<size_t>(1, m_endpoints->all().size()));
}

void ServerPicker::SetEndpoints(std::shared_ptr<const EndpointList> endpoints, int64_t now_us) {
  if (endpoints == m_endpoints) return;
  std::map<std::string_view, std::vector<std::string_view>> by_service;
  for (const Endpoint& endpoint : endpoints->all()) {
    const Endpoint* before = m_endpoints->FindNode(endpoint.node);
    if (before != nullptr && before->incarnation != endpoint.incarnation) {
      m_tracker.RemoveServer(endpoint.node);
    }
    m_tracker.AddServer(endpoint.node, now_us);
    // Servers that get no calls must not count towards the limit that at most half of the servers
    // of a service are ejected.
    std::vector<std::string_view>& usable = by_service[endpoint.service];
    if (IsLive(endpoint)) usable.push_back(endpoint.node);
  }
  for (const Endpoint& before : m_endpoints->all()) {
    if (endpoints->FindNode(before.node) == nullptr) m_tracker.RemoveServer(before.node);
  }
  for (auto& [name, nodes] : by_service) SetServers(ServiceOf(name).outliers, nodes, now_us);
  m_endpoints = std::move(endpoints);
  RemoveOldStatements(now_us);
  for (auto& [name, service] : m_services) SetReserve(service.retries, RetryReserve());
}

// A node may leave the list for a moment, when its entry has expired during an outage of the
// platform, and still must be told of the leave of its server.
void ServerPicker::RemoveOldStatements(int64_t now_us) {
  std::erase_if(m_absent_until_us, [&](const auto& entry) { return entry.second <= now_us; });
  std::erase_if(m_server_statements, [&](const auto& entry) {
    bool is_listed = m_endpoints->FindNode(entry.first) != nullptr;
    return !is_listed && now_us - entry.second.received_us > kStatementRetentionUs;
  });
}

bool ServerPicker::IsIn(Pool pool, const Endpoint& endpoint) {
  return pool == Pool::kAll || endpoint.is_canary == (pool == Pool::kCanary);
}

bool ServerPicker::HasLocal(Pool pool, std::string_view service) const {
  const std::vector<size_t>& indices = m_endpoints->OfService(service);
  return std::any_of(indices.begin(), indices.end(), [this, pool](size_t index) {
    const Endpoint& endpoint = m_endpoints->all()[index];
    return IsLive(endpoint) && IsIn(pool, endpoint) && endpoint.data_centre == m_local_data_centre;
  });
}

bool ServerPicker::IsLocal(std::string_view node) const {
  const Endpoint* endpoint = m_endpoints->FindNode(node);
  return endpoint != nullptr && endpoint->data_centre == m_local_data_centre;
}

bool ServerPicker::IsAbsent(const std::string& node, int64_t now_us) const {
  auto it = m_absent_until_us.find(node);
  return it != m_absent_until_us.end() && now_us < it->second;
}

// A server that refuses calls because it is busy does not count as absent: under overload, the
// canaries would else get the calls that the other servers refuse.
ServerPicker::Pool ServerPicker::PoolFor(std::string_view service,
                                         const std::set<std::string>& excluded, int64_t now_us) {
  const std::vector<size_t>& indices = m_endpoints->OfService(service);
  auto has_server = [&](bool is_canary) {
    return std::any_of(indices.begin(), indices.end(), [&](size_t index) {
      const Endpoint& endpoint = m_endpoints->all()[index];
      return endpoint.is_canary == is_canary && IsLive(endpoint) &&
             !IsAbsent(endpoint.node, now_us);
    });
  };
  // Mostly there are no canaries, so they are looked for first.
  if (!has_server(true) || !has_server(false)) return Pool::kAll;
  if (!excluded.empty()) return Pool::kRegular;
  std::optional<CanaryShare>& canaries = ServiceOf(service).canaries;
  if (!canaries) canaries.emplace(m_random.Unit());
  return canaries->OnCall() ? Pool::kCanary : Pool::kRegular;
}

const Endpoint* ServerPicker::Pick(std::string_view service, const std::set<std::string>& excluded,
                                   bool may_probe, bool local_only, int64_t now_us) {
  Pool pool = PoolFor(service, excluded, now_us);
  const Endpoint* server = PickFrom(pool, service, excluded, may_probe, local_only, now_us);
  if (server != nullptr || pool != Pool::kCanary) return server;
  return PickFrom(Pool::kRegular, service, excluded, may_probe, local_only, now_us);
}

// Returns null if `pool` is kCanary and all canaries are backed off.
const Endpoint* ServerPicker::PickFrom(Pool pool, std::string_view service,
                                       const std::set<std::string>& excluded, bool may_probe,
                                       bool local_only, int64_t now_us) {
  // A canary may be in another data centre than the caller.
  local_only = local_only && pool != Pool::kCanary;
  bool is_restricted = local_only && HasLocal(pool, service);
  Service& state = ServiceOf(service);
  std::vector<PlacementCandidate> candidates;
  std::vector<const Endpoint*> servers;
  // Suspected servers are used only if there is no other, since a suspicion may be false.
  for (MemberState member_state : {MemberState::kAlive, MemberState::kSuspect}) {
    for (size_t index : m_endpoints->OfService(service)) {
      const Endpoint& endpoint = m_endpoints->all()[index];
      if (!IsUsable(endpoint, member_state, excluded)) continue;
      if (!IsIn(pool, endpoint)) continue;
      if (is_restricted && endpoint.data_centre != m_local_data_centre) continue;
      // Canaries keep their share of the calls also if they are slow: the rollout decides on their
      // answers, and without any it could not.
      EjectionState ejection = pool == Pool::kCanary
                                   ? EjectionState::kActive
                                   : EjectionStateOf(state.outliers, endpoint.node, now_us);
      if (ejection == EjectionState::kProbeDue && may_probe) {
        OnProbeSent(state.outliers, endpoint.node, now_us);
        return &endpoint;
      }
      PlacementCandidate candidate{
          .node = endpoint.node, .data_centre = endpoint.data_centre, .slots = endpoint.slots};
      m_tracker.FillCandidate(candidate, now_us);
      candidate.is_backed_off = candidate.is_backed_off || ejection != EjectionState::kActive;
      bool is_absent = candidate.is_backed_off || IsAbsent(endpoint.node, now_us);
      if (pool == Pool::kCanary && is_absent) continue;
      candidates.push_back(candidate);
      servers.push_back(&endpoint);
    }
    if (!candidates.empty()) break;
  }
  std::optional<size_t> chosen = Choose(state.placement, candidates, m_random);
  return chosen ? servers[*chosen] : nullptr;
}

void ServerPicker::OnCall(std::string_view service) {
  Service& state = ServiceOf(service);
  guavatrail::OnCall(state.retries);
  guavatrail::OnCall(state.hedges);
}

void ServerPicker::OnCallSent(std::string_view node, int64_t now_us) {
  m_tracker.OnCallSent(node, now_us);
}

void ServerPicker::OnCallEnded(std::string_view node) { m_tracker.OnCallEnded(node); }

void ServerPicker::OnAnswerHeaders(std::string_view service, std::string_view node,
                                   const HeaderList& headers, int64_t now_us) {
  const std::string* text = FindHeader(headers, kLoadHeader);
  std::optional<ServerLoad> load = text == nullptr ? std::nullopt : ParseLoad(*text);
  if (load) m_tracker.OnLoadReport(node, *load, now_us);
  // A node that states nothing may have restarted, so the earlier statement is kept for it.
  const std::string* statement = FindHeader(headers, kServerStatementHeader);
  if (statement != nullptr) m_server_statements[std::string(node)] = {*statement, now_us};
  if (!HasOutcome(headers, kOutcomeNotRun)) return;
  if (int64_t backoff_ms = BackoffMsFor(HeaderValue(headers, kReasonHeader)); backoff_ms > 0) {
    m_tracker.OnRefusal(node, backoff_ms, now_us);
    m_absent_until_us[std::string(node)] = now_us + backoff_ms * kUsPerMs;
    return;
  }
  // A quarantine or containment concerns the request and not the node.
  std::string_view reason = HeaderValue(headers, kReasonHeader);
  if (reason == kReasonQuarantined || reason == kReasonContained) return;
  int64_t retry_after_ms = HeaderNumber(headers, kRetryAfterMsHeader);
  if (retry_after_ms <= 0) return;
  m_tracker.OnRefusal(node, retry_after_ms, now_us);
  OnRefusal(ServiceOf(service).hedges, now_us);
}

std::string_view ServerPicker::ServerStatementOf(std::string_view node) const {
  auto it = m_server_statements.find(node);
  return it == m_server_statements.end() ? std::string_view() : it->second.text;
}

void ServerPicker::OnAnswer(std::string_view service, std::string_view kind, std::string_view node,
                            int64_t service_us, int64_t latency_us, int64_t now_us) {
  Service& state = ServiceOf(service);
  // At a low call rate an entry node sees too few answers itself, while the server's node has
  // measured all of them.
  guavatrail::OnAnswer(state.outliers,
                       {.node = node,
                        .kind = kind,
                        .service_us = service_us,
                        .reported_service_us = m_tracker.ReportedServiceUs(node)},
                       now_us);
  guavatrail::OnAnswer(state.hedges, kind, latency_us, now_us);
}

void ServerPicker::OnFailure(std::string_view service, std::string_view node, int64_t now_us) {
  guavatrail::OnFailure(ServiceOf(service).outliers, node, now_us);
  m_absent_until_us[std::string(node)] = now_us + kUnreachableMs * kUsPerMs;
}

bool ServerPicker::TakeRetry(std::string_view service) {
  Service& state = ServiceOf(service);
  if (!CanRetry(state.retries)) return false;
  OnRetry(state.retries);
  return true;
}

std::optional<int64_t> ServerPicker::HedgeDelayUs(std::string_view service, std::string_view kind,
                                                  int64_t now_us) const {
  auto it = m_services.find(service);
  if (it == m_services.end()) return std::nullopt;
  return guavatrail::HedgeDelayUs(it->second.hedges, kind, now_us);
}

bool ServerPicker::TakeHedge(std::string_view service, int64_t now_us) {
  Service& state = ServiceOf(service);
  if (!CanHedge(state.hedges, IsSpilling(state.placement), now_us)) return false;
  // A hedge is an additional request to the service, as a retry is.
  if (!TakeRetry(service)) return false;
  OnHedge(state.hedges);
  return true;
}

}  // namespace guavatrail
