#include "quota_enforcer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace guavatrail {

namespace {

constexpr double kUsPerSecond = 1'000'000.0;
// Time from the start of a node until it is a group of one if no coordinator has replied.
constexpr int64_t kStartUs = 500'000;
// Requests that all nodes together may admit in that time, beyond one second's quota. All may start
// at once during a surge, so that admitting freely would exceed the bound.
constexpr double kStartRequests = 10;
// The part of the former group that the group of another coordinator must have.
constexpr double kMinGroupPart = 0.9;
// Age of the last reply, beyond a period, from which the next one is overdue.
constexpr int64_t kOverdueUs = 120'000;
// Without a limit of the coordinator, a silent one lets a node admit this multiple of its former
// demand, and some requests and those of this time more. A smaller burst refuses steady demand
// whenever one message is lost; with a larger one, nodes that lose the coordinator during a surge
// exceed quotas of some 50 requests a second.
constexpr double kSilentMargin = 1.5;
constexpr double kMinSilentBurst = 1;
constexpr double kMaxSilentBurst = 2;
constexpr double kSilentBurstS = 0.4;
constexpr double kMinRateTimeS = 1;
// Requests of this time before a reply do not count as former demand, since a surge may have begun
// of which the coordinator does not know yet.
constexpr int64_t kSurgeUs = 600'000;
constexpr double kMsPerSecond = 1'000.0;
// Callers are asked to wait longer the fewer requests are admitted, at most this many seconds.
constexpr double kMaxRetryAfterS = 4;

double SecondsBetween(int64_t from_us, int64_t to_us) {
  return static_cast<double>(std::max<int64_t>(0, to_us - from_us)) / kUsPerSecond;
}

double Net(const QuotaCounters& counters) {
  return static_cast<double>(counters.admitted) - static_cast<double>(counters.returned);
}

}  // namespace

QuotaEnforcer::QuotaEnforcer(std::string node, uint64_t process, RandomSource& random)
    : m_node(std::move(node)), m_process(process), m_random(random) {}

void QuotaEnforcer::SetQuotas(const std::map<std::string, Workspace, std::less<>>& workspaces,
                              int64_t now_us) {
  std::erase_if(m_workspaces, [&](const auto& item) {
    auto it = workspaces.find(item.first);
    return it == workspaces.end() || !HasQuota(it->second);
  });
  for (const auto& [name, workspace] : workspaces) {
    if (!HasQuota(workspace)) continue;
    auto [it, is_new] = m_workspaces.try_emplace(name);
    State& state = it->second;
    state.rate_per_s = workspace.rate_per_s;
    state.capacity = QuotaCapacity(workspace);
    if (is_new) {
      state.own_tokens = state.capacity;
      state.own_updated_us = now_us;
      // Nodes admit small workspaces in turn instead of at the same time.
      state.credit = m_random.Unit();
    }
    state.own_tokens = std::min(state.own_tokens, state.capacity);
  }
  if (m_start_us < 0 && !m_workspaces.empty()) m_start_us = now_us;
}

bool QuotaEnforcer::HasOwnToken(State& state, int64_t now_us) {
  double elapsed_s = SecondsBetween(state.own_updated_us, now_us);
  state.own_tokens = std::min(state.capacity, state.own_tokens + state.rate_per_s * elapsed_s);
  state.own_updated_us = now_us;
  return state.own_tokens >= 1;
}

void QuotaEnforcer::RefillLimit(State& state, int64_t now_us) {
  double elapsed_s = SecondsBetween(state.limit_updated_us, now_us);
  state.limit_updated_us = now_us;
  double tokens = state.limit_tokens + state.limit->rate_per_s * elapsed_s;
  state.limit_tokens = std::min(state.limit->burst, tokens);
}

double QuotaEnforcer::PartOf(double rate_per_s) const {
  return rate_per_s / static_cast<double>(std::max<size_t>(1, m_nodes));
}

