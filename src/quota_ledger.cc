#include "quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace guavatrail {

namespace {

constexpr double kUsPerSecond = 1'000'000.0;
// The level of the bucket is spread over this time. Replies are valid for as long, so that nodes
// that lose the coordinator spend no more than the level.
constexpr double kLevelTimeS = 1;
// A bucket below this part of one second's quota, and of its capacity, is near the quota: a surge
// of several times the quota empties it before the nodes learn of it.
constexpr double kNearPart = 0.5;
// Time in which nodes follow a rise of the demand.
constexpr double kReactionS = 0.25;
// Requests by which demands of few requests vary between reports.
constexpr double kNoise = 8;
// Demand below this part of the quota needs no limit, unless there is a debt of more than the quota
// of this time and this many requests.
constexpr double kNearDemand = 0.8;
constexpr double kFreeDebtS = 0.1;
constexpr double kFreeDebt = 3;
// Debt is limited to the quota of this time, after which it no longer counts for the bound.
constexpr double kMaxDebtS = 5;
// A node may admit this multiple of the demand that the coordinator knows of it, and this many
// requests more, since its demand varies between reports. Less refuses requests of an uneven demand
// for which there would be tokens.
constexpr double kRateMargin = 1.25;
constexpr double kMinNodeBurst = 3;
// A node belongs to the group until it has missed two reports.
constexpr double kGroupPeriods = 2.5;
// Time after its begin in which a ledger saves no tokens.
constexpr int64_t kWarmUpUs = 1'000'000;
// After this time without reports the levels are unknown again.
constexpr int64_t kIdleUs = 3'000'000;
constexpr int64_t kIdlePeriods = 4;
constexpr int64_t kForgetNodeUs = 60'000'000;
// Nodes that are not listed yet may report, at least this many and as many as are listed.
constexpr size_t kMinUnlistedNodes = 64;
constexpr int64_t kForgetUsageUs = 10'000'000;
constexpr size_t kMinUsagesToForget = 64;
// The group is counted at most this often.
constexpr int64_t kCountUs = 20'000;
constexpr double kMinDemand = 1e-3;
constexpr double kLongTimeS = 1;
constexpr int64_t kMinRateUs = 100'000;

double Net(const QuotaCounters& counters) {
  return static_cast<double>(counters.admitted) - static_cast<double>(counters.returned);
}

bool IsBefore(const QuotaCounters& a, const QuotaCounters& b) {
  return a.offered <= b.offered && a.admitted <= b.admitted && a.returned <= b.returned;
}

}  // namespace

// A lower limit scales a debt down: it was made under the old limit, and paying it from the new one
// would refuse all requests for long.
void QuotaLedger::SetQuotas(const std::map<std::string, Workspace, std::less<>>& workspaces) {
  for (const auto& [name, workspace] : workspaces) {
    if (!HasQuota(workspace)) continue;
    auto [it, is_new] = m_buckets.try_emplace(name);
    Bucket& bucket = it->second;
    if (is_new) bucket.refilled_s = m_refill_s;
    if (bucket.level < 0 && workspace.rate_per_s < bucket.rate_per_s) {
      bucket.level *= workspace.rate_per_s / bucket.rate_per_s;
    }
    bucket.rate_per_s = workspace.rate_per_s;
    bucket.capacity = QuotaCapacity(workspace);
    bucket.level = std::min(bucket.level, bucket.capacity);
  }
  for (auto it = m_buckets.begin(); it != m_buckets.end();) {
    auto workspace = workspaces.find(it->first);
    if (workspace != workspaces.end() && HasQuota(workspace->second)) {
      ++it;
      continue;
    }
    m_limited.erase(it->first);
    for (auto& [name, node] : m_nodes) node.usages.erase(&it->second);
    it = m_buckets.erase(it);
  }
}

void QuotaLedger::SetNodes(std::set<std::string> nodes) {
  m_known = std::move(nodes);
  m_counted_us = -1;
}

bool QuotaLedger::IsRecent(const Node& node, int64_t now_us) const {
  auto period_us = static_cast<double>(QuotaPeriodUs(m_known.size()));
  return static_cast<double>(now_us - node.seen_us) <= kGroupPeriods * period_us;
}

// Counts nodes that report but are not listed, such as nodes that have just started.
size_t QuotaLedger::KnownNodes(int64_t now_us) const {
  size_t known = m_known.size();
  for (const auto& [name, node] : m_nodes) {
    if (IsRecent(node, now_us) && m_known.count(name) == 0) ++known;
  }
  return std::max<size_t>(1, known);
}

bool QuotaLedger::HasRoomFor(std::string_view node) const {
  if (m_nodes.contains(node) || m_known.contains(std::string(node))) return true;
  return m_nodes.size() < m_known.size() + std::max(kMinUnlistedNodes, m_known.size());
}

