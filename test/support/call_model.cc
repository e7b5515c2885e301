#include "call_model.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace guavatrail::test {

namespace {

constexpr int kSlots = 9;
constexpr int64_t kExpirePeriodUs = 20'000;
constexpr int kMaxAttempts = 2;

struct Call {
  uint64_t id = 0;
  size_t kind = 0;
  size_t entry = 0;
  size_t server = 0;
  int attempts = 0;
  int64_t arrival_us = 0;
  int64_t sent_us = 0;
  double work_us = 0;
};

struct Entry {
  PlacementPolicy placement;
  OutlierPolicy outliers;
  RetryBudget retries;
  LoadTracker tracker;
};

class Model {
 public:
  explicit Model(const ModelOptions& options) : m_options(options), m_random(options.seed) {
    for (size_t i = 0; i < options.servers; ++i) {
      m_names.push_back("server-" + std::to_string(i));
      m_servers.push_back(options.admission());
    }
    std::vector<std::string_view> names(m_names.begin(), m_names.end());
    for (size_t i = 0; i < options.entries; ++i) {
      m_entries.push_back({options.placement(), options.outliers(), options.retries(), {}});
      SetServers(m_entries.back().outliers, names, 0);
    }
  }

  ModelResult Run() {
    ScheduleArrivals();
    while (!m_events.empty()) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.time_us;
      event.run();
    }
    return std::move(m_result);
  }