// A surge may have begun at the moment at which the coordinator failed.
void QuotaEnforcer::LimitIfSilent(State& state, int64_t now_us) const {
  if (state.limit || now_us - m_sent_us < QuotaPeriodUs(m_nodes) + kOverdueUs) return;
  double rate_per_s = std::max(kSilentMargin * state.recent_per_s, PartOf(state.rate_per_s));
  double burst = std::clamp(PartOf(state.rate_per_s) / 2, kMinSilentBurst, kMaxSilentBurst) +
                 kSilentBurstS * state.recent_per_s;
  state.limit = QuotaLimit{.share = 1, .rate_per_s = rate_per_s, .burst = burst};
  // Of the callers that repeat refused requests at many nodes, not all are admitted at once.
  state.limit_tokens = burst - m_random.Unit() / 2;
  state.limit_updated_us = now_us;
}

// Thins the requests to the share evenly, so that a share of 1 in 10 admits every tenth.
bool QuotaEnforcer::TakeWithinLimit(State& state, int64_t now_us) {
  LimitIfSilent(state, now_us);
  if (!state.limit) return true;
  RefillLimit(state, now_us);
  state.credit = std::min(1.0 + state.limit->share, state.credit + state.limit->share);
  bool is_admitted = state.credit >= 1 && state.limit_tokens >= 1;
  if (state.credit >= 1) state.credit -= 1;
  if (is_admitted) state.limit_tokens -= 1;
  return is_admitted;
}

bool QuotaEnforcer::TakeUncoordinated(State& state, int64_t now_us) {
  UncoordinatedTokens& lone = state.lone;
  double rate_per_s = PartOf(state.rate_per_s);
  if (state.uncoordinated_updated_us < 0) {
    // No token is left over from before the node was alone, and what it has admitted since the last
    // reply beyond its part is paid back.
    state.uncoordinated_updated_us =
        m_has_reply ? m_valid_until_us : std::min(now_us, m_start_us + kStartUs);
    double alone_s =
        SecondsBetween(m_has_reply ? m_sent_us : m_start_us, state.uncoordinated_updated_us);
    double debt = std::max(0.0, Net(state.counters) - state.net_at_reply - rate_per_s * alone_s);
    lone = {.produced = m_random.Unit() - debt};
  }
  lone.produced += rate_per_s * SecondsBetween(state.uncoordinated_updated_us, now_us);
  state.uncoordinated_updated_us = now_us;
  // A token is kept for as long as the bucket takes to fill.
  double kept = rate_per_s * state.capacity / state.rate_per_s;
  lone.first_unused = std::max(lone.first_unused, std::ceil(lone.produced - kept));
  if (lone.first_unused > lone.produced) return false;
  lone.first_unused += 1;
  return true;
}

bool QuotaEnforcer::IsAdmitted(State& state, int64_t now_us) {
  if (!HasOwnToken(state, now_us)) return false;
  if (IsCoordinated(now_us)) return TakeWithinLimit(state, now_us);
  if (m_has_reply || now_us - m_start_us >= kStartUs) return TakeUncoordinated(state, now_us);
  if (!state.start_tokens) {
    state.start_tokens = PartOf(state.rate_per_s + kStartRequests) + m_random.Unit();
  }
  if (*state.start_tokens < 1) return false;
  *state.start_tokens -= 1;
  return true;
}

void QuotaEnforcer::MarkActive(State& state, int64_t now_us) {
  if (state.snapshots.empty()) state.snapshots.push_back({now_us, state.counters});
  state.last_request_us = now_us;
}

double QuotaEnforcer::RecentPerS(const State& state, int64_t now_us) {
  if (state.snapshots.empty()) return 0;
  const Snapshot& oldest = state.snapshots.front();
  auto after = std::upper_bound(
      state.snapshots.begin(), state.snapshots.end(), now_us - kSurgeUs,
      [](int64_t time_us, const Snapshot& snapshot) { return time_us < snapshot.time_us; });
  if (after == state.snapshots.begin()) return 0;
  const Snapshot& latest = *std::prev(after);
  auto requests = static_cast<double>(latest.counters.offered - oldest.counters.offered);
  return requests / std::max(kMinRateTimeS, SecondsBetween(oldest.time_us, latest.time_us));
}

