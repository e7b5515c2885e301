#include "concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavatrail {

namespace {

constexpr size_t kMaxKinds = 64;
constexpr size_t kMaxLevels = 32;
// Samples over which the typical service time of a kind is averaged.
constexpr int kKindWindow = 128;
constexpr int kPaceWindow = 12;
// The mean over the last samples forgets half of them in this time if there are few: a server that
// is avoided because it was slow gets few requests to show that it has recovered.
constexpr double kRecentHalfLifeUs = 1'000'000;
constexpr int kMinStableSamples = 8;
// A straggler counts as at most this multiple of the pace.
constexpr double kClip = 4;
// While the pace differs from 1 by more than this factor, the server is slow for reasons other than
// the number of its requests, and samples say nothing about that number. A knee that is not known
// yet shows as a smaller factor at first.
constexpr double kMaxPaceChange = 3;
// A server that is faster than it ever was by this factor has been slow before, for instance after
// its start, so what was measured until now is dropped.
constexpr double kFasterPace = 0.55;
// After this time the changed pace is taken as the new normal one.
constexpr int64_t kNewPaceUs = 12'000'000;
// Time in which half of the samples of a level is forgotten.
constexpr double kHalfLifeUs = 20'000'000;
// The same above the limit, where nothing new is measured until the limit rises.
constexpr double kUnusedHalfLifeUs = 5'000'000;
// The same for the samples that alone can contradict a knee.
constexpr double kRecentLevelsHalfLifeUs = 2'000'000;
constexpr double kMinLevelWeight = 3;
constexpr double kMinVariance = 0.01;
// A knee must explain this multiple of the variance of one sample; chance alone explains 9 in 1 of
// 100 fits with two parameters.
constexpr double kEvidence = 12;
// A knee is contradicted if it explains less than no knee by this multiple.
constexpr double kContradiction = 1;
// Powers that are fitted. From the first one at kLimitingPower on, one more request gains no
// throughput.
constexpr std::array<double, 4> kPowers = {0.5, 1, 1.5, 2};
constexpr double kLimitingPower = 1;
constexpr int64_t kDecisionPeriodUs = 500'000;
constexpr int kMinDecisionSamples = 6;
// Decisions are made with fewer samples after this time.
constexpr int64_t kLongDecisionPeriodUs = 2'000'000;
// Weight of a sample in the share of late answers.
constexpr double kLateWeight = 0.2;
constexpr double kManyLate = 0.6;
constexpr double kFewLate = 0.3;
constexpr double kLateFactor = 0.6;
constexpr double kRecoveryFactor = 1.6;
// Share of the slots down to which a slow server gets fewer requests to find a knee.
constexpr double kOverloadShare = 0.5;
// While a server is always at its limit, nothing is measured at fewer requests. If the weight of
// the samples below kExploreFactor times the limit is less than kUnknownWeight, the limit is
// lowered by that factor until the weight reaches kKnownWeight, for at most kExploreDecisions
// decisions.
constexpr double kExploreFactor = 0.6;
constexpr int kExploreDecisions = 3;
constexpr double kUnknownWeight = 8;
constexpr double kKnownWeight = 15;
constexpr double kMinExploredLimit = 3;
// Share of the limit before the answers were late that is restored quickly; the limit itself may
// have been the cause.
constexpr double kRecoveryShare = 0.75;
// Rise per decision of a limit that is in use, and of one that is not.
constexpr double kRise = 1;
constexpr double kIdleRise = 0.25;
// Fall per decision above the knee: at least this, and this share of the distance.
constexpr double kFall = 1;
constexpr double kFallShare = 0.5;
// After this time without a sample nothing is known of the server any more.
constexpr int64_t kForgetUs = 4'000'000;

}  // namespace

double ConcurrencyLimit::Curve::At(double running) const {
  return running <= knee ? 1 : std::pow(running / knee, power);
}