 private:
  struct Event {
    int64_t time_us;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time_us, sequence) > std::tie(other.time_us, other.sequence);
    }
  };

  void At(int64_t time_us, std::function<void()> run) {
    m_events.push({time_us, m_sequence++, std::move(run)});
  }

  double Exponential() { return -std::log(1 - m_random.Unit()); }

  void ScheduleArrivals() {
    double time_us = 0;
    double end_us = 0;
    for (const ModelPhase& phase : m_options.phases) {
      end_us += static_cast<double>(phase.length_us);
      for (time_us += Exponential() * 1e6 / phase.rate; time_us < end_us;
           time_us += Exponential() * 1e6 / phase.rate) {
        At(static_cast<int64_t>(time_us), [this] { Arrive(); });
      }
      time_us = end_us;
    }
    auto slices = static_cast<size_t>(end_us) / kModelSliceUs + 1;
    m_result.sent_by_slice.resize(slices);
    m_result.good_by_slice.resize(slices);
    m_result.sent_to_server_by_slice.assign(m_servers.size(), std::vector<uint64_t>(slices));
    for (int64_t t = 0; t < static_cast<int64_t>(end_us); t += kExpirePeriodUs) {
      At(t, [this] {
        for (size_t i = 0; i < m_servers.size(); ++i) Apply(i, Expire(m_servers[i], m_now));
      });
    }
  }

  size_t DrawKind() {
    double total = 0;
    for (const ModelKind& kind : m_options.kinds) total += kind.weight;
    double drawn = m_random.Unit() * total;
    size_t i = 0;
    while (i + 1 < m_options.kinds.size() && drawn >= m_options.kinds[i].weight) {
      drawn -= m_options.kinds[i++].weight;
    }
    return i;
  }

  void Arrive() {
    Call call{.id = ++m_next_id, .kind = DrawKind(), .arrival_us = m_now};
    const ModelKind& kind = m_options.kinds[call.kind];
    call.entry = m_random.Below(m_entries.size());
    double drawn = (1 - kind.constant_share) * std::max(0.1, Exponential());
    call.work_us = static_cast<double>(kind.service_us) * (kind.constant_share + drawn);
    if (m_random.Unit() < kind.straggler_share) call.work_us *= kind.straggler_factor;
    ++m_result.kinds[kind.name].sent;
    ++m_result.sent_by_slice[static_cast<size_t>(m_now / kModelSliceUs)];
    OnCall(m_entries[call.entry].retries);
    Place(call);
  }

  size_t ChooseServer(Entry& entry) {
    std::vector<PlacementCandidate> candidates;
    for (size_t i = 0; i < m_names.size(); ++i) {
      PlacementCandidate candidate{.node = m_names[i], .data_centre = "a", .slots = kSlots};
      entry.tracker.FillCandidate(candidate, m_now);
      EjectionState ejection = EjectionStateOf(entry.outliers, m_names[i], m_now);
      if (ejection == EjectionState::kProbeDue) {
        OnProbeSent(entry.outliers, m_names[i], m_now);
        return i;
      }
      candidate.is_backed_off = candidate.is_backed_off || ejection == EjectionState::kEjected;
      candidates.push_back(candidate);
    }
    return *Choose(entry.placement, candidates, m_random);
  }

  void Place(Call call) {
    Entry& entry = m_entries[call.entry];
    call.server = ChooseServer(entry);
    call.sent_us = m_now;
    ++call.attempts;
    ++m_result.sent_to_server_by_slice[call.server][SliceOf(m_now)];
    entry.tracker.OnCallSent(m_names[call.server], m_now);
    At(m_now + m_options.one_way_us, [this, call] { Admit(call); });
  }

  void Admit(const Call& call) {
    const ModelKind& kind = m_options.kinds[call.kind];
    AdmissionRequest request{.id = call.id,
                             .importance = kind.importance,
                             .is_short = kind.is_short,
                             .deadline_us = call.arrival_us + kind.deadline_us,
                             .arrival_us = m_now,
                             .kind = kind.name};
    if (kind.objective_us > 0) request.objective_us = call.arrival_us + kind.objective_us;
    m_calls[call.id] = call;
    AdmissionDecision decision = guavatrail::Arrive(m_servers[call.server], request, m_now);
    for (const AdmissionRefusal& refusal : decision.evicted) Refuse(refusal);
    if (decision.action == AdmissionDecision::Action::kRun) Start(call.id);
    if (decision.action == AdmissionDecision::Action::kRefuse) {
      Refuse({call.id, decision.retry_after_ms});
    }
  }

  void Start(uint64_t id) {
    const Call& call = m_calls.at(id);
    double factor = 1;
    for (const ModelSlowdown& slow : m_options.slowdowns) {
      bool is_active = m_now >= slow.from_us && m_now < slow.to_us;
      if (slow.server == call.server && is_active) factor = slow.factor;
    }
    auto service_us = static_cast<int64_t>(call.work_us * factor);
    At(m_now + service_us, [this, id, service_us] { End(id, service_us); });
  }

  void End(uint64_t id, int64_t service_us) {
    Call call = m_calls.at(id);
    m_calls.erase(id);
    Apply(call.server, Finish(m_servers[call.server], id, service_us, m_now));
    ServerLoad load = Report(call.server);
    At(m_now + m_options.one_way_us, [this, call, load] { Answer(call, load); });
  }

  ServerLoad Report(size_t server) const {
    AdmissionLoad load = LoadOf(m_servers[server]);
    return {load.in_service, load.queued, load.service_us};
  }

  void Apply(size_t /*server*/, const AdmissionChanges& changes) {
    for (uint64_t id : changes.start) Start(id);
    for (const AdmissionRefusal& refusal : changes.refuse) Refuse(refusal);
  }

  void Refuse(const AdmissionRefusal& refusal) {
    Call call = m_calls.at(refusal.id);
    m_calls.erase(refusal.id);
    ServerLoad load = Report(call.server);
    At(m_now + m_options.one_way_us,
       [this, call, load, refusal] { HandleRefusal(call, load, refusal.retry_after_ms); });
  }

  void HandleRefusal(const Call& call, const ServerLoad& load, int64_t retry_after_ms) {
    Entry& entry = m_entries[call.entry];
    entry.tracker.OnCallEnded(m_names[call.server]);
    entry.tracker.OnLoadReport(m_names[call.server], load, m_now);
    entry.tracker.OnRefusal(m_names[call.server], retry_after_ms, m_now);
    if (m_servers.size() > 1 && call.attempts < kMaxAttempts && CanRetry(entry.retries)) {
      OnRetry(entry.retries);
      Place(call);
      return;
    }
    ++m_result.kinds[m_options.kinds[call.kind].name].refused;
  }

  void Answer(const Call& call, const ServerLoad& load) {
    Entry& entry = m_entries[call.entry];
    const ModelKind& kind = m_options.kinds[call.kind];
    const std::string& server = m_names[call.server];
    entry.tracker.OnCallEnded(server);
    entry.tracker.OnLoadReport(server, load, m_now);
    OnAnswer(entry.outliers, {server, kind.name, m_now - call.sent_us, load.service_us}, m_now);
    ModelResult::Kind& result = m_result.kinds[kind.name];
    int64_t latency_us = m_now - call.arrival_us;
    result.latency.Record(latency_us);
    bool is_good = latency_us <= kind.deadline_us;
    ++(is_good ? result.good : result.late);
    if (is_good) ++m_result.good_by_slice[SliceOf(call.arrival_us)];
  }

  // Events after the last phase (retries) count towards the last slice.
  size_t SliceOf(int64_t time_us) const {
    return std::min(static_cast<size_t>(time_us / kModelSliceUs),
                    m_result.sent_by_slice.size() - 1);
  }

  const ModelOptions& m_options;
  RandomSource m_random;
  std::vector<std::string> m_names;
  std::vector<AdmissionPolicy> m_servers;
  std::vector<Entry> m_entries;
  std::priority_queue<Event> m_events;
  uint64_t m_sequence = 0;
  uint64_t m_next_id = 0;
  int64_t m_now = 0;
  std::map<uint64_t, Call> m_calls;
  ModelResult m_result;
};

}  // namespace

