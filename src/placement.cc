#include "placement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace guavatrail {

namespace {

// Half-life of the weight of a load report, so that a server that is avoided because of an old
// report gets calls again.
constexpr double kReportHalfLifeUs = 500'000;
// Half-life of a reported share of failed requests. It is longer because an avoided server gets few
// calls and so sends few reports.
constexpr double kFailingHalfLifeUs = 3'000'000;
// The rate limit of a server may have ended if its last report is older than this.
constexpr int64_t kMaxUsableSlotsAgeUs = 3'000'000;
// Cost of a failed request to its caller, as a wait in service times.
constexpr double kFailureCost = 4;
// Assumed service time while no server has reported one.
constexpr double kDefaultServiceUs = 5'000;
// A server is preferred if its score is below this factor of the other's. Nearly equal servers
// share the calls at random; otherwise a slightly faster one would get all calls of an idle
// service.
constexpr double kClearlyLess = 0.9;
// Half-life of a reported service time in the expected completion time. The speed of a server
// changes more slowly than its number of requests; a slow phase lasts for 6 s and more.
constexpr double kSpeedHalfLifeUs = 3'000'000;
// Cost of a wait for a slot that is expected when as many requests as slots are known, in service
// times, and its exponent: the number of requests is known from old reports only, so the wait
// begins to count before all slots are used.
constexpr double kWaitWhenFull = 0.5;
constexpr double kWaitExponent = 3;
// Probability that a draw of a new server is accepted.
constexpr double kSlowStartShare = 0.1;
// Draws for one choice, after which a server in slow start is accepted in any case.
constexpr int kMaxDraws = 8;
constexpr int64_t kUsPerMs = 1000;

double WeightOf(const PlacementCandidate& candidate) {
  if (candidate.load_age_us < 0) return 0;
  return std::exp2(-static_cast<double>(candidate.load_age_us) / kReportHalfLifeUs);
}

// Expected cost of a failure in service times. A failing server may still be chosen if the wait at
// all others is longer.
double FailureCost(const PlacementCandidate& candidate) {
  constexpr double kMaxShare = 0.95;
  if (candidate.load.failing_percent <= 0 || candidate.load_age_us < 0) return 0;
  double weight = std::exp2(-static_cast<double>(candidate.load_age_us) / kFailingHalfLifeUs);
  double share = std::min(kMaxShare, weight * candidate.load.failing_percent / 100);
  return kFailureCost * share / (1 - share);
}

// A server with a rate limit leaves slots idle that look free in its load.
int SlotsOf(const PlacementCandidate& candidate) {
  int slots = std::max(1, candidate.slots);
  int usable = candidate.load.usable_slots;
  bool is_limited = usable > 0 && candidate.load_age_us <= kMaxUsableSlotsAgeUs;
  return is_limited ? std::min(slots, usable) : slots;
}

// Estimated number of requests that run or are queued on the server.
double RequestsAt(const PlacementCandidate& candidate) {
  double reported = WeightOf(candidate) * (candidate.load.in_service + candidate.load.queued);
  int own_since = std::max(0, candidate.local_in_flight - candidate.local_in_flight_at_report);
  return std::max<double>(candidate.local_in_flight, reported + own_since);
}

// Load assumed for a server without a recent report: the average of the reports.
struct ServiceAverage {
  double requests_per_slot = 0;
  double service_us = kDefaultServiceUs;
};

ServiceAverage AverageOf(std::span<const PlacementCandidate> candidates) {
  double requests = 0;
  double slots = 0;
  double service_us = 0;
  double service_weight = 0;
  for (const PlacementCandidate& candidate : candidates) {
    double weight = WeightOf(candidate);
    requests += weight * (candidate.load.in_service + candidate.load.queued);
    slots += weight * SlotsOf(candidate);
    if (candidate.load.service_us <= 0) continue;
    service_us += weight * static_cast<double>(candidate.load.service_us);
    service_weight += weight;
  }
  ServiceAverage average;
  if (slots > 0) average.requests_per_slot = requests / slots;
  if (service_weight > 0) average.service_us = service_us / service_weight;
  return average;
}

// Expected time of one more request on the server, including the wait for a slot and the cost of
// failures.
double ScoreOf(const PlacementCandidate& candidate, const ServiceAverage& average) {
  double weight = WeightOf(candidate);
  double service_us = average.service_us;
  if (candidate.load.service_us > 0) {
    service_us += weight * (static_cast<double>(candidate.load.service_us) - service_us);
  }
  int slots = SlotsOf(candidate);
  double requests = RequestsAt(candidate) + (1 - weight) * average.requests_per_slot * slots;
  return ((requests + 1) / slots + FailureCost(candidate)) * service_us;
}

// What is expected of one more request on a server.
struct Expectation {
  double service_us = 0;
  double slots = 1;
  double requests = 0;  // That run or are queued, apart from this one.
  double CompletionUs() const {
    double used = (requests + 1) / slots;
    double wait = used <= 1 ? kWaitWhenFull * std::pow(used, kWaitExponent)
                            : kWaitWhenFull + kWaitWhenFull * kWaitExponent * (used - 1);
    return service_us * (1 + wait);
  }
};

Expectation ExpectationOf(const PlacementCandidate& candidate, const ServiceAverage& average) {
  Expectation expected{.service_us = average.service_us,
                       .slots = static_cast<double>(SlotsOf(candidate))};
  if (candidate.load.service_us > 0 && candidate.load_age_us >= 0) {
    double weight = std::exp2(-static_cast<double>(candidate.load_age_us) / kSpeedHalfLifeUs);
    expected.service_us +=
        weight * (static_cast<double>(candidate.load.service_us) - average.service_us);
  }
  expected.requests = RequestsAt(candidate) +
                      (1 - WeightOf(candidate)) * average.requests_per_slot * expected.slots;
  return expected;
}

// Removes `name` and the number that follows from the start of `text`. If there is no such number,
// returns nullopt and leaves `text` as it is.
std::optional<int64_t> TakeNumber(std::string_view& text, std::string_view name) {
  if (!text.starts_with(name)) return std::nullopt;
  std::string_view number = text.substr(name.size());
  int64_t value = 0;
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
  if (error != std::errc() || value < 0) return std::nullopt;
  text = number.substr(static_cast<size_t>(end - number.data()));
  return value;
}

}  // namespace

