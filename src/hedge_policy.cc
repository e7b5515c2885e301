#include "hedge_policy.h"

#include <algorithm>

namespace guavatrail {

namespace {

// A period ends after this time once it holds enough answers for a 95th percentile.
constexpr int64_t kPeriodUs = 2'000'000;
constexpr uint64_t kMinSamples = 40;

}  // namespace

void PercentileHedge::OnCall() {
  m_tokens = std::min(m_options.reserve, m_tokens + m_options.share);
}

void PercentileHedge::OnAnswer(std::string_view kind, int64_t latency_us, int64_t now_us) {
  auto entry = m_kinds.find(kind);
  if (entry == m_kinds.end()) {
    entry = m_kinds.emplace(std::string(kind), Kind{.period_start_us = now_us}).first;
  }
  Kind& known = entry->second;
  known.latencies.Record(latency_us);
  bool is_period_over = !known.delay_us || now_us - known.period_start_us >= kPeriodUs;
  if (!is_period_over || known.latencies.count() < kMinSamples) return;
  known.delay_us = std::max(m_options.min_delay_us, known.latencies.Quantile(m_options.quantile));
  known.latencies = LatencyHistogram();
  known.period_start_us = now_us;
}

void PercentileHedge::OnRefusal(int64_t now_us) {
  m_paused_until_us = now_us + m_options.pause_after_refusal_us;
}

void PercentileHedge::OnHedge() { m_tokens = std::max(0.0, m_tokens - 1.0); }

std::optional<int64_t> PercentileHedge::DelayUs(std::string_view kind, int64_t now_us) const {
  auto entry = m_kinds.find(kind);
  if (entry == m_kinds.end() || now_us < m_paused_until_us) return std::nullopt;
  return entry->second.delay_us;
}

bool PercentileHedge::MayHedge(bool is_overloaded, int64_t now_us) const {
  return !is_overloaded && now_us >= m_paused_until_us && m_tokens >= 1.0;
}

void OnCall(HedgePolicy& policy) {
  std::visit([](auto& p) { p.OnCall(); }, policy);
}

void OnAnswer(HedgePolicy& policy, std::string_view kind, int64_t latency_us, int64_t now_us) {
  std::visit([&](auto& p) { p.OnAnswer(kind, latency_us, now_us); }, policy);
}

void OnRefusal(HedgePolicy& policy, int64_t now_us) {
  std::visit([&](auto& p) { p.OnRefusal(now_us); }, policy);
}

void OnHedge(HedgePolicy& policy) {
  std::visit([](auto& p) { p.OnHedge(); }, policy);
}

std::optional<int64_t> HedgeDelayUs(const HedgePolicy& policy, std::string_view kind,
                                    int64_t now_us) {
  return std::visit([&](const auto& p) { return p.DelayUs(kind, now_us); }, policy);
}

bool MayHedge(const HedgePolicy& policy, bool is_overloaded, int64_t now_us) {
  return std::visit([&](const auto& p) { return p.MayHedge(is_overloaded, now_us); }, policy);
}

}  // namespace guavatrail
