// An open-loop load generator: sends requests at times that do not depend on the answers, measures
// latencies from the intended start, and checks that each answer is complete and belongs to its
// request.
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>
#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "answer_check.h"
#include "event_loop.h"
#include "load_options.h"
#include "random_source.h"

namespace guavatrail::load {
namespace {

using Json = nlohmann::json;

struct KindResult {
  uint64_t sent = 0;
  std::array<uint64_t, kOutcomes> outcomes{};
  std::map<int, uint64_t> statuses;   // 0: no answer.
  std::vector<int64_t> latencies_us;  // Of complete answers, good or late.
  std::vector<uint64_t> sent_series;  // By intended start.
  std::vector<uint64_t> good_series;
};

// The exact quantile `q` in milliseconds of sorted latencies in microseconds.
double QuantileMs(const std::vector<int64_t>& sorted, double q) {
  if (sorted.empty()) return 0;
  auto rank = static_cast<size_t>(std::ceil(q * static_cast<double>(sorted.size())));
  return static_cast<double>(sorted[std::max<size_t>(rank, 1) - 1]) / kUsPerMs;
}

struct Target {
  std::string ip;
  uint16_t port = 0;
  size_t open = 0;
  std::vector<evhttp_connection*> idle;
  std::deque<struct Call*> waiting;
};

class LoadRun;

struct Call {
  LoadRun* run = nullptr;
  size_t kind = 0;
  std::string tag;
  std::string path;
  std::string key;  // The idempotency key of an order, once issued.
  int64_t intended_us = 0;
  size_t target = 0;
  size_t targets_tried = 1;
  bool has_headers = false;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  std::unique_ptr<Timer> timeout;
};

class LoadRun {
 public:
  explicit LoadRun(Options options)
      : m_options(std::move(options)),
        m_random(m_options.seed),
        m_arrivals(m_loop, [this] { OnArrivals(); }),
        m_results(m_options.kinds.size()) {
    for (const auto& [ip, port] : m_options.targets) m_targets.push_back({ip, port});
    for (const Phase& phase : m_options.phases) m_end_us += phase.length_us;
    for (KindResult& result : m_results) {
      result.sent_series.resize(IntervalOf(std::max<int64_t>(m_end_us, 1) - 1) + 1);
      result.good_series.resize(result.sent_series.size());
    }
  }

  ~LoadRun() {
    for (Target& target : m_targets) {
      for (evhttp_connection* connection : target.idle) evhttp_connection_free(connection);
    }
  }

  void Run() {
    m_start_us = EventLoop::NowUs();
    NextArrival();
    OnArrivals();
    m_loop.Run();
  }

  uint64_t CountOf(Outcome outcome) const {
    uint64_t count = 0;
    for (const auto& result : m_results) count += result.outcomes[static_cast<size_t>(outcome)];
    return count;
  }

  Json Report() {
    Json kinds = Json::array();
    for (size_t i = 0; i < m_results.size(); ++i) {
      KindResult& result = m_results[i];
      std::sort(result.latencies_us.begin(), result.latencies_us.end());
      Json kind = {{"kind", m_options.kinds[i].name}, {"sent", result.sent}};
      for (size_t o = 0; o < kOutcomes; ++o) kind[kOutcomeNames[o]] = result.outcomes[o];
      kind["p50_ms"] = QuantileMs(result.latencies_us, 0.5);
      kind["p95_ms"] = QuantileMs(result.latencies_us, 0.95);
      kind["p99_ms"] = QuantileMs(result.latencies_us, 0.99);
      for (auto [status, n] : result.statuses) kind["statuses"][std::to_string(status)] = n;
      kind["sent_series"] = result.sent_series;
      kind["good_series"] = result.good_series;
      kinds.push_back(std::move(kind));
    }
    return {{"kinds", std::move(kinds)},
            {"series_ms", m_options.series_us / kUsPerMs},
            {"seconds", static_cast<double>(m_end_us) / kUsPerSecond},
            {"seed", m_options.seed},
            {"max_start_delay_ms", static_cast<double>(m_max_delay_us) / kUsPerMs}};
  }

 private:
  // Advances m_next_us to the next intended start, or sets m_is_over after the last phase.
  void NextArrival() {
    for (;;) {
      double phase_end_us = m_phase_start_us + static_cast<double>(CurrentPhase().length_us);
      double gap = m_options.is_constant ? 1 : -std::log(1 - m_random.Unit());
      double rate = CurrentPhase().rate;
      double next_us = rate > 0 ? m_next_us + gap * kUsPerSecond / rate : phase_end_us;
      if (next_us < phase_end_us) {
        m_next_us = next_us;
        return;
      }
      m_next_us = m_phase_start_us = phase_end_us;
      if (++m_phase >= m_options.phases.size()) {
        m_is_over = true;
        return;
      }
    }
  }