int64_t QuotaEnforcer::RetryAfterMs(const State& state) const {
  double share = state.limit ? state.limit->share : 1;
  double wait_s = 1 / std::max(share, 1 / kMaxRetryAfterS);
  // Callers that were refused at the same time are not to return at the same time.
  constexpr double kMinPart = 0.75;
  double part = kMinPart + m_random.Unit() * 2 * (1 - kMinPart);
  return static_cast<int64_t>(wait_s * part * kMsPerSecond);
}

tl::expected<void, QuotaRefusal> QuotaEnforcer::Admit(std::string_view workspace, int64_t now_us) {
  auto it = m_workspaces.find(workspace);
  if (it == m_workspaces.end()) return {};
  State& state = it->second;
  MarkActive(state, now_us);
  ++state.counters.offered;
  if (!IsAdmitted(state, now_us)) {
    return tl::make_unexpected(QuotaRefusal{.retry_after_ms = RetryAfterMs(state)});
  }
  ++state.counters.admitted;
  state.own_tokens -= 1;
  return {};
}

void QuotaEnforcer::Return(std::string_view workspace, int64_t now_us) {
  auto it = m_workspaces.find(workspace);
  if (it == m_workspaces.end()) return;
  State& state = it->second;
  // The workspace may have been removed and added again since the request was admitted.
  if (state.counters.returned >= state.counters.admitted) return;
  MarkActive(state, now_us);
  ++state.counters.returned;
  state.own_tokens = std::min(state.capacity, state.own_tokens + 1);
}

QuotaReport QuotaEnforcer::MakeReport(int64_t now_us) {
  QuotaReport report{.node = m_node,
                     .process = m_process,
                     .time_us = now_us,
                     .base_time_us = std::max(now_us - QuotaBaseAgeUs(m_nodes), m_start_us)};
  for (auto& [name, state] : m_workspaces) {
    if (state.snapshots.empty()) continue;
    if (now_us - state.last_request_us > QuotaBaseAgeUs(m_nodes)) {
      state.snapshots.clear();
      continue;
    }
    while (state.snapshots.size() > 1 &&
           state.snapshots[1].time_us <= now_us - QuotaBaseAgeUs(m_nodes)) {
      state.snapshots.pop_front();
    }
    if (report.usages.size() >= kMaxQuotaEntries) break;
    report.usages.push_back(
        {.workspace = name, .total = state.counters, .base = state.snapshots.front().counters});
    state.snapshots.push_back({now_us, state.counters});
  }
  return report;
}

bool QuotaEnforcer::OnReply(std::string_view coordinator, int64_t sent_us, const QuotaReply& reply,
                            int64_t now_us) {
  bool is_late =
      sent_us + QuotaReplyValidUs(m_nodes) <= now_us || (m_has_reply && sent_us < m_sent_us);
  if (is_late) return false;
  bool is_other = IsCoordinated(now_us) && coordinator != m_coordinator;
  if (is_other && reply.reporting_share < kMinGroupPart * m_group) return false;
  m_has_reply = true;
  m_coordinator = coordinator;
  m_group = reply.reporting_share;
  m_sent_us = sent_us;
  m_valid_until_us = sent_us + QuotaReplyValidUs(m_nodes);
  auto next = reply.limits.begin();
  for (auto& [name, state] : m_workspaces) {
    while (next != reply.limits.end() && next->workspace < name) ++next;
    bool is_listed = next != reply.limits.end() && next->workspace == name;
    state.uncoordinated_updated_us = -1;
    state.net_at_reply = Net(state.counters);
    state.recent_per_s = RecentPerS(state, now_us);
    bool was_limited = state.limit.has_value();
    if (was_limited) RefillLimit(state, now_us);
    if (!is_listed) {
      state.limit.reset();
      continue;
    }
    state.limit = *next;
    state.limit_tokens = was_limited ? std::min(state.limit_tokens, next->burst) : next->burst;
    state.limit_updated_us = now_us;
  }
  return true;
}

}  // namespace guavatrail