void ConcurrencyLimit::SetSlots(int slots) {
  // A limit at the previous number of slots was no limit.
  if (limit() >= m_slots) m_limit = slots;
  if (slots != m_slots) {
    m_levels.clear();
    m_recent_levels.clear();
  }
  m_slots = slots;
  Limit(m_limit);
}

void ConcurrencyLimit::Limit(double limit) {
  m_limit = std::clamp(limit, 1.0, static_cast<double>(std::max(1, m_slots)));
}

int ConcurrencyLimit::limit() const { return static_cast<int>(std::floor(m_limit + 1e-9)); }

int64_t ConcurrencyLimit::service_us() const {
  if (m_samples < kMinStableSamples) return 0;
  double sum_us = 0;
  double share = 0;
  for (const auto& [name, kind] : m_kinds) {
    sum_us += kind.typical_us * kind.share;
    share += kind.share;
  }
  return share > 0 ? static_cast<int64_t>(m_pace * m_mean_rise * sum_us / share) : 0;
}

double ConcurrencyLimit::RunningIntegral(int64_t now_us) const {
  return m_running_integral + static_cast<double>(now_us - m_running_us) * m_running;
}

void ConcurrencyLimit::OnRunning(int running, int64_t now_us) {
  m_running_integral = RunningIntegral(now_us);
  m_running_us = now_us;
  m_running = running;
  m_most_running = std::max(m_most_running, running);
}

// Finds or adds the kind; `expected` is the present service time relative to the typical one.
ConcurrencyLimit::Kind& ConcurrencyLimit::KindOf(const ServiceSample& sample, double expected) {
  auto it = m_kinds.find(sample.kind);
  if (it == m_kinds.end()) {
    // Kinds change with the configuration; those in use are measured again.
    if (m_kinds.size() >= kMaxKinds) m_kinds.clear();
    it = m_kinds.emplace(std::string(sample.kind), Kind{}).first;
  }
  if (it->second.samples == 0) {
    // The first samples of a kind may fall into a slow phase.
    it->second.typical_us = static_cast<double>(std::max<int64_t>(1, sample.service_us)) / expected;
  }
  return it->second;
}

size_t ConcurrencyLimit::LevelOf(double running) const {
  double width = std::max(1.0, static_cast<double>(m_slots) / kMaxLevels);
  auto level = static_cast<size_t>(std::max(1.0, std::round(running / width)));
  return std::min(level, kMaxLevels) - 1;
}

double ConcurrencyLimit::RunningAt(size_t level) const {
  double width = std::max(1.0, static_cast<double>(m_slots) / kMaxLevels);
  return static_cast<double>(level + 1) * width;
}

void ConcurrencyLimit::AddToLevels(double running, double log_ratio, int64_t now_us) {
  auto elapsed_us = static_cast<double>(now_us - m_levels_us);
  m_levels_us = now_us;
  size_t limit_index = LevelOf(limit());
  size_t index = LevelOf(running);
  for (Levels* levels : {&m_levels, &m_recent_levels}) {
    if (levels->size() <= index) levels->resize(index + 1);
    for (size_t i = 0; i < levels->size(); ++i) {
      double half_life_us = i > limit_index ? kUnusedHalfLifeUs : kHalfLifeUs;
      if (levels == &m_recent_levels) half_life_us = kRecentLevelsHalfLifeUs;
      Level& level = (*levels)[i];
      double decay = std::exp2(-elapsed_us / half_life_us);
      level.weight *= decay;
      level.sum *= decay;
      level.squares *= decay;
    }
    Level& level = (*levels)[index];
    level.weight += 1;
    level.sum += log_ratio;
    level.squares += log_ratio * log_ratio;
  }
}

