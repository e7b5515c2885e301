#include "admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// Callers that return in less than 20 ms would meet the same burst; beyond 30 s the prediction is
// meaningless.
constexpr int64_t kMinRetryAfterMs = 20;
constexpr int64_t kMaxRetryAfterMs = 30'000;
// Factor on the typical service time that covers its variance. With exponential service times at
// 1.5 times the capacity, 4.4% of long requests end late with a factor of 1, and 2.2% with 1.5.
constexpr double kServiceMargin = 1.5;
constexpr size_t kMaxKinds = 64;
// The predicted remaining time of a running request is at least its typical time divided by this,
// even if the request has exceeded its typical time.
constexpr int64_t kOverdueDivisor = 4;

int64_t ObjectiveOf(const AdmissionRequest& request) {
  bool has_objective = request.objective_us > 0 && request.objective_us < request.deadline_us;
  return has_objective ? request.objective_us : request.deadline_us;
}

// Latest time at which a request may be predicted to end. An answer slightly after the objective
// is more useful than a refusal, provided that half of the remaining time is left for the way back
// to the caller and for prediction errors.
int64_t AdmissionLimitOf(const AdmissionRequest& request, int64_t now_us) {
  if (request.objective_us == 0) return request.deadline_us;
  return std::max(ObjectiveOf(request), now_us + (request.deadline_us - now_us) / 2);
}

AdmissionDecision Decide(AdmissionDecision::Action action) { return {.action = action}; }

}  // namespace

// At least one slot is usable by long work, which otherwise would never run on a server with few
// slots.
SlotAdmission::SlotAdmission(Options options)
    : m_options(options), m_long_limit(std::max(1, options.slots - options.reserved_short_slots)) {}

AdmissionDecision SlotAdmission::Arrive(const AdmissionRequest& request, int64_t now_us) {
  using Action = AdmissionDecision::Action;
  if (request.deadline_us <= now_us) {
    return {.action = Action::kRefuse, .retry_after_ms = RetryAfterMs(now_us)};
  }
  // A free slot is used even if the estimate predicts a missed deadline: only a new measurement can
  // correct an estimate that is too high.
  if (CanStartNow(request, now_us)) {
    Start(request, now_us);
    return Decide(Action::kRun);
  }
  bool is_late = WouldMiss(ObjectiveOf(request), request, 0, now_us);
  Rank rank = RankOf(request, is_late, now_us);
  int64_t wait_us = PredictedWaitUs(request, now_us);
  AdmissionDecision refused{.action = Action::kRefuse,
                            .retry_after_ms = RetryAfterMs(now_us),
                            .is_above_share = rank.is_above_share};
  if (request.is_offer) {
    refused.wait_ms = wait_us / kUsPerMs + 1;
    return refused;
  }
  int64_t limit_us = is_late ? request.deadline_us : AdmissionLimitOf(request, now_us);
  if (WouldMiss(limit_us, request, wait_us, now_us)) return refused;
  AdmissionDecision decision{.action = Action::kQueue, .is_above_share = rank.is_above_share};
  if (static_cast<int>(m_queue.size()) >= m_options.queue_limit) {
    auto last = m_queue.empty() ? m_queue.end() : std::prev(m_queue.end());
    if (last == m_queue.end() || !CanEvict(request, rank, last)) return refused;
    decision.evicted.push_back({last->second.id, RetryAfterMs(now_us)});
    Dequeue(last);
  }
  Enqueue(request, rank);
  return decision;
}

AdmissionChanges SlotAdmission::Finish(uint64_t id, int64_t service_us, int64_t now_us) {
  AdmissionChanges changes;
  auto entry = m_running.find(id);
  if (entry == m_running.end()) return changes;
  RecordServiceTime(entry->second, service_us);
  EndRunning(entry);
  StartQueued(now_us, changes);
  return changes;
}