  const Phase& CurrentPhase() const { return m_options.phases[m_phase]; }

  void OnArrivals() {
    int64_t elapsed_us = EventLoop::NowUs() - m_start_us;
    while (!m_is_over && m_next_us <= static_cast<double>(elapsed_us)) {
      auto intended_us = static_cast<int64_t>(m_next_us);
      m_max_delay_us = std::max(m_max_delay_us, elapsed_us - intended_us);
      StartCall(intended_us);
      NextArrival();
    }
    if (m_is_over) {
      StopIfDone();
      return;
    }
    auto wait_us = static_cast<int64_t>(m_next_us) - (EventLoop::NowUs() - m_start_us);
    m_arrivals.Start(std::chrono::microseconds(std::max<int64_t>(0, wait_us)));
  }

  size_t DrawKind() {
    double total = 0;
    for (const KindOptions& kind : m_options.kinds) total += kind.weight;
    double drawn = m_random.Unit() * total;
    size_t i = 0;
    while (i + 1 < m_options.kinds.size() && drawn >= m_options.kinds[i].weight) {
      drawn -= m_options.kinds[i++].weight;
    }
    return i;
  }

  size_t IntervalOf(int64_t intended_us) const {
    return static_cast<size_t>(intended_us / m_options.series_us);
  }

  void StartCall(int64_t intended_us) {
    auto call = std::make_unique<Call>();
    call->run = this;
    call->kind = DrawKind();
    call->intended_us = m_start_us + intended_us;
    call->tag = std::to_string(m_options.seed) + "-" + std::to_string(++m_next_tag);
    call->path = m_options.kinds[call->kind].path;
    if (size_t at = call->path.find("{n}"); at != std::string::npos) {
      call->path.replace(at, 3, std::to_string(m_random.Below(1000)));
    }
    call->target = m_next_target++ % m_targets.size();
    Call* raw = call.get();
    call->timeout = std::make_unique<Timer>(m_loop, [raw] { raw->run->OnTimeout(raw); });
    int64_t remaining_us = RemainingUs(*raw) + m_options.grace_us;
    call->timeout->Start(std::chrono::microseconds(std::max<int64_t>(1, remaining_us)));
    ++m_results[raw->kind].sent;
    ++m_results[raw->kind].sent_series[IntervalOf(intended_us)];
    m_calls.insert(std::move(call));
    Dispatch(raw);
  }

  int64_t RemainingUs(const Call& call) const {
    return call.intended_us + m_options.kinds[call.kind].deadline_ms * kUsPerMs -
           EventLoop::NowUs();
  }

  // Sends the call on an idle or new connection, or queues it if all connections are in use.
  void Dispatch(Call* call) {
    Target& target = m_targets[call->target];
    if (!target.idle.empty()) {
      call->connection = target.idle.back();
      target.idle.pop_back();
    } else if (target.open < m_options.connections) {
      call->connection =
          evhttp_connection_base_new(m_loop.base(), nullptr, target.ip.c_str(), target.port);
      CHECK(call->connection != nullptr);
      ++target.open;
    } else {
      target.waiting.push_back(call);
      return;
    }
    Send(call);
  }

  void Send(Call* call) {
    const KindOptions& kind = m_options.kinds[call->kind];
    const Target& target = m_targets[call->target];
    call->has_headers = false;
    call->request = evhttp_request_new(&LoadRun::OnDone, call);
    evhttp_request_set_header_cb(call->request, [](evhttp_request*, void* arg) {
      static_cast<Call*>(arg)->has_headers = true;
      return 0;
    });
    evkeyvalq* headers = evhttp_request_get_output_headers(call->request);
    auto add = [&](const char* name, const std::string& value) {
      evhttp_add_header(headers, name, value.c_str());
    };
    add("Host", target.ip + ":" + std::to_string(target.port));
    add("X-Request-Tag", call->tag);
    add("X-Guavatrail-Deadline-Ms",
        std::to_string(std::max<int64_t>(1, RemainingUs(*call) / kUsPerMs)));
    if (!call->key.empty()) add("Idempotency-Key", call->key);
    if (kind.body_bytes > 0) {
      std::string body(kind.body_bytes, 'b');
      evbuffer_add(evhttp_request_get_output_buffer(call->request), body.data(), body.size());
    }
    evhttp_cmd_type method = kind.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    evhttp_request* request = call->request;
    if (evhttp_make_request(call->connection, request, method, call->path.c_str()) != 0) {
      LOG(ERROR) << "event=send_failed path=" << call->path;
    }
  }

  static void OnDone(evhttp_request* request, void* arg) {
    auto* call = static_cast<Call*>(arg);
    call->run->OnAnswer(call, request);
  }

