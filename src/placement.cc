#include "placement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace guavatrail {

namespace {

// A report loses half of its weight in this time: a server that is no longer chosen because of an
// old report gets calls again.
constexpr double kReportHalfLifeUs = 500'000;
// How many of its requests a server fails is told for longer, since it gets few while it is
// avoided.
constexpr double kFailingHalfLifeUs = 3'000'000;
// A failed request costs its caller as much as a wait of so many service times.
constexpr double kFailureCost = 4;
// Assumed service time while no server has reported one.
constexpr double kDefaultServiceUs = 5'000;
// Nearly equal servers share the calls at random; otherwise the one that is a little faster would
// get all calls of an idle service.
constexpr double kClearlyLess = 0.9;
// Share of its draws that a server takes just after it appeared.
constexpr double kSlowStartShare = 0.1;
// Draws for one choice before a slowly starting server is taken all the same.
constexpr int kMaxDraws = 8;
constexpr int64_t kUsPerMs = 1000;

double WeightOf(const PlacementCandidate& candidate) {
  if (candidate.load_age_us < 0) return 0;
  return std::exp2(-static_cast<double>(candidate.load_age_us) / kReportHalfLifeUs);
}

// What the chance of a failure costs the caller of a request, in service times. A failing server is
// still of use when the wait everywhere else is longer.
double FailureCost(const PlacementCandidate& candidate) {
  constexpr double kMaxShare = 0.95;
  if (candidate.load.failing_percent <= 0 || candidate.load_age_us < 0) return 0;
  double weight = std::exp2(-static_cast<double>(candidate.load_age_us) / kFailingHalfLifeUs);
  double share = std::min(kMaxShare, weight * candidate.load.failing_percent / 100);
  return kFailureCost * share / (1 - share);
}

// Requests that the server is believed to hold.
double RequestsAt(const PlacementCandidate& candidate) {
  double reported = WeightOf(candidate) * (candidate.load.in_service + candidate.load.queued);
  int own_since = std::max(0, candidate.local_in_flight - candidate.local_in_flight_at_report);
  return std::max<double>(candidate.local_in_flight, reported + own_since);
}

// What a server without a recent report is taken for.
struct Neutral {
  double requests_per_slot = 0;
  double service_us = kDefaultServiceUs;
};

Neutral NeutralOf(std::span<const PlacementCandidate> candidates) {
  double requests = 0;
  double slots = 0;
  double service_us = 0;
  double service_weight = 0;
  for (const PlacementCandidate& candidate : candidates) {
    double weight = WeightOf(candidate);
    requests += weight * (candidate.load.in_service + candidate.load.queued);
    slots += weight * std::max(1, candidate.slots);
    if (candidate.load.service_us <= 0) continue;
    service_us += weight * static_cast<double>(candidate.load.service_us);
    service_weight += weight;
  }
  Neutral neutral;
  if (slots > 0) neutral.requests_per_slot = requests / slots;
  if (service_weight > 0) neutral.service_us = service_us / service_weight;
  return neutral;
}

// Expected time on the server: the turns until a slot is free for one more request, and its own.
double ScoreOf(const PlacementCandidate& candidate, const Neutral& neutral) {
  double weight = WeightOf(candidate);
  double service_us = neutral.service_us;
  if (candidate.load.service_us > 0) {
    service_us += weight * (static_cast<double>(candidate.load.service_us) - service_us);
  }
  int slots = std::max(1, candidate.slots);
  double requests = RequestsAt(candidate) + (1 - weight) * neutral.requests_per_slot * slots;
  return ((requests + 1) / slots + FailureCost(candidate)) * service_us;
}

std::optional<int64_t> TakeNumber(std::string_view& text, std::string_view name) {
  if (!text.starts_with(name)) return std::nullopt;
  text.remove_prefix(name.size());
  int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value < 0) return std::nullopt;
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return value;
}

}  // namespace

std::string FormatLoad(const ServerLoad& load) {
  std::string text = "in_service=" + std::to_string(load.in_service) +
                     ",queued=" + std::to_string(load.queued) +
                     ",service_us=" + std::to_string(load.service_us);
  if (load.failing_percent > 0) text += ",failing=" + std::to_string(load.failing_percent);
  return text;
}

std::optional<ServerLoad> ParseLoad(std::string_view text) {
  constexpr int64_t kMaxRequests = 1'000'000;
  constexpr int64_t kMaxPercent = 100;
  auto in_service = TakeNumber(text, "in_service=");
  auto queued = in_service ? TakeNumber(text, ",queued=") : std::nullopt;
  auto service_us = queued ? TakeNumber(text, ",service_us=") : std::nullopt;
  if (!service_us) return std::nullopt;
  int64_t failing = 0;
  if (!text.empty()) {
    auto percent = TakeNumber(text, ",failing=");
    if (!percent || *percent > kMaxPercent || !text.empty()) return std::nullopt;
    failing = *percent;
  }
  if (*in_service > kMaxRequests || *queued > kMaxRequests) return std::nullopt;
  return ServerLoad{static_cast<int>(*in_service), static_cast<int>(*queued), *service_us,
                    static_cast<int>(failing)};
}

bool TwoChoices::IsLocal(const PlacementCandidate& candidate) const {
  return candidate.data_centre == m_options.local_data_centre;
}

void TwoChoices::UpdateSpill(std::span<const PlacementCandidate> candidates) {
  double requests = 0;
  double slots = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (!IsLocal(candidate) || candidate.is_backed_off) continue;
    requests += RequestsAt(candidate);
    slots += std::max(1, candidate.slots);
  }
  if (slots == 0) return;
  double pressure = requests / slots;
  if (pressure >= m_options.spill_start) m_spilling = true;
  if (pressure <= m_options.spill_stop) m_spilling = false;
}