std::string FormatLoad(const ServerLoad& load) {
  std::string text = "in_service=" + std::to_string(load.in_service) +
                     ",queued=" + std::to_string(load.queued) +
                     ",service_us=" + std::to_string(load.service_us);
  if (load.failing_percent > 0) text += ",failing=" + std::to_string(load.failing_percent);
  if (load.usable_slots > 0) text += ",usable=" + std::to_string(load.usable_slots);
  return text;
}

std::optional<ServerLoad> ParseLoad(std::string_view text) {
  constexpr int64_t kMaxRequests = 1'000'000;
  constexpr int64_t kMaxPercent = 100;
  auto in_service = TakeNumber(text, "in_service=");
  auto queued = in_service ? TakeNumber(text, ",queued=") : std::nullopt;
  auto service_us = queued ? TakeNumber(text, ",service_us=") : std::nullopt;
  if (!service_us) return std::nullopt;
  int64_t failing = TakeNumber(text, ",failing=").value_or(0);
  int64_t usable = TakeNumber(text, ",usable=").value_or(0);
  if (!text.empty() || failing > kMaxPercent) return std::nullopt;
  if (*in_service > kMaxRequests || *queued > kMaxRequests || usable > kMaxRequests) {
    return std::nullopt;
  }
  return ServerLoad{static_cast<int>(*in_service), static_cast<int>(*queued), *service_us,
                    static_cast<int>(failing), static_cast<int>(usable)};
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
    slots += SlotsOf(candidate);
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
  // The first of the two is drawn from the local servers if there are any.
  auto remote = std::partition(pool.begin(), pool.end(),
                               [&](size_t index) { return IsLocal(candidates[index]); });
  auto locals = static_cast<size_t>(remote - pool.begin());
  std::span<const size_t> first_draws(pool.data(), locals > 0 ? locals : pool.size());
  size_t first = Draw(candidates, first_draws, random);
  std::erase(pool, first);
  size_t second = Draw(candidates, pool, random);
  ServiceAverage average = AverageOf(candidates);
  double first_us =
      ScoreOf(candidates[first], average) + CostOf(candidates[first], average.service_us);
  double second_us =
      ScoreOf(candidates[second], average) + CostOf(candidates[second], average.service_us);
  return second_us < kClearlyLess * first_us ? second : first;
}