AdmissionChanges SlotAdmission::Cancel(uint64_t id, int64_t now_us) {
  AdmissionChanges changes;
  if (auto queued = m_queued_ranks.find(id); queued != m_queued_ranks.end()) {
    Dequeue(m_queue.find(queued->second));
    return changes;
  }
  auto entry = m_running.find(id);
  if (entry == m_running.end()) return changes;
  // The true service time is unknown, but it is at least the elapsed time. Without this sample the
  // estimate would stay too low on a server whose requests all time out.
  const Running& running = entry->second;
  int64_t elapsed_us = now_us - running.start_us;
  if (elapsed_us > EstimateFor(running.kind, running.is_short).typical_us()) {
    RecordServiceTime(running, elapsed_us);
  }
  EndRunning(entry);
  StartQueued(now_us, changes);
  return changes;
}

AdmissionChanges SlotAdmission::Expire(int64_t now_us) {
  AdmissionChanges changes;
  for (auto entry = m_queue.begin(); entry != m_queue.end();) {
    if (WouldMiss(entry->second.deadline_us, entry->second, 0, now_us)) {
      changes.refuse.push_back({entry->second.id, 0});
      entry = Dequeue(entry);
    } else {
      ++entry;
    }
  }
  StartQueued(now_us, changes);
  return changes;
}

AdmissionLoad SlotAdmission::load() const {
  int64_t service_us = m_short_estimate.stable_us();
  if (service_us == 0) service_us = m_long_estimate.stable_us();
  return {static_cast<int>(m_running.size()), static_cast<int>(m_queue.size()), service_us,
          UsableSlots(service_us)};
}

// The mean number of slots in use if requests start at the limit (Little's law).
int SlotAdmission::UsableSlots(int64_t service_us) const {
  if (!m_rate_limit.limit_per_s() || service_us == 0) return 0;
  constexpr double kUsPerSecond = 1'000'000.0;
  double busy = *m_rate_limit.limit_per_s() * static_cast<double>(service_us) / kUsPerSecond;
  return static_cast<int>(std::clamp(std::ceil(busy), 1.0, static_cast<double>(m_options.slots)));
}

int64_t SlotAdmission::PredictedWaitUs(const AdmissionRequest& request, int64_t now_us) const {
  Rank rank = RankOf(request, WouldMiss(ObjectiveOf(request), request, 0, now_us), now_us);
  int64_t slot_us = SlotWaitUs(request, rank, now_us);
  if (!m_rate_limit.limit_per_s()) return slot_us;
  return std::max(slot_us, m_rate_limit.WaitUs(QueuedBefore(rank), now_us));
}

size_t SlotAdmission::QueuedBefore(const Rank& rank) const {
  return static_cast<size_t>(std::distance(m_queue.begin(), m_queue.lower_bound(rank)));
}

// Predicted time until a slot is free for `request`.
int64_t SlotAdmission::SlotWaitUs(const AdmissionRequest& request, const Rank& rank,
                                  int64_t now_us) const {
  int64_t shared_us = FreeSlotUs(rank, Slots::kAll, now_us);
  if (m_long_limit >= m_options.slots) return shared_us;
  if (!request.is_short) {
    return std::max(shared_us, FreeSlotUs(rank, Slots::kForLongWork, now_us));
  }
  // Long work in the queue cannot use the reserved slots, where short work waits for other short
  // work only.
  Remaining work = RemainingOfRunning(now_us);
  int reserved = m_options.slots - m_long_limit - work.stuck_short;
  if (reserved <= 0) return shared_us;
  for (const auto& [other, entry] : m_queue) {
    if (rank < other) break;
    if (entry.is_short) work.short_us += EstimateFor(entry.kind, entry.is_short).typical_us();
  }
  return std::min(shared_us, work.short_us / reserved);
}