double QuotaLedger::GroupAt(int64_t now_us) const {
  auto recent = std::count_if(m_nodes.begin(), m_nodes.end(),
                              [&](const auto& item) { return IsRecent(item.second, now_us); });
  return static_cast<double>(recent) / static_cast<double>(KnownNodes(now_us));
}

double QuotaLedger::LevelOf(std::string_view workspace) const {
  auto it = m_buckets.find(workspace);
  return it == m_buckets.end() ? 0 : it->second.level;
}

void QuotaLedger::CountNodes(int64_t now_us) {
  for (auto it = m_nodes.begin(); it != m_nodes.end();) {
    Node& node = it->second;
    if (node.has_rates && !IsRecent(node, now_us)) RemoveRates(node);
    it = now_us - node.seen_us > kForgetNodeUs ? m_nodes.erase(it) : std::next(it);
  }
  m_known_count = KnownNodes(now_us);
  m_group = GroupAt(now_us);
  m_counted_us = now_us;
}

double QuotaLedger::CapacityOf(const Bucket& bucket, int64_t now_us) const {
  return now_us - m_first_us < kWarmUpUs ? 0 : bucket.capacity * m_group;
}

void QuotaLedger::Refill(Bucket& bucket, int64_t now_us) const {
  double tokens = bucket.rate_per_s * (m_refill_s - bucket.refilled_s);
  bucket.refilled_s = m_refill_s;
  bucket.level = std::min(CapacityOf(bucket, now_us), bucket.level + tokens);
  bucket.level = std::max(bucket.level, -kMaxDebtS * bucket.rate_per_s);
}

void QuotaLedger::Rates::Add(const Rates& rates, double factor) {
  demand = std::max(0.0, demand + factor * rates.demand);
  long_demand = std::max(0.0, long_demand + factor * rates.long_demand);
  admitted += factor * rates.admitted;
}

// Without an earlier report of the node on the workspace, what it has admitted since the base time
// counts.
void QuotaLedger::Count(Node& node, const QuotaUsage& usage, int64_t now_us) {
  auto it = m_buckets.find(usage.workspace);
  if (it == m_buckets.end()) return;
  Bucket& bucket = it->second;
  auto [entry, is_new] = node.usages.try_emplace(&bucket);
  Usage& last = entry->second;
  if (is_new) last.total = last.rated = usage.base;
  if (!IsBefore(last.total, usage.total)) return;
  Refill(bucket, now_us);
  bucket.level -= Net(usage.total) - Net(last.total);
  last.total = usage.total;
  last.seen_us = now_us;
}

// A report soon after another one, such as after a change of the coordinator, would make rates of
// too few requests.
void QuotaLedger::UpdateRates(Node& node, const QuotaReport& report) {
  if (node.has_rates && report.time_us - node.rated_us < kMinRateUs) return;
  double elapsed_s =
      static_cast<double>(std::max(report.time_us - node.rated_us, kMinRateUs)) / kUsPerSecond;
  double weight = node.has_rates ? 1 - std::exp(-elapsed_s / kLongTimeS) : 1;
  for (auto& [bucket, usage] : node.usages) {
    double demand = static_cast<double>(usage.total.offered - usage.rated.offered) / elapsed_s;
    Rates next{.demand = demand,
               .long_demand = usage.rates.long_demand + weight * (demand - usage.rates.long_demand),
               .admitted = (Net(usage.total) - Net(usage.rated)) / elapsed_s};
    if (node.has_rates) bucket->rates.Add(usage.rates, -1);
    bucket->rates.Add(next, 1);
    usage.rates = next;
    usage.rated = usage.total;
  }
  node.has_rates = true;
  node.rated_us = report.time_us;
}

void QuotaLedger::RemoveRates(Node& node) {
  for (auto& [bucket, usage] : node.usages) {
    if (node.has_rates) bucket->rates.Add(usage.rates, -1);
    usage.rates = {};
  }
  node.has_rates = false;
}

void QuotaLedger::ForgetUsages(Node& node, int64_t now_us) {
  std::erase_if(node.usages, [&](const auto& item) {
    if (now_us - item.second.seen_us <= kForgetUsageUs) return false;
    if (node.has_rates) item.first->rates.Add(item.second.rates, -1);
    return true;
  });
}

// Reports are on average half a period old.
double QuotaLedger::EstimatedLevel(const Bucket& bucket) const {
  double age_s = 0.5 * static_cast<double>(QuotaPeriodUs(m_known.size())) / kUsPerSecond;
  return bucket.level + (bucket.rate_per_s * m_group - bucket.rates.admitted) * age_s;
}

// The larger rate, since one follows a rise quickly, and the other bridges the gaps between the
// requests of a small workspace.
double QuotaLedger::DemandOf(const Rates& rates) {
  return std::max({rates.demand, rates.long_demand, kMinDemand});
}

