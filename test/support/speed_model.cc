#include "speed_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <set>
#include <utility>

#include "admission.h"
#include "server_picker.h"

namespace guavatrail::test {

namespace {

constexpr int64_t kStepUs = 1'000;
constexpr int64_t kLocalOneWayUs = 300;
constexpr int64_t kRemoteOneWayUs = 1'000;
constexpr int64_t kExpirePeriodUs = 20'000;
constexpr int kMaxOffers = 2;
constexpr const char* kService = "shop";

struct Call {
  size_t kind = 0;
  size_t entry = 0;
  size_t server = 0;
  int64_t arrival_us = 0;
  int64_t sent_us = 0;
  int64_t start_us = 0;
  double work_us = 0;
  int offers = 0;
  bool is_offer = false;
  std::set<std::string> tried;
  std::vector<std::pair<int64_t, size_t>> busy;  // Predicted wait and server.
};

struct Server {
  SlotAdmission admission;
  std::map<uint64_t, double> remaining_us;  // Of the running calls, at speed 1.
  int expected = 0;                         // Calls placed that have not ended.
};

struct Entry {
  std::string data_centre;
  std::unique_ptr<ServerPicker> picker;
};

class Model {
 public:
  explicit Model(const SpeedModelOptions& options) : m_options(options), m_random(options.seed) {
    for (const SpeedServer& server : options.servers) {
      int slots = options.knows_all ? std::min(server.knee, server.slots) : server.slots;
      bool is_adaptive = options.has_adaptive_concurrency && !options.knows_all;
      m_servers.push_back({SlotAdmission({.slots = slots,
                                          .reserved_short_slots = 0,
                                          .has_adaptive_concurrency = is_adaptive}),
                           {}});
      m_names.push_back("server-" + std::to_string(m_names.size()));
    }
    Settings settings;
    settings.calls.placement = options.placement;
    for (const std::string& data_centre : options.data_centres) {
      settings.node.data_centre = data_centre;
      for (size_t i = 0; i < options.entries_per_data_centre; ++i) {
        m_entries.push_back({data_centre, std::make_unique<ServerPicker>(settings, m_random)});
      }
    }
    m_result.missed_by_kind.resize(options.kinds.size());
    m_result.missed_by_second.resize(static_cast<size_t>(options.length_us) / 1'000'000);
    m_result.started_by_server.resize(m_servers.size());
    m_result.limit_by_second.resize(m_servers.size());
    m_result.first_start_us.resize(m_servers.size(), -1);
    m_result.started_by_second.assign(
        m_servers.size(),
        std::vector<uint64_t>(static_cast<size_t>(options.length_us) / 1'000'000));
  }

  SpeedModelResult Run() {
    for (; m_now < m_options.length_us; m_now += kStepUs) {
      UpdateEndpoints();
      Arrivals();
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        auto run = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        run();
      }
      for (size_t i = 0; i < m_servers.size(); ++i) Work(i);
      if ((m_now + kStepUs) % 1'000'000 == 0) {
        for (size_t i = 0; i < m_servers.size(); ++i) {
          m_result.limit_by_second[i].push_back(m_servers[i].admission.concurrency_limit());
        }
      }
      if (m_now % kExpirePeriodUs != 0) continue;
      for (size_t i = 0; i < m_servers.size(); ++i) {
        Apply(i, m_servers[i].admission.Expire(m_now));
      }
    }
    return std::move(m_result);
  }

 private:
  void At(int64_t time_us, std::function<void()> run) { m_events.emplace(time_us, std::move(run)); }

  const SpeedKind& KindOf(const Call& call) const { return m_options.kinds[call.kind]; }

  void UpdateEndpoints() {
    std::vector<Endpoint> endpoints;
    for (size_t i = 0; i < m_servers.size(); ++i) {
      const SpeedServer& server = m_options.servers[i];
      if (server.joins_us > m_now) continue;
      endpoints.push_back({.node = m_names[i],
                           .incarnation = 1,
                           .service = kService,
                           .data_centre = server.data_centre,
                           .slots = server.slots});
    }
    if (endpoints.size() == m_listed) return;
    m_listed = endpoints.size();
    auto list = std::make_shared<const EndpointList>(std::move(endpoints));
    for (Entry& entry : m_entries) entry.picker->SetEndpoints(list, m_now);
  }

  void Arrivals() {
    double centres = static_cast<double>(m_options.data_centres.size());
    for (size_t dc = 0; dc < m_options.data_centres.size(); ++dc) {
      double turn = static_cast<double>(m_now) / static_cast<double>(m_options.wave_us) +
                    static_cast<double>(dc) / centres;
      double swing = 1 + m_options.wave * std::sin(2 * std::numbers::pi * turn);
      double expected = m_options.rate / centres * swing * kStepUs / 1e6;
      if (m_random.Unit() < expected) Arrive(dc);
    }
  }

  size_t DrawKind() {
    double total = 0;
    for (const SpeedKind& kind : m_options.kinds) total += kind.weight;
    double drawn = m_random.Unit() * total;
    size_t i = 0;
    while (i + 1 < m_options.kinds.size() && drawn >= m_options.kinds[i].weight) {
      drawn -= m_options.kinds[i++].weight;
    }
    return i;
  }