// Predicts the time until one of `slots` is free for a request of `rank`, with each request ahead
// taking the slot that becomes free first. The mean remaining work per slot would be several times
// too long for the first request in the queue of a server with many slots.
int64_t SlotAdmission::FreeSlotUs(const Rank& rank, Slots slots, int64_t now_us) const {
  bool counts_short = slots == Slots::kAll;
  std::vector<int64_t> free_us;
  int stuck = 0;
  for (const auto& [id, running] : m_running) {
    if (running.is_short && !counts_short) continue;
    const ServiceTimeEstimate& estimate = EstimateFor(running.kind, running.is_short);
    int64_t elapsed_us = now_us - running.start_us;
    if (estimate.IsStraggler(elapsed_us)) {
      ++stuck;
      continue;
    }
    int64_t typical_us = estimate.typical_us();
    free_us.push_back(std::max(typical_us - elapsed_us, typical_us / kOverdueDivisor));
  }
  int count = slots == Slots::kAll ? m_options.slots : m_long_limit;
  auto usable = static_cast<size_t>(std::max(1, count - stuck));
  free_us.resize(std::max(usable, free_us.size()), 0);
  std::make_heap(free_us.begin(), free_us.end(), std::greater<>());
  for (const auto& [other, entry] : m_queue) {
    if (rank < other) break;
    if (entry.is_short && !counts_short) continue;
    std::pop_heap(free_us.begin(), free_us.end(), std::greater<>());
    free_us.back() += EstimateFor(entry.kind, entry.is_short).typical_us();
    std::push_heap(free_us.begin(), free_us.end(), std::greater<>());
  }
  return free_us.front();
}

int64_t SlotAdmission::PredictedDrainUs(int64_t now_us) const {
  Remaining work = RemainingOfRunning(now_us);
  for (const auto& [rank, entry] : m_queue) {
    (entry.is_short ? work.short_us : work.long_us) +=
        EstimateFor(entry.kind, entry.is_short).typical_us();
  }
  int usable = std::max(1, m_options.slots - work.stuck_short - work.stuck_long);
  int64_t slots_us = std::max((work.short_us + work.long_us) / usable,
                              work.long_us / std::max(1, m_long_limit - work.stuck_long));
  return std::max(slots_us, m_rate_limit.WaitUs(m_queue.size(), now_us));
}

const ServiceTimeEstimate& SlotAdmission::EstimateFor(std::string_view kind, bool is_short) const {
  auto it = m_kind_estimates.find(kind);
  if (it != m_kind_estimates.end() && it->second.stable_us() > 0) return it->second;
  return is_short ? m_short_estimate : m_long_estimate;
}

void SlotAdmission::RecordServiceTime(const Running& running, int64_t service_us) {
  (running.is_short ? m_short_estimate : m_long_estimate).Add(service_us);
  if (running.kind.empty()) return;
  // Kinds change with the configuration. All estimates are dropped, so that those of removed kinds
  // do not accumulate; kinds in use are measured again.
  if (m_kind_estimates.size() >= kMaxKinds && !m_kind_estimates.contains(running.kind)) {
    m_kind_estimates.clear();
  }
  m_kind_estimates[running.kind].Add(service_us);
}

bool SlotAdmission::HasSlotFor(bool is_short) const {
  if (static_cast<int>(m_running.size()) >= m_options.slots) return false;
  return is_short || m_running_long < m_long_limit;
}

// Whether `request` has a slot, and its turn under the rate limit has come: no queued request that
// could start too ranks before it.
bool SlotAdmission::CanStartNow(const AdmissionRequest& request, int64_t now_us) const {
  if (!HasSlotFor(request.is_short) || !m_rate_limit.CanSend(now_us)) return false;
  Rank rank = RankOf(request, WouldMiss(ObjectiveOf(request), request, 0, now_us), now_us);
  for (const auto& [other, entry] : m_queue) {
    if (rank < other) break;
    if (HasSlotFor(entry.is_short)) return false;
  }
  return true;
}

