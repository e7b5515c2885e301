#include "rollout_decision.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavatrail {

namespace {

constexpr int64_t kSlotUs = 1'000'000;
// Lengths of the recent windows. A fault that appears late is diluted in the whole rollout; one of
// a few answers a minute does not show in a short window.
constexpr std::array<int64_t, 3> kWindowsUs = {4'000'000, 12'000'000, 30'000'000};
// The old servers may fail or be slow by chance. A version counts as bad only above this multiple
// of their share of bad answers plus this share.
constexpr double kOldFactor = 1.5;
constexpr double kShareMargin = 0.01;
// Answers without a failure that the old servers are taken to have given, while few are known.
constexpr double kPriorAnswers = 10;
// Answers of the other canaries from which they show whether the version or one server is bad.
constexpr int64_t kMinOtherAnswers = 15;
constexpr double kOthersDeviations = 1.5;
constexpr int64_t kMinOtherBad = 2;
// Their share of slow answers, for a version that is slow. Some answers of any server are slow.
constexpr double kMinOtherSlowShare = 0.2;

}  // namespace

void RolloutDecision::OnReport(std::string_view node, std::string_view run, bool is_canary,
                               const WorkCounts& work, int64_t now_us) {
  auto it = m_sources.find(node);
  if (it == m_sources.end()) it = m_sources.emplace(std::string(node), Source{}).first;
  Source& source = it->second;
  WorkCounts added = source.run == run ? Difference(work, source.last) : work;
  source = {std::string(run), work};
  if (m_slots.empty() || now_us - m_slots.back().start_us >= kSlotUs) {
    m_slots.push_back({.start_us = now_us});
  }
  while (now_us - m_slots.front().start_us > kWindowsUs.back()) m_slots.pop_front();
  for (Slot* slot : {&m_slots.back(), &m_total}) {
    Add(is_canary ? slot->canaries[std::string(node)] : slot->old, added);
  }
  if (is_canary && !m_first_canary_us) m_first_canary_us = now_us;
}

RolloutDecision::Slot RolloutDecision::Window(int64_t length_us, int64_t now_us) const {
  Slot window;
  for (const Slot& slot : m_slots) {
    if (now_us - slot.start_us > length_us) continue;
    Add(window.old, slot.old);
    for (const auto& [node, work] : slot.canaries) Add(window.canaries[node], work);
  }
  return window;
}

std::map<std::string, int64_t, std::less<>> RolloutDecision::SlowLimits() const {
  std::map<std::string, int64_t, std::less<>> limits;
  for (const auto& [kind, counts] : m_total.old) {
    if (counts.times.count() < m_options.min_old_times) continue;
    size_t bin = *counts.times.MedianBin() + m_options.slow_bins;
    if (bin + 1 < TimeHistogram::kBins) limits[kind] = TimeHistogram::EndUs(bin);
  }
  return limits;
}

int64_t RolloutDecision::canary_answers() const {
  int64_t answers = 0;
  for (const auto& [node, work] : m_total.canaries) {
    for (const auto& [kind, counts] : work) answers += counts.answers;
  }
  return answers;
}

RolloutDecision::Sum RolloutDecision::SumOf(const WorkCounts& work, const Test& test) const {
  Sum sum;
  for (const auto& [kind, counts] : work) {
    if (!test.kind.empty() && kind != test.kind) continue;
    if (test.fault == Fault::kFailures) {
      sum.answers += counts.answers;
      sum.bad += counts.failures;
      continue;
    }
    auto old = m_total.old.find(kind);
    if (old == m_total.old.end() || old->second.times.count() < m_options.min_old_times) continue;
    sum.answers += counts.times.count();
    sum.bad += counts.times.CountAbove(*old->second.times.MedianBin() + m_options.slow_bins);
  }
  return sum;
}

bool RolloutDecision::IsWorse(const Sum& canary, const Sum& old, double deviations,
                              int64_t min_bad) {
  if (canary.bad < min_bad) return false;
  double old_share =
      (static_cast<double>(old.bad) + 0.5) / (static_cast<double>(old.answers) + kPriorAnswers);
  double share = std::min(1.0, kOldFactor * old_share + kShareMargin);
  auto answers = static_cast<double>(canary.answers);
  double expected = answers * share;
  double limit = expected + deviations * std::sqrt(expected * (1 - share));
  return static_cast<double>(canary.bad) > limit;
}

bool RolloutDecision::IsFaulty(const Slot& window, const Test& test, Sum& canary) const {
  for (const auto& [node, work] : window.canaries) {
    Sum sum = SumOf(work, test);
    canary.answers += sum.answers;
    canary.bad += sum.bad;
  }
  return IsWorse(canary, SumOf(window.old, test), test.deviations, test.min_bad);
}