  void Arrive(size_t dc) {
    Call call{.kind = DrawKind(),
              .entry = dc * m_options.entries_per_data_centre +
                       m_random.Below(m_options.entries_per_data_centre),
              .arrival_us = m_now};
    double spread = 0.5 - 0.5 * std::log(1 - m_random.Unit());
    call.work_us = static_cast<double>(KindOf(call).work_us) * spread;
    if (IsMeasured(call)) {
      ++m_result.calls;
      // Until it is answered in time.
      ++m_result.missed_by_kind[call.kind];
      ++m_result.missed_by_second[SecondOf(m_now)];
    }
    m_entries[call.entry].picker->OnCall(kService);
    Place(std::move(call));
  }

  static size_t SecondOf(int64_t time_us) { return static_cast<size_t>(time_us / 1'000'000); }

  bool IsMeasured(const Call& call) const {
    // The last calls do not end within the simulated time.
    int64_t end_us = m_options.length_us - KindOf(call).objective_us - 100'000;
    return call.arrival_us >= m_options.measured_from_us && call.arrival_us < end_us;
  }

  // Slowness of a server now with `running` requests, relative to speed 1.
  double FactorOf(size_t i, double running) const {
    const SpeedServer& server = m_options.servers[i];
    double factor =
        std::pow(std::max(1.0, running / server.knee), server.knee_exponent) / server.speed;
    for (const SpeedPhase& phase : server.phases) {
      if (m_now >= phase.from_us && m_now < phase.to_us) factor *= phase.factor;
    }
    return factor;
  }

  size_t BestOfAll(const Call& call) const {
    double mean_us = 0;
    double weights = 0;
    for (const SpeedKind& kind : m_options.kinds) {
      mean_us += kind.weight * static_cast<double>(kind.work_us);
      weights += kind.weight;
    }
    mean_us /= weights;
    size_t best = 0;
    double best_us = 1e18;
    for (size_t i = 0; i < m_servers.size(); ++i) {
      const SpeedServer& server = m_options.servers[i];
      if (server.joins_us > m_now) continue;
      double slots = std::min(server.knee, server.slots);
      double ahead = std::max(0.0, m_servers[i].expected + 1 - slots);
      double us = FactorOf(i, 1) * (call.work_us + ahead * mean_us / slots) +
                  2.0 * static_cast<double>(OneWayUs(call, i));
      if (us >= best_us) continue;
      best_us = us;
      best = i;
    }
    return best;
  }

  int64_t OneWayUs(const Call& call, size_t server) const {
    bool is_local = m_entries[call.entry].data_centre == m_options.servers[server].data_centre;
    return is_local ? kLocalOneWayUs : kRemoteOneWayUs;
  }

  // Places the call as EntryProxy does: two offers, then a place in the queue of the least busy.
  void Place(Call call) {
    ServerPicker& picker = *m_entries[call.entry].picker;
    call.is_offer = !m_options.knows_all && call.offers < kMaxOffers;
    const Endpoint* picked = nullptr;
    if (m_options.knows_all) {
      call.server = BestOfAll(call);
    } else if (call.is_offer) {
      picked = picker.Pick(kService, call.tried, call.tried.empty(), false, m_now);
    }
    if (picked != nullptr) {
      call.server = static_cast<size_t>(std::find(m_names.begin(), m_names.end(), picked->node) -
                                        m_names.begin());
    } else if (!m_options.knows_all) {
      call.is_offer = false;
      if (call.busy.empty()) {
        if (IsMeasured(call)) ++m_result.refused;
        return;
      }
      auto least = std::min_element(call.busy.begin(), call.busy.end());
      call.server = least->second;
      call.busy.erase(least);
    }
    if (call.is_offer) ++call.offers;
    call.tried.insert(m_names[call.server]);
    call.sent_us = m_now;
    picker.OnCallSent(m_names[call.server], m_now);
    ++m_servers[call.server].expected;
    int64_t one_way_us = OneWayUs(call, call.server);
    At(m_now + one_way_us, [this, call = std::move(call)] { Admit(call); });
  }

  void Admit(const Call& call) {
    uint64_t id = ++m_next_id;
    Server& server = m_servers[call.server];
    const SpeedKind& kind = KindOf(call);
    m_calls[id] = call;
    AdmissionDecision decision =
        server.admission.Arrive({.id = id,
                                 .deadline_us = call.arrival_us + kind.deadline_us,
                                 .arrival_us = m_now,
                                 .objective_us = call.arrival_us + kind.objective_us,
                                 .kind = kind.name,
                                 .is_offer = call.is_offer},
                                m_now);
    for (const AdmissionRefusal& refusal : decision.evicted) Refuse(refusal, 0);
    if (decision.action == AdmissionDecision::Action::kRun) Start(id);
    if (decision.action == AdmissionDecision::Action::kRefuse) {
      Refuse({id, decision.retry_after_ms}, decision.wait_ms);
    }
  }