  void OnAnswer(Call* call, evhttp_request* request) {
    call->request = nullptr;
    Release(call);
    int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    const KindOptions& kind = m_options.kinds[call->kind];
    if (status == 0) {
      OnNoAnswer(call, request != nullptr);
      return;
    }
    if (status == 428 && kind.is_order && call->key.empty()) {
      call->key = HeaderOf(request, "Idempotency-Key");
      if (!call->key.empty()) {
        Dispatch(call);
        return;
      }
    }
    int64_t latency_us = EventLoop::NowUs() - call->intended_us;
    bool is_late = latency_us > kind.deadline_ms * kUsPerMs;
    Outcome outcome = Classify(request, call->tag, is_late);
    if (outcome == Outcome::kGood || outcome == Outcome::kLate) {
      m_results[call->kind].latencies_us.push_back(latency_us);
    }
    RecordOutcome(call, outcome, status);
  }

  // `is_unreachable`: the connection failed, so the request was not sent and may be sent to another
  // target.
  void OnNoAnswer(Call* call, bool is_unreachable) {
    if (is_unreachable && call->targets_tried < m_targets.size() && RemainingUs(*call) > 0) {
      ++call->targets_tried;
      call->target = (call->target + 1) % m_targets.size();
      Dispatch(call);
      return;
    }
    RecordOutcome(call, call->has_headers ? Outcome::kIncomplete : Outcome::kUnknown, 0);
  }

  void OnTimeout(Call* call) {
    Outcome outcome = call->has_headers ? Outcome::kIncomplete : Outcome::kUnknown;
    if (call->request != nullptr) {
      // Closes the connection, so that a late answer cannot be matched to the next request.
      evhttp_cancel_request(call->request);
      Release(call);
    } else {
      std::erase(m_targets[call->target].waiting, call);
    }
    RecordOutcome(call, outcome, 0);
  }

  // Passes the connection to the next waiting call, or makes it idle. evhttp reconnects a failed
  // connection when it is used again.
  void Release(Call* call) {
    Target& target = m_targets[call->target];
    evhttp_connection* connection = std::exchange(call->connection, nullptr);
    if (target.waiting.empty()) {
      target.idle.push_back(connection);
      return;
    }
    Call* next = target.waiting.front();
    target.waiting.pop_front();
    next->connection = connection;
    Send(next);
  }

  void RecordOutcome(Call* call, Outcome outcome, int status) {
    KindResult& result = m_results[call->kind];
    ++result.outcomes[static_cast<size_t>(outcome)];
    ++result.statuses[status];
    if (outcome == Outcome::kGood) ++result.good_series[IntervalOf(call->intended_us - m_start_us)];
    m_calls.erase(m_calls.find(call));
    StopIfDone();
  }

  void StopIfDone() {
    if (m_is_over && m_calls.empty()) m_loop.Stop();
  }

  struct ByAddress {
    using is_transparent = void;
    static const Call* Of(const std::unique_ptr<Call>& call) { return call.get(); }
    static const Call* Of(const Call* call) { return call; }
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
      return std::less<>()(Of(a), Of(b));
    }
  };

  Options m_options;
  EventLoop m_loop;
  RandomSource m_random;
  Timer m_arrivals;
  std::vector<KindResult> m_results;
  std::vector<Target> m_targets;
  std::set<std::unique_ptr<Call>, ByAddress> m_calls;
  int64_t m_start_us = 0;
  int64_t m_end_us = 0;
  double m_next_us = 0;
  double m_phase_start_us = 0;
  size_t m_phase = 0;
  bool m_is_over = false;
  int64_t m_max_delay_us = 0;
  uint64_t m_next_tag = 0;
  size_t m_next_target = 0;
};

void PrintLines(const Json& report) {
  for (const Json& kind : report["kinds"]) {
    std::cout << "kind=" << kind["kind"].get<std::string>() << " sent=" << kind["sent"];
    for (const char* outcome : kOutcomeNames) std::cout << ' ' << outcome << '=' << kind[outcome];
    for (const char* field : {"p50_ms", "p95_ms", "p99_ms"}) {
      std::cout << ' ' << field << '=' << kind[field];
    }
    std::cout << " goodput_per_slice=" << kind["good_series"].dump() << '\n';
  }
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0) return 2;
  try {
    Options options = ParseOptions(argc, argv);
    std::string json_file = options.json_file;
    LoadRun run(std::move(options));
    run.Run();
    Json report = run.Report();
    if (json_file == "-") {
      std::cout << report.dump() << '\n';
    } else {
      PrintLines(report);
      if (!json_file.empty()) std::ofstream(json_file) << report.dump(1) << '\n';
    }
    return run.CountOf(Outcome::kMismatched) > 0 ? 1 : 0;
  } catch (const UsageError& error) {
    std::cerr << "caller_load: " << error.what() << '\n';
    return 2;
  }
}

}  // namespace
}  // namespace guavatrail::load

// Exit codes: 0 done, 1 an answer did not match its request, 2 usage.
int main(int argc, char** argv) { return guavatrail::load::Main(argc, argv); }