// Whether only one of the canaries is bad, so that its VM may be the cause and not the version.
bool RolloutDecision::MustWaitForOthers(const Slot& window, const Test& test, const Sum& canary,
                                        int64_t now_us) const {
  Sum worst;
  for (const auto& [node, work] : window.canaries) {
    Sum sum = SumOf(work, test);
    if (sum.bad >= worst.bad) worst = sum;
  }
  Sum others{canary.answers - worst.answers, canary.bad - worst.bad};
  bool are_others_known = others.answers >= kMinOtherAnswers;
  double min_share = test.fault == Fault::kSlow ? kMinOtherSlowShare : 0;
  bool are_others_bad =
      static_cast<double>(others.bad) >= min_share * static_cast<double>(others.answers);
  if (are_others_known && are_others_bad &&
      IsWorse(others, SumOf(window.old, test), kOthersDeviations, kMinOtherBad)) {
    return false;
  }
  if (test.fault == Fault::kFailures) {
    return !test.is_final && are_others_known && canary.bad < m_options.single_server_failures;
  }
  if (are_others_known) return true;
  if (IsSlownessLasting(test.kind, canary.bad, now_us)) return false;
  return !test.is_final ||
         static_cast<double>(canary.bad) <
             m_options.single_server_final_share * static_cast<double>(canary.answers);
}

bool RolloutDecision::IsSlownessLasting(std::string_view kind, int64_t bad, int64_t now_us) const {
  auto since = m_slow_since_us.find(kind);
  if (since == m_slow_since_us.end()) return false;
  int64_t lasting_us = m_options.single_server_slow_us;
  if (bad >= m_options.many_slow_answers) lasting_us = m_options.many_slow_us;
  if (!m_has_been_fast.contains(kind)) lasting_us = m_options.never_fast_us;
  return now_us - since->second >= lasting_us;
}

// Slowness has ended when answers arrive that are not slow.
void RolloutDecision::TrackSlowness(int64_t now_us) {
  Slot window = Window(kSlotUs, now_us);
  for (const std::string& kind : KindsOf(window)) {
    Test test{Fault::kSlow, kind, kOthersDeviations, 1};
    Sum canary;
    if (IsFaulty(window, test, canary)) {
      m_slow_since_us.emplace(kind, now_us);
    } else if (canary.answers > 0) {
      m_slow_since_us.erase(kind);
      m_has_been_fast.insert(kind);
    }
  }
}

// All work ("") and each work kind of the canaries.
std::set<std::string> RolloutDecision::KindsOf(const Slot& window) {
  std::set<std::string> kinds = {""};
  for (const auto& [node, work] : window.canaries) {
    for (const auto& [kind, counts] : work) kinds.insert(kind);
  }
  return kinds;
}

std::optional<RolloutVerdict> RolloutDecision::FindFaultIn(const Slot& window, bool is_final,
                                                           int64_t now_us) {
  double deviations = is_final ? m_options.final_deviations : m_options.deviations;
  for (Fault fault : {Fault::kFailures, Fault::kSlow}) {
    int64_t final_min_bad =
        fault == Fault::kFailures ? m_options.final_min_failures : m_options.final_min_slow;
    int64_t min_bad = is_final ? final_min_bad : m_options.min_bad;
    for (const std::string& kind : KindsOf(window)) {
      Test test{fault, kind, deviations, min_bad, is_final};
      Sum canary;
      if (!IsFaulty(window, test, canary)) continue;
      if (MustWaitForOthers(window, test, canary, now_us)) continue;
      return RolloutVerdict{RolloutAction::kRollBack,
                            fault == Fault::kFailures ? "failures" : "slow", kind, canary.answers,
                            canary.bad};
    }
  }
  return std::nullopt;
}

std::optional<RolloutVerdict> RolloutDecision::FindFault(bool is_final, int64_t now_us) {
  TrackSlowness(now_us);
  for (int64_t length_us : kWindowsUs) {
    if (auto fault = FindFaultIn(Window(length_us, now_us), false, now_us)) return fault;
  }
  if (auto fault = FindFaultIn(m_total, false, now_us)) return fault;
  if (!is_final) return std::nullopt;
  auto recent = FindFaultIn(Window(kWindowsUs.back(), now_us), true, now_us);
  return recent ? recent : FindFaultIn(m_total, true, now_us);
}

RolloutVerdict RolloutDecision::Decide(int64_t elapsed_us, size_t canaries, size_t old_servers,
                                       int64_t now_us) {
  m_had_canary = m_had_canary || canaries > 0;
  auto step_us = static_cast<double>(m_step_us);
  double latest_us = std::max(0.3 * step_us, step_us - static_cast<double>(m_options.reserved_us));
  double complete_us = std::min(m_options.complete_share * step_us, latest_us);
  double final_us = std::min(m_options.final_share * step_us, latest_us);
  auto elapsed = static_cast<double>(elapsed_us);
  double evidence_us = m_first_canary_us ? static_cast<double>(now_us - *m_first_canary_us) : 0;
  bool is_final =
      elapsed >= final_us && evidence_us >= std::min(static_cast<double>(m_options.min_evidence_us),
                                                     m_options.evidence_share * step_us);
  bool is_enough = elapsed >= complete_us && evidence_us >= m_options.evidence_share * step_us &&
                   canary_answers() >= m_options.min_answers;
  // Without old servers there is nothing to return to.
  if (old_servers > 0) {
    if (auto fault = FindFault(is_final || is_enough, now_us)) return *fault;
  }
  if (canaries == 0) {
    bool is_lost = m_had_canary && elapsed >= final_us && old_servers > 0;
    return is_lost ? RolloutVerdict{RolloutAction::kRollBack, "no_server"} : RolloutVerdict{};
  }
  if (!is_final && !is_enough) return {};
  return {RolloutAction::kComplete, is_enough ? "time" : "few_answers", "", canary_answers(), 0};
}

}  // namespace guavatrail