bool SlotAdmission::WouldMiss(int64_t limit_us, const AdmissionRequest& request, int64_t wait_us,
                              int64_t now_us) const {
  auto service_us = static_cast<double>(EstimateFor(request.kind, request.is_short).typical_us());
  return now_us + wait_us + static_cast<int64_t>(kServiceMargin * service_us) > limit_us;
}

SlotAdmission::Rank SlotAdmission::RankOf(const AdmissionRequest& request, bool is_late,
                                          int64_t now_us) const {
  const WorkspaceTag& workspace = request.workspace;
  return {.workspace = -(workspace.name.empty() ? kMaxImportance : workspace.importance),
          .is_above_share = m_fair_share.IsAboveShare(workspace, now_us),
          .priority = -request.importance + (is_late ? 1 : 0),
          .due_us = is_late ? request.deadline_us : ObjectiveOf(request),
          .sequence = m_next_sequence,
          .is_late = is_late};
}

// A queued request is evicted only for one of a more important workspace, or work kind, or because
// its workspace has used more than its share; not for one that is merely due sooner.
bool SlotAdmission::CanEvict(const AdmissionRequest& request, const Rank& rank,
                             Queue::iterator entry) const {
  const auto& [other, queued] = *entry;
  int importance = -request.importance;
  int queued_importance = -queued.importance;
  return std::tie(rank.workspace, rank.is_above_share, importance) <
         std::tie(other.workspace, other.is_above_share, queued_importance);
}

void SlotAdmission::SetSlots(int slots) {
  m_options.slots = slots;
  m_long_limit = std::max(1, slots - m_options.reserved_short_slots);
}

SlotAdmission::Remaining SlotAdmission::RemainingOfRunning(int64_t now_us) const {
  Remaining remaining;
  for (const auto& [id, running] : m_running) {
    const ServiceTimeEstimate& estimate = EstimateFor(running.kind, running.is_short);
    int64_t elapsed_us = now_us - running.start_us;
    if (estimate.IsStraggler(elapsed_us)) {
      ++(running.is_short ? remaining.stuck_short : remaining.stuck_long);
      continue;
    }
    (running.is_short ? remaining.short_us : remaining.long_us) +=
        std::max<int64_t>(0, estimate.typical_us() - elapsed_us);
  }
  return remaining;
}

int64_t SlotAdmission::RetryAfterMs(int64_t now_us) const {
  return std::clamp(PredictedDrainUs(now_us) / kUsPerMs, kMinRetryAfterMs, kMaxRetryAfterMs);
}

void SlotAdmission::Start(const AdmissionRequest& request, int64_t now_us) {
  m_running[request.id] = {request.is_short, request.kind, now_us};
  m_rate_limit.OnSent(now_us);
  m_fair_share.OnStarted(request.workspace,
                         EstimateFor(request.kind, request.is_short).typical_us(), now_us);
  if (!request.is_short) ++m_running_long;
}

void SlotAdmission::Enqueue(const AdmissionRequest& request, const Rank& rank) {
  ++m_next_sequence;
  m_queue.emplace(rank, request);
  m_queued_ranks.emplace(request.id, rank);
}

void SlotAdmission::MoveToLateQueue(Queue::iterator entry, int64_t now_us) {
  AdmissionRequest request = entry->second;
  Dequeue(entry);
  Enqueue(request, RankOf(request, true, now_us));
}

SlotAdmission::Queue::iterator SlotAdmission::Dequeue(Queue::iterator entry) {
  m_queued_ranks.erase(entry->second.id);
  return m_queue.erase(entry);
}

void SlotAdmission::EndRunning(std::unordered_map<uint64_t, Running>::iterator entry) {
  if (!entry->second.is_short) --m_running_long;
  m_running.erase(entry);
}