void ConcurrencyLimit::UpdateTypical(Kind& kind, double ratio) {
  for (auto& [name, other] : m_kinds) other.share *= 1 - 1.0 / kKindWindow;
  kind.share += 1.0 / kKindWindow;
  kind.samples = std::min(kind.samples + 1, kKindWindow);
  double change = 1 + (ratio - 1) / (kind.samples + 1);
  kind.typical_us *= change;
  // What was measured is kept relative to the present typical times. Otherwise the typical times of
  // a server that is always beyond its knee would grow until those beyond the knee look normal.
  double total = 0;
  for (const auto& [name, other] : m_kinds) total += other.share;
  double shift = kind.share / total * std::log(change);
  for (Levels* levels : {&m_levels, &m_recent_levels}) {
    for (Level& level : *levels) {
      level.squares += level.weight * shift * shift - 2 * shift * level.sum;
      level.sum -= level.weight * shift;
    }
  }
}

// Whether the server is faster or slower than usual at any number of requests.
bool ConcurrencyLimit::IsChanging(int64_t now_us) {
  bool is_faster = m_pace < kFasterPace && m_samples >= kPaceWindow;
  if (m_pace < kMaxPaceChange && !is_faster) {
    m_steady_us = now_us;
    return false;
  }
  if (!is_faster && now_us - m_steady_us < kNewPaceUs) return true;
  for (auto& [name, kind] : m_kinds) kind.typical_us *= m_pace;
  m_pace = 1;
  m_levels.clear();
  m_recent_levels.clear();
  m_curve = {};
  m_steady_us = now_us;
  return false;
}

// Sum of squares that `curve` leaves unexplained at `levels`, apart from the variance within each
// of them. The mean of the logarithms is free.
double ConcurrencyLimit::ErrorOf(const Curve& curve, const Levels& levels) const {
  std::array<double, kMaxLevels> misses{};
  double weight = 0;
  double mean = 0;
  for (size_t i = 0; i < levels.size(); ++i) {
    if (levels[i].weight < kMinLevelWeight) continue;
    misses.at(i) = levels[i].sum / levels[i].weight - std::log(curve.At(RunningAt(i)));
    mean += levels[i].weight * misses.at(i);
    weight += levels[i].weight;
  }
  double error = 0;
  for (size_t i = 0; i < levels.size(); ++i) {
    if (levels[i].weight < kMinLevelWeight) continue;
    double miss = misses.at(i) - mean / weight;
    error += levels[i].weight * miss * miss;
  }
  return error;
}

// Tries all knees and powers. A knee must explain clearly more than no knee does, and must not be
// contradicted by the last seconds alone: when the server becomes slower as a whole, it has more
// running requests too, but those with few beside them are as slow.
ConcurrencyLimit::Curve ConcurrencyLimit::Fit() const {
  double weight = 0;
  double within = 0;
  for (const Level& level : m_levels) {
    if (level.weight < kMinLevelWeight) continue;
    weight += level.weight;
    within += level.squares - level.sum * level.sum / level.weight;
  }
  Curve best{.knee = static_cast<double>(m_slots)};
  if (weight == 0) return best;
  double variance = std::max(kMinVariance, within / weight);
  double least = ErrorOf(best, m_levels) - kEvidence * variance;
  double most_recent = ErrorOf(best, m_recent_levels) + kContradiction * variance;
  for (size_t i = 0; i + 1 < m_levels.size(); ++i) {
    for (double power : kPowers) {
      Curve curve{.knee = RunningAt(i), .power = power};
      double error = ErrorOf(curve, m_levels);
      if (error >= least || ErrorOf(curve, m_recent_levels) > most_recent) continue;
      least = error;
      best = curve;
    }
  }
  return best;
}

