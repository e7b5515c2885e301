#include "rollout_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavatrail {

namespace {

// Limits the memory and the size of messages; further work kinds are counted as one.
constexpr size_t kMaxKinds = 32;
constexpr std::string_view kOtherKinds = "others";

KindCounts& CountsOf(WorkCounts& work, std::string_view kind) {
  auto it = work.find(kind);
  if (it != work.end()) return it->second;
  std::string name(work.size() < kMaxKinds ? kind : kOtherKinds);
  return work[name];
}

}  // namespace

size_t TimeHistogram::BinOf(int64_t service_us) {
  if (service_us <= kFirstEndUs) return 0;
  double ratio = static_cast<double>(service_us) / static_cast<double>(kFirstEndUs);
  auto bin = static_cast<size_t>(std::ceil(std::log(ratio) / std::log(kFactor)));
  return std::min(bin, kBins - 1);
}

int64_t TimeHistogram::EndUs(size_t bin) {
  return std::llround(static_cast<double>(kFirstEndUs) *
                      std::pow(kFactor, static_cast<double>(bin)));
}

int64_t TimeHistogram::count() const {
  return std::accumulate(m_bins.begin(), m_bins.end(), int64_t{0});
}

std::optional<size_t> TimeHistogram::MedianBin() const {
  int64_t total = count();
  int64_t seen = 0;
  for (size_t bin = 0; bin < kBins && total > 0; ++bin) {
    seen += m_bins[bin];
    if (2 * seen >= total) return bin;
  }
  return std::nullopt;
}

int64_t TimeHistogram::CountAbove(size_t bin) const {
  if (bin + 1 >= kBins) return 0;
  return std::accumulate(m_bins.begin() + static_cast<std::ptrdiff_t>(bin) + 1, m_bins.end(),
                         int64_t{0});
}

void Add(WorkCounts& counts, const WorkCounts& more) {
  for (const auto& [kind, added] : more) {
    KindCounts& sum = counts[kind];
    sum.answers += added.answers;
    sum.failures += added.failures;
    for (size_t bin = 0; bin < TimeHistogram::kBins; ++bin) {
      sum.times.AddToBin(bin, added.times.Bin(bin));
    }
  }
}

WorkCounts Difference(const WorkCounts& counts, const WorkCounts& before) {
  WorkCounts difference = counts;
  for (auto& [kind, count] : difference) {
    auto it = before.find(kind);
    if (it == before.end()) continue;
    count.answers -= it->second.answers;
    count.failures -= it->second.failures;
    for (size_t bin = 0; bin < TimeHistogram::kBins; ++bin) {
      count.times.AddToBin(bin, -it->second.times.Bin(bin));
    }
  }
  return difference;
}

void RolloutCounts::Start(int64_t cold_us, int64_t now_us) {
  m_work.clear();
  m_slow_limits.clear();
  m_answers = 0;
  m_bad = 0;
  m_cold_until_us = now_us + std::max(cold_us, m_options.cold_us);
  m_owner_us = now_us;
}

void RolloutCounts::OnResult(const ServerResult& result, int64_t now_us) {
  KindCounts& counts = CountsOf(m_work, result.kind);
  ++counts.answers;
  ++m_answers;
  if (result.is_failure) {
    ++counts.failures;
    ++m_bad;
    return;
  }
  // A request that a cold server has begun is slow too.
  if (now_us - result.service_us < m_cold_until_us) return;
  counts.times.Add(result.service_us);
  auto limit = m_slow_limits.find(result.kind);
  if (limit != m_slow_limits.end() && result.service_us > limit->second) ++m_bad;
}

void RolloutCounts::OnOwner(std::map<std::string, int64_t, std::less<>> slow_limits,
                            int64_t now_us) {
  m_slow_limits = std::move(slow_limits);
  m_owner_us = now_us;
}

bool RolloutCounts::IsOwnerSilent(int64_t now_us) const {
  return now_us - m_owner_us >= m_options.owner_silence_us;
}

// A canary that has stopped by itself takes no new work, but has used its share of the bad answers.
// If it did not count any more, the shares of all would grow, and it would start again itself.
void RolloutCounts::OnCanaries(size_t canaries, int64_t now_us) {
  m_canaries = IsOwnerSilent(now_us) ? std::max(m_canaries, canaries) : canaries;
}

bool RolloutCounts::MustHold(int64_t now_us) const {
  if (!IsOwnerSilent(now_us)) return false;
  auto share = m_options.bad_answers / static_cast<int64_t>(std::max<size_t>(1, m_canaries));
  bool are_many = m_bad >= std::max(share, m_options.min_bad_answers);
  return are_many &&
         static_cast<double>(m_bad) >= m_options.min_bad_share * static_cast<double>(m_answers);
}

}  // namespace guavatrail