void SlotAdmission::StartQueued(int64_t now_us, AdmissionChanges& changes) {
  auto entry = m_queue.begin();
  while (entry != m_queue.end() && static_cast<int>(m_running.size()) < m_options.slots &&
         m_rate_limit.CanSend(now_us)) {
    const AdmissionRequest& request = entry->second;
    bool is_late = entry->first.is_late;
    if (WouldMiss(request.deadline_us, request, 0, now_us)) {
      // Running it would take a slot from a request that can still be answered in time.
      changes.refuse.push_back({request.id, 0});
      entry = Dequeue(entry);
    } else if (!is_late && WouldMiss(ObjectiveOf(request), request, 0, now_us)) {
      MoveToLateQueue(entry, now_us);
      entry = m_queue.begin();
    } else if (HasSlotFor(request.is_short)) {
      Start(request, now_us);
      changes.start.push_back(request.id);
      entry = Dequeue(entry);
    } else {
      ++entry;
    }
  }
  // Computed after the removal, so that the refused requests do not count towards the drain time.
  for (AdmissionRefusal& refusal : changes.refuse) refusal.retry_after_ms = RetryAfterMs(now_us);
}

AdmissionDecision UnlimitedAdmission::Arrive(const AdmissionRequest& request, int64_t /*now_us*/) {
  if (static_cast<int>(m_running.size()) < m_options.concurrency) {
    m_running[request.id] = true;
    return Decide(AdmissionDecision::Action::kRun);
  }
  m_queue.push_back(request.id);
  return Decide(AdmissionDecision::Action::kQueue);
}

AdmissionChanges UnlimitedAdmission::Finish(uint64_t id, int64_t service_us, int64_t /*now_us*/) {
  if (m_running.erase(id) == 0) return {};
  m_estimate.Add(service_us);
  return StartQueued();
}

AdmissionChanges UnlimitedAdmission::Cancel(uint64_t id, int64_t /*now_us*/) {
  if (m_running.erase(id) > 0) return StartQueued();
  std::erase(m_queue, id);
  return {};
}

AdmissionChanges UnlimitedAdmission::Expire(int64_t /*now_us*/) { return {}; }

AdmissionLoad UnlimitedAdmission::load() const {
  return {static_cast<int>(m_running.size()), static_cast<int>(m_queue.size()),
          m_estimate.stable_us()};
}

AdmissionChanges UnlimitedAdmission::StartQueued() {
  AdmissionChanges changes;
  while (!m_queue.empty() && static_cast<int>(m_running.size()) < m_options.concurrency) {
    m_running[m_queue.front()] = true;
    changes.start.push_back(m_queue.front());
    m_queue.pop_front();
  }
  return changes;
}

AdmissionDecision Arrive(AdmissionPolicy& policy, const AdmissionRequest& request, int64_t now_us) {
  return std::visit([&](auto& p) { return p.Arrive(request, now_us); }, policy);
}

AdmissionChanges Finish(AdmissionPolicy& policy, uint64_t id, int64_t service_us, int64_t now_us) {
  return std::visit([&](auto& p) { return p.Finish(id, service_us, now_us); }, policy);
}

AdmissionChanges Cancel(AdmissionPolicy& policy, uint64_t id, int64_t now_us) {
  return std::visit([&](auto& p) { return p.Cancel(id, now_us); }, policy);
}

AdmissionChanges Expire(AdmissionPolicy& policy, int64_t now_us) {
  return std::visit([&](auto& p) { return p.Expire(now_us); }, policy);
}

AdmissionLoad LoadOf(const AdmissionPolicy& policy) {
  return std::visit([](const auto& p) { return p.load(); }, policy);
}

ServerRateLimit& RateLimitOf(AdmissionPolicy& policy) {
  return std::visit([](auto& p) -> ServerRateLimit& { return p.rate_limit(); }, policy);
}

const ServerRateLimit& RateLimitOf(const AdmissionPolicy& policy) {
  return std::visit([](const auto& p) -> const ServerRateLimit& { return p.rate_limit(); }, policy);
}

}  // namespace guavatrail