  void Start(uint64_t id) {
    Call& call = m_calls.at(id);
    call.start_us = m_now;
    m_servers[call.server].remaining_us[id] = call.work_us;
    int64_t& first_us = m_result.first_start_us[call.server];
    if (first_us < 0) first_us = m_now;
    ++m_result.started_by_second[call.server][SecondOf(m_now)];
    if (!IsMeasured(call)) return;
    ++m_result.started_by_server[call.server];
    bool is_local = m_entries[call.entry].data_centre == m_options.servers[call.server].data_centre;
    if (!is_local) ++m_result.remote;
    if (m_now - call.arrival_us > KindOf(call).objective_us / 2) ++m_result.slow_starts;
  }

  void Work(size_t i) {
    Server& server = m_servers[i];
    double done_us = kStepUs / FactorOf(i, static_cast<double>(server.remaining_us.size()));
    std::vector<uint64_t> ended;
    for (auto& [id, remaining_us] : server.remaining_us) {
      const Call& call = m_calls.at(id);
      remaining_us -= done_us;
      bool is_overdue = m_now > call.arrival_us + KindOf(call).deadline_us;
      if (remaining_us <= 0 || is_overdue) ended.push_back(id);
    }
    for (uint64_t id : ended) {
      bool is_answered = server.remaining_us.at(id) <= 0;
      server.remaining_us.erase(id);
      End(id, is_answered);
    }
  }

  void End(uint64_t id, bool is_answered) {
    Call call = m_calls.at(id);
    m_calls.erase(id);
    SlotAdmission& admission = m_servers[call.server].admission;
    Apply(call.server, is_answered ? admission.Finish(id, m_now - call.start_us, m_now)
                                   : admission.Cancel(id, m_now));
    HeaderList headers = Report(call.server, is_answered ? kOutcomeAnswered : kOutcomeUnknown);
    At(m_now + OneWayUs(call, call.server), [this, call, headers, is_answered] {
      ServerPicker& picker = *m_entries[call.entry].picker;
      --m_servers[call.server].expected;
      picker.OnCallEnded(m_names[call.server]);
      picker.OnAnswerHeaders(kService, m_names[call.server], headers, m_now);
      if (!is_answered) {
        picker.OnFailure(kService, m_names[call.server], m_now);
        return;
      }
      picker.OnAnswer(kService, KindOf(call).name, m_names[call.server], m_now - call.start_us,
                      m_now - call.arrival_us, m_now);
      bool is_in_time = m_now - call.arrival_us <= KindOf(call).objective_us;
      if (!IsMeasured(call) || !is_in_time) return;
      ++m_result.in_time;
      --m_result.missed_by_kind[call.kind];
      --m_result.missed_by_second[SecondOf(call.arrival_us)];
    });
  }

  HeaderList Report(size_t server, std::string_view outcome) const {
    AdmissionLoad load = m_servers[server].admission.load();
    return {{kOutcomeHeader, std::string(outcome)},
            {kLoadHeader,
             FormatLoad({load.in_service, load.queued, load.service_us, 0, load.usable_slots})}};
  }

  void Apply(size_t /*server*/, const AdmissionChanges& changes) {
    for (uint64_t id : changes.start) Start(id);
    for (const AdmissionRefusal& refusal : changes.refuse) Refuse(refusal, 0);
  }

  void Refuse(const AdmissionRefusal& refusal, int64_t wait_ms) {
    Call call = m_calls.at(refusal.id);
    m_calls.erase(refusal.id);
    HeaderList headers = Report(call.server, kOutcomeNotRun);
    SetHeader(headers, kReasonHeader, call.is_offer ? kReasonBusy : kReasonOverload);
    SetHeader(headers, kRetryAfterMsHeader, std::to_string(refusal.retry_after_ms));
    if (wait_ms > 0) SetHeader(headers, kWaitMsHeader, std::to_string(wait_ms));
    At(m_now + OneWayUs(call, call.server), [this, call, headers, wait_ms]() mutable {
      ServerPicker& picker = *m_entries[call.entry].picker;
      --m_servers[call.server].expected;
      picker.OnCallEnded(m_names[call.server]);
      picker.OnAnswerHeaders(kService, m_names[call.server], headers, m_now);
      if (wait_ms > 0) call.busy.emplace_back(wait_ms, call.server);
      // A regular request that a node has refused is refused to the caller.
      if (call.is_offer) {
        Place(std::move(call));
      } else if (IsMeasured(call)) {
        ++m_result.refused;
      }
    });
  }

  const SpeedModelOptions& m_options;
  RandomSource m_random;
  std::vector<std::string> m_names;
  std::vector<Server> m_servers;
  std::vector<Entry> m_entries;
  std::multimap<int64_t, std::function<void()>> m_events;
  std::map<uint64_t, Call> m_calls;
  size_t m_listed = 0;
  uint64_t m_next_id = 0;
  int64_t m_now = 0;
  SpeedModelResult m_result;
};

}  // namespace

SpeedModelResult RunSpeedModel(const SpeedModelOptions& options) { return Model(options).Run(); }

}  // namespace guavatrail::test