bool CompletionTime::IsLocal(const PlacementCandidate& candidate) const {
  return candidate.data_centre == m_options.local_data_centre;
}

std::optional<size_t> CompletionTime::NewServer(std::span<const PlacementCandidate> candidates,
                                                RandomSource& random) const {
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    bool is_unknown = candidate.load_age_us < 0 && candidate.local_in_flight == 0;
    if (!is_unknown || candidate.is_backed_off) continue;
    if (candidate.age_us > m_options.exploration_end_us) continue;
    double age =
        static_cast<double>(candidate.age_us) / static_cast<double>(m_options.exploration_us);
    if (random.Unit() < m_options.exploration * std::min(1.0, age)) return i;
  }
  return std::nullopt;
}

std::optional<size_t> CompletionTime::Choose(std::span<const PlacementCandidate> candidates,
                                             RandomSource& random) {
  if (candidates.empty()) return std::nullopt;
  if (std::optional<size_t> unknown = NewServer(candidates, random)) return unknown;
  bool has_usable = std::any_of(candidates.begin(), candidates.end(),
                                [](const auto& c) { return !c.is_backed_off; });
  ServiceAverage average = AverageOf(candidates);
  m_overloaded = average.requests_per_slot >= 1;
  std::vector<double> costs_us(candidates.size());
  std::vector<double> weights(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (has_usable && candidate.is_backed_off) continue;
    Expectation expected = ExpectationOf(candidate, average);
    costs_us[i] = expected.CompletionUs() + FailureCost(candidate) * expected.service_us;
    if (!IsLocal(candidate)) {
      costs_us[i] += static_cast<double>(m_options.remote_cost_us) +
                     m_options.remote_gain * average.service_us;
    }
    double ramp = std::min(
        1.0, static_cast<double>(candidate.age_us) / static_cast<double>(m_options.slow_start_us));
    weights[i] = (kSlowStartShare + (1 - kSlowStartShare) * ramp) * expected.slots /
                 std::max(1.0, expected.service_us);
  }
  std::optional<size_t> best;
  auto draw = [&](size_t count, bool local) {
    for (; count > 0; --count) {
      double total = 0;
      for (size_t i = 0; i < candidates.size(); ++i) {
        if (IsLocal(candidates[i]) == local) total += weights[i];
      }
      if (total <= 0) return;
      double drawn = random.Unit() * total;
      std::optional<size_t> index;
      for (size_t i = 0; i < candidates.size() && (!index || drawn >= 0); ++i) {
        if (IsLocal(candidates[i]) != local || weights[i] <= 0) continue;
        index = i;
        drawn -= weights[i];
      }
      weights[*index] = 0;
      if (!best || costs_us[*index] < kClearlyLess * costs_us[*best]) best = index;
    }
  };
  draw(m_options.local_draws, true);
  draw(m_options.remote_draws, false);
  return best;
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
  struct Visitor {
    bool operator()(const TwoChoices& p) const { return p.is_spilling(); }
    bool operator()(const RoundRobin&) const { return false; }
    bool operator()(const CompletionTime& p) const { return p.is_overloaded(); }
  };
  return std::visit(Visitor{}, policy);
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
  // Calls that ended since the report are no longer among the reported requests.
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
  entry.backoff_until_us = std::max(entry.backoff_until_us, now_us + retry_after_ms * kUsPerMs);
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
  candidate.is_backed_off = now_us < known.backoff_until_us;
}

}  // namespace guavatrail