double TwoChoices::CostOf(const PlacementCandidate& candidate, double service_us) const {
  if (IsLocal(candidate)) return 0;
  return std::max(static_cast<double>(m_options.remote_cost_us),
                  m_options.remote_gain * service_us);
}

std::vector<size_t> TwoChoices::PoolOf(std::span<const PlacementCandidate> candidates) const {
  std::vector<size_t> pool;
  auto fill = [&](auto&& wanted) {
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (wanted(candidates[i])) pool.push_back(i);
    }
    return !pool.empty();
  };
  if (!m_spilling && fill([&](const auto& c) { return !c.is_backed_off && IsLocal(c); }))
    return pool;
  if (fill([](const auto& c) { return !c.is_backed_off; })) return pool;
  fill([](const auto&) { return true; });
  return pool;
}

size_t TwoChoices::Draw(std::span<const PlacementCandidate> candidates,
                        std::span<const size_t> pool, RandomSource& random) const {
  size_t index = 0;
  for (int i = 0; i < kMaxDraws; ++i) {
    index = pool[random.Below(pool.size())];
    double ramp = static_cast<double>(candidates[index].age_us) /
                  static_cast<double>(m_options.slow_start_us);
    double share = kSlowStartShare + (1 - kSlowStartShare) * ramp;
    if (share >= 1 || random.Unit() < share) break;
  }
  return index;
}

std::optional<size_t> TwoChoices::Choose(std::span<const PlacementCandidate> candidates,
                                         RandomSource& random) {
  if (candidates.empty()) return std::nullopt;
  UpdateSpill(candidates);
  std::vector<size_t> pool = PoolOf(candidates);
  if (pool.size() == 1) return pool.front();
  // The first is a local one where there is any.
  auto remote = std::partition(pool.begin(), pool.end(),
                               [&](size_t index) { return IsLocal(candidates[index]); });
  auto locals = static_cast<size_t>(remote - pool.begin());
  std::span<const size_t> first_draws(pool.data(), locals > 0 ? locals : pool.size());
  size_t first = Draw(candidates, first_draws, random);
  std::erase(pool, first);
  size_t second = Draw(candidates, pool, random);
  Neutral neutral = NeutralOf(candidates);
  double first_us =
      ScoreOf(candidates[first], neutral) + CostOf(candidates[first], neutral.service_us);
  double second_us =
      ScoreOf(candidates[second], neutral) + CostOf(candidates[second], neutral.service_us);
  return second_us < kClearlyLess * first_us ? second : first;
}

std::optional<size_t> RoundRobin::Choose(std::span<const PlacementCandidate> candidates,
                                         RandomSource& /*random*/) {
  if (candidates.empty()) return std::nullopt;
  return m_next++ % candidates.size();
}

std::optional<size_t> Choose(PlacementPolicy& policy,
                             std::span<const PlacementCandidate> candidates, RandomSource& random) {
  return std::visit([&](auto& p) { return p.Choose(candidates, random); }, policy);
}

bool IsSpilling(const PlacementPolicy& policy) {
  const auto* two_choices = std::get_if<TwoChoices>(&policy);
  return two_choices != nullptr && two_choices->is_spilling();
}

LoadTracker::Entry& LoadTracker::EntryOf(std::string_view node, int64_t now_us) {
  auto entry = m_entries.find(node);
  if (entry == m_entries.end()) {
    entry = m_entries.emplace(std::string(node), Entry{.seen_us = now_us}).first;
  }
  return entry->second;
}

void LoadTracker::OnCallSent(std::string_view node, int64_t now_us) {
  ++EntryOf(node, now_us).in_flight;
}

void LoadTracker::OnCallEnded(std::string_view node) {
  auto entry = m_entries.find(node);
  if (entry == m_entries.end() || entry->second.in_flight == 0) return;
  --entry->second.in_flight;
  // What has ended since the report is no longer part of the reported requests.
  entry->second.in_flight_at_report =
      std::min(entry->second.in_flight_at_report, entry->second.in_flight);
}

void LoadTracker::OnLoadReport(std::string_view node, const ServerLoad& load, int64_t now_us) {
  Entry& entry = EntryOf(node, now_us);
  entry.load = load;
  entry.reported_us = now_us;
  entry.in_flight_at_report = entry.in_flight;
}

void LoadTracker::OnRefusal(std::string_view node, int64_t retry_after_ms, int64_t now_us) {
  Entry& entry = EntryOf(node, now_us);
  entry.avoid_until_us = std::max(entry.avoid_until_us, now_us + retry_after_ms * kUsPerMs);
}

void LoadTracker::AddServer(std::string_view node, int64_t now_us) { EntryOf(node, now_us); }

void LoadTracker::RemoveServer(std::string_view node) {
  auto entry = m_entries.find(node);
  if (entry != m_entries.end()) m_entries.erase(entry);
}

int64_t LoadTracker::ReportedServiceUs(std::string_view node) const {
  auto it = m_entries.find(node);
  return it == m_entries.end() ? 0 : it->second.load.service_us;
}

void LoadTracker::FillCandidate(PlacementCandidate& candidate, int64_t now_us) const {
  auto entry = m_entries.find(candidate.node);
  if (entry == m_entries.end()) return;
  const Entry& known = entry->second;
  candidate.load = known.load;
  candidate.load_age_us = known.reported_us < 0 ? -1 : now_us - known.reported_us;
  candidate.local_in_flight = known.in_flight;
  candidate.local_in_flight_at_report = known.in_flight_at_report;
  candidate.age_us = now_us - known.seen_us;
  candidate.is_backed_off = now_us < known.avoid_until_us;
}

}  // namespace guavatrail