void ConcurrencyLimit::OnSample(const ServiceSample& sample, int64_t now_us) {
  if (m_samples == 0) m_steady_us = now_us;
  if (m_samples > 0 && now_us - m_sampled_us > kForgetUs) {
    Limit(std::max(m_limit, m_recovery_limit));
    m_late_share = 0;
  }
  double elapsed_us = m_samples == 0 ? 0 : static_cast<double>(now_us - m_sampled_us);
  double recent_weight = 1 - std::exp2(-elapsed_us / kRecentHalfLifeUs);
  m_sampled_us = now_us;
  double running = std::max(1.0, sample.running);
  double rise = m_curve.At(running);
  Kind& kind = KindOf(sample, m_pace * rise);
  auto service_us = static_cast<double>(std::max<int64_t>(1, sample.service_us));
  double ratio = std::min(service_us / kind.typical_us / rise, kClip * m_pace);
  m_samples = std::min(m_samples + 1, kPaceWindow);
  double weight = std::max(recent_weight, 1.0 / (m_samples + 1));
  m_pace += weight * (ratio - m_pace);
  m_mean_rise += weight * (rise - m_mean_rise);
  // The time of a request that still runs is known to be long only.
  if (sample.is_answered && !IsChanging(now_us)) {
    AddToLevels(running, std::log(ratio * rise), now_us);
    UpdateTypical(kind, ratio);
  }
  if (sample.allowed_us > 0) {
    bool is_late = sample.service_us > sample.allowed_us;
    m_late_share += std::max(kLateWeight, recent_weight) * ((is_late ? 1 : 0) - m_late_share);
  }
  ++m_samples_since_decision;
  int64_t undecided_us = now_us - m_decided_us;
  bool is_recovering = m_limit < m_recovery_limit && m_late_share < kFewLate;
  int samples = is_recovering ? 1 : kMinDecisionSamples;
  bool is_due = undecided_us >= kDecisionPeriodUs && m_samples_since_decision >= samples;
  if (is_due || undecided_us >= kLongDecisionPeriodUs) Decide(now_us);
}

// Remembers the present limit as one to return to, and lowers it.
void ConcurrencyLimit::Lower(double factor, double share_to_restore) {
  m_recovery_limit = std::max(m_recovery_limit, share_to_restore * m_limit);
  Limit(factor * m_limit);
}

// Weight of the samples with clearly fewer requests than the limit allows.
double ConcurrencyLimit::WeightBelow(double running) const {
  double weight = 0;
  for (size_t i = 0; i < m_levels.size() && RunningAt(i) <= running; ++i) {
    if (m_levels[i].weight >= kMinLevelWeight) weight += m_levels[i].weight;
  }
  return weight;
}

void ConcurrencyLimit::Decide(int64_t now_us) {
  bool is_used = m_most_running >= limit();
  m_decided_us = now_us;
  m_samples_since_decision = 0;
  m_most_running = m_running;
  m_curve = Fit();
  double target = m_curve.power >= kLimitingPower ? std::ceil(m_curve.knee) : m_slots;
  if (m_late_share > kManyLate) {
    Lower(kLateFactor, kRecoveryShare);
    return;
  }
  // The server became slower at all of its slots than any curve suggests. Either it is slow at any
  // number of requests, or it was driven far beyond a knee that is not known yet; fewer requests
  // for a moment tell which.
  if (is_used && m_pace >= kMaxPaceChange && m_limit >= kOverloadShare * m_slots) {
    Lower(kLateFactor, kRecoveryShare);
    return;
  }
  if (m_exploring > 0) {
    --m_exploring;
    if (WeightBelow(m_limit) < kKnownWeight) return;
    m_exploring = 0;
  }
  if (m_limit < std::min(target, m_recovery_limit)) {
    double raised = std::max(m_limit + kRise, kRecoveryFactor * m_limit);
    if (m_late_share < kFewLate) Limit(std::min({target, m_recovery_limit, raised}));
    return;
  }
  m_recovery_limit = 0;
  if (is_used && m_limit >= kMinExploredLimit &&
      WeightBelow(kExploreFactor * m_limit) < kUnknownWeight) {
    m_exploring = kExploreDecisions;
    Lower(kExploreFactor, 1);
  } else if (m_limit > target) {
    Limit(std::max(target, m_limit - std::max(kFall, kFallShare * (m_limit - target))));
  } else {
    Limit(std::min(target, m_limit + (is_used ? kRise : kIdleRise)));
  }
}

}  // namespace guavatrail