ModelOptions CurrentPolicies() {
  ModelOptions options;
  options.admission = [] { return SlotAdmission({.slots = kSlots, .reserved_short_slots = 2}); };
  options.placement = [] { return TwoChoices({.local_data_centre = "a"}); };
  options.outliers = [] { return OutlierDetector(); };
  options.retries = [] { return TokenRetryBudget(); };
  return options;
}

ModelOptions BaselinePolicies() {
  ModelOptions options;
  options.admission = [] { return UnlimitedAdmission({.concurrency = kSlots}); };
  options.placement = [] { return RoundRobin(); };
  options.outliers = [] { return NoOutlierDetection(); };
  options.retries = [] { return UnlimitedRetries(); };
  return options;
}

ModelResult::Kind ModelResult::All() const {
  Kind all;
  for (const auto& [name, kind] : kinds) {
    all.sent += kind.sent;
    all.good += kind.good;
    all.refused += kind.refused;
    all.late += kind.late;
    all.latency.Merge(kind.latency);
  }
  return all;
}

double ModelResult::Goodput(int64_t from_us, int64_t to_us) const {
  uint64_t good = 0;
  for (int64_t t = from_us; t < to_us; t += kModelSliceUs) {
    good += good_by_slice.at(static_cast<size_t>(t / kModelSliceUs));
  }
  return static_cast<double>(good) * 1e6 / static_cast<double>(to_us - from_us);
}

int64_t ModelResult::RecoveryUs(int64_t end_us) const {
  constexpr double kRecoveredShare = 0.95;
  int64_t recovery_us = 0;
  for (auto i = static_cast<size_t>(end_us / kModelSliceUs); i < sent_by_slice.size(); ++i) {
    if (static_cast<double>(good_by_slice[i]) <
        kRecoveredShare * static_cast<double>(sent_by_slice[i])) {
      recovery_us = static_cast<int64_t>(i + 1) * kModelSliceUs - end_us;
    }
  }
  return recovery_us;
}

ModelResult RunModel(const ModelOptions& options) { return Model(options).Run(); }

}  // namespace guavatrail::test