bool QuotaLedger::IsLimited(const Bucket& bucket, bool was_limited) const {
  double rate_per_s = bucket.rate_per_s * m_group;
  double level = EstimatedLevel(bucket);
  double demand = DemandOf(bucket.rates);
  // Many callers may be waiting to repeat refused requests; without a limit all would be admitted
  // at once.
  if (was_limited && demand > rate_per_s) return true;
  if (level < (demand - rate_per_s) * kReactionS - kNoise) return true;
  bool is_in_debt = level < -(kFreeDebtS * rate_per_s + kFreeDebt);
  bool is_near = level < kNearPart * std::min(rate_per_s, bucket.capacity * m_group);
  return is_in_debt || (is_near && demand > kNearDemand * rate_per_s + kNoise / kReactionS);
}

// The rate keeps a rise of the demand between two reports, such as that of callers that repeat
// refused requests at once, from being admitted in proportion.
QuotaLimit QuotaLedger::LimitFor(const Node& node, Buckets::value_type& item) const {
  auto& [name, bucket] = item;
  double level = EstimatedLevel(bucket);
  double demand = DemandOf(bucket.rates);
  double allowed = std::max(0.0, bucket.rate_per_s * m_group + level / kLevelTimeS);
  auto usage = node.usages.find(&bucket);
  double node_demand = usage == node.usages.end() ? 0 : DemandOf(usage->second.rates);
  double part = std::min(1.0, node_demand / demand);
  // Without an allowed rate there is no burst either.
  double burst = allowed > 0 ? kMinNodeBurst + part * std::max(0.0, level) : 0;
  return {.workspace = name,
          .share = std::min(1.0, allowed / demand),
          .rate_per_s = std::min(kMaxRatePerS, kRateMargin * part * allowed),
          .burst = std::min(kMaxRatePerS, burst)};
}

void QuotaLedger::Reset(int64_t now_us) {
  m_first_us = now_us;
  m_nodes.clear();
  m_limited.clear();
  for (auto& [name, bucket] : m_buckets) {
    bucket = {
        .rate_per_s = bucket.rate_per_s, .capacity = bucket.capacity, .refilled_s = m_refill_s};
  }
}

// Adds the part of the refill that the report stands for.
QuotaLedger::Node& QuotaLedger::UpdateNode(const QuotaReport& report, int64_t now_us) {
  auto [it, is_first] = m_nodes.try_emplace(report.node);
  Node& node = it->second;
  bool is_new = is_first || node.process != report.process ||
                report.time_us - node.time_us > QuotaBaseAgeUs(m_known.size());
  if (is_new) {
    RemoveRates(node);
    node.usages.clear();
    node.time_us = node.rated_us = report.base_time_us;
  }
  int64_t elapsed_us =
      std::clamp<int64_t>(report.time_us - node.time_us, 0, QuotaBaseAgeUs(m_known.size()));
  node.process = report.process;
  node.time_us = report.time_us;
  node.seen_us = now_us;
  bool must_count = is_first || m_counted_us < 0 || now_us - m_counted_us >= kCountUs;
  if (must_count) CountNodes(now_us);
  m_refill_s += static_cast<double>(elapsed_us) / kUsPerSecond / static_cast<double>(m_known_count);
  return node;
}

QuotaReply QuotaLedger::OnReport(const QuotaReport& report, int64_t now_us) {
  int64_t idle_us = std::max(kIdleUs, kIdlePeriods * QuotaPeriodUs(m_known.size()));
  if (m_first_us < 0 || now_us - m_last_us > idle_us) Reset(now_us);
  m_last_us = now_us;
  auto known = m_nodes.find(report.node);
  bool is_late_copy = known != m_nodes.end() && known->second.process == report.process &&
                      report.time_us < known->second.time_us;
  if (is_late_copy) return {.reporting_share = m_group};
  Node& node = UpdateNode(report, now_us);
  for (const QuotaUsage& usage : report.usages) Count(node, usage, now_us);
  UpdateRates(node, report);
  if (node.usages.size() > kMinUsagesToForget + 2 * report.usages.size()) {
    ForgetUsages(node, now_us);
  }
  for (const QuotaUsage& usage : report.usages) {
    auto item = m_buckets.find(usage.workspace);
    if (item != m_buckets.end() && IsLimited(item->second, m_limited.contains(item->first))) {
      m_limited.insert(item->first);
    }
  }
  return MakeReply(node, now_us);
}

QuotaReply QuotaLedger::MakeReply(const Node& node, int64_t now_us) {
  QuotaReply reply{.reporting_share = m_group};
  for (auto limited = m_limited.begin(); limited != m_limited.end();) {
    auto item = m_buckets.find(*limited);
    Refill(item->second, now_us);
    if (IsLimited(item->second, true)) {
      reply.limits.push_back(LimitFor(node, *item));
      ++limited;
    } else {
      limited = m_limited.erase(limited);
    }
  }
  return reply;
}

}  // namespace guavatrail
