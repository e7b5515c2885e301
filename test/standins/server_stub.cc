// Stand-in for a backend server, with a fixed number of slots, a connection limit, service times by
// path class, stragglers, cold start, draining and load shedding. It counts the executions of each
// order. POST /faults changes its behaviour at run time; GET /stats returns its counters.
#include <fcntl.h>
#include <glog/logging.h>
#include <sodium.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <list>
#include <nlohmann/json.hpp>
#include <random>

#include "standin_http.h"

namespace guavatrail::standin {

namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char* kDeadlineHeader = "X-Guavatrail-Deadline-Ms";
constexpr double kMicrosecondsPerMs = 1000.0;

struct Options {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  int slots = 9;
  int connections = 130;
  double lookup_ms = 4;
  double order_ms = 20;
  double download_ms = 50;
  int64_t download_bytes = 300'000;
  double cold_ms = 0;
  std::string call;
  std::string order_log;
  uint64_t seed = 1;
};

// Can be changed at run time through POST /faults.
struct Behaviour {
  double slow_factor = 1;
  double straggler_share = 0;
  double straggler_factor = 50;
  int64_t shed_above = -1;    // Queue length above which new requests get 503; -1: no limit.
  bool drain = false;         // New requests get 503; running ones finish.
  int64_t report_lag_ms = 0;  // Interval at which the load report is updated.
  int64_t report_lie = -1;    // Number of running requests to report; -1: the actual number.
};

enum class PathClass { kLookup, kOrder, kDownload };

PathClass Classify(const Exchange& exchange) {
  if (exchange.method() == EVHTTP_REQ_POST || exchange.method() == EVHTTP_REQ_PUT) {
    return PathClass::kOrder;
  }
  for (std::string_view part : {"manua", "download", "bundle"}) {
    if (exchange.path().find(part) != std::string::npos) return PathClass::kDownload;
  }
  return PathClass::kLookup;
}

std::string HexDigest(std::string_view body) {
  unsigned char digest[crypto_generichash_BYTES];
  crypto_generichash(digest, sizeof digest, reinterpret_cast<const unsigned char*>(body.data()),
                     body.size(), nullptr, 0);
  char hex[2 * sizeof digest + 1];
  sodium_bin2hex(hex, sizeof hex, digest, sizeof digest);
  return hex;
}

// Creates a body of `size` bytes that depends on the path, so that the digest reveals an answer to
// another request.
std::string MakeBody(const std::string& path, int64_t size) {
  std::string body = "body of " + path + "\n";
  std::string line = body;
  while (static_cast<int64_t>(body.size()) < size) body += line;
  if (size > 0) body.resize(static_cast<size_t>(size));
  return body;
}

// Counts executions of orders. Appends one line per execution to a file, so that the counts survive
// a killed server.
class OrderLog {
 public:
  explicit OrderLog(const std::string& path) {
    constexpr int kMode = 0644;
    if (path.empty()) return;
    m_fd = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
    CHECK_GE(m_fd, 0) << "cannot open " << path;
  }
  ~OrderLog() {
    if (m_fd >= 0) close(m_fd);
  }
  OrderLog(const OrderLog&) = delete;
  OrderLog& operator=(const OrderLog&) = delete;

  void Add(const std::string& order) {
    ++m_executions[order];
    std::string line = order + "\n";
    if (m_fd >= 0) PCHECK(write(m_fd, line.data(), line.size()) >= 0);
  }
  const std::map<std::string, int>& executions() const { return m_executions; }

 private:
  int m_fd = -1;
  std::map<std::string, int> m_executions;
};

// A request to the next server of a chain. Calls `done` with the status of the answer, or with 0
// if there is none.
class OnwardCall {
 public:
  static void Start(EventLoop& loop, const std::string& target, int64_t remaining_ms,
                    std::function<void(int)> done) {
    size_t slash = target.find('/');
    size_t colon = target.rfind(':', slash);
    auto self = std::make_unique<OnwardCall>();
    self->m_done = std::move(done);
    std::string ip = target.substr(0, colon);
    int port = std::atoi(target.substr(colon + 1, slash - colon - 1).c_str());
    evhttp_connection* connection = evhttp_connection_base_new(loop.base(), nullptr, ip.c_str(),
                                                               static_cast<ev_uint16_t>(port));
    constexpr int kTimeoutSeconds = 60;
    evhttp_connection_set_timeout(connection, kTimeoutSeconds);
    evhttp_connection_free_on_completion(connection);
    evhttp_request* request = evhttp_request_new(&OnwardCall::OnDone, self.release());
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", ip.c_str());
    if (remaining_ms >= 0) {
      evhttp_add_header(headers, kDeadlineHeader, std::to_string(remaining_ms).c_str());
    }
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, target.substr(slash).c_str());
  }

 private:
  static void OnDone(evhttp_request* request, void* arg) {
    std::unique_ptr<OnwardCall> self(static_cast<OnwardCall*>(arg));
    self->m_done(request == nullptr ? 0 : evhttp_request_get_response_code(request));
  }

  std::function<void(int)> m_done;
};

struct Job {
  ExchangePtr exchange;
  PathClass path_class = PathClass::kLookup;
  int64_t arrived_us = 0;
  int64_t deadline_ms = -1;
  std::string request_tag;
  std::string order;
  bool is_running = false;
};
using JobPtr = std::shared_ptr<Job>;

class Server {
 public:
  Server(EventLoop& loop, const Options& options)
      : m_loop(loop),
        m_options(options),
        m_started_us(EventLoop::NowUs()),
        m_random(options.seed),
        m_order_log(options.order_log),
        m_http(loop, [this](const ExchangePtr& exchange) { OnRequest(exchange); }),
        m_report_timer(loop, [this] { RecordReport(); }) {
    RecordReport();
  }

  bool Listen() { return m_http.Listen(m_options.ip, m_options.port); }

 private:
  void OnRequest(const ExchangePtr& exchange) {
    const std::string& path = exchange->path();
    if (path == "/faults") return OnFaults(exchange);
    if (path == "/stats") return exchange->Reply(200, {}, Stats().dump() + "\n");
    if (path == "/load") return exchange->Reply(200, {}, m_report.dump() + "\n");
    if (m_http.connections() > static_cast<size_t>(m_options.connections)) {
      Count("over_connections");
      return After(m_loop, microseconds(0), [exchange] { exchange->Abort(); });
    }
    bool shed = m_behaviour.shed_above >= 0 &&
                static_cast<int64_t>(m_queue.size()) > m_behaviour.shed_above;
    if (shed || m_behaviour.drain) {
      Count("shed");
      return exchange->Reply(503, {{"Retry-After", "1"}}, "");
    }
    Enqueue(exchange);
  }

  void Enqueue(const ExchangePtr& exchange) {
    auto job = std::make_shared<Job>();
    job->exchange = exchange;
    job->path_class = Classify(*exchange);
    job->arrived_us = EventLoop::NowUs();
    job->request_tag = exchange->Header("X-Request-Tag");
    std::string deadline = exchange->Header(kDeadlineHeader);
    if (!deadline.empty()) job->deadline_ms = std::strtoll(deadline.c_str(), nullptr, 10);
    job->order = exchange->Header("X-Order-Tag");
    if (job->order.empty()) job->order = exchange->Header("Idempotency-Key");
    // The handler must not own the job: the job owns the exchange, which owns the handler.
    exchange->on_closed = [this, weak = std::weak_ptr<Job>(job)] {
      if (JobPtr cancelled = weak.lock()) OnCancelled(cancelled);
    };
    m_queue.push_back(job);
    // The first request on a connection waits for the cost of accepting the connection.
    constexpr milliseconds kConnectionCost{1};
    if (!exchange->is_first) return StartNext();
    After(m_loop, kConnectionCost, [this] { StartNext(); });
  }

  void OnCancelled(const JobPtr& job) {
    Count("cancelled");
    m_queue.remove(job);
    Finish(job);
  }

  void Finish(const JobPtr& job) {
    if (!std::exchange(job->is_running, false)) return;
    --m_running;
    StartNext();
  }

  void StartNext() {
    while (m_running < m_options.slots && !m_queue.empty()) {
      JobPtr job = m_queue.front();
      m_queue.pop_front();
      job->is_running = true;
      ++m_running;
      m_most_running = std::max(m_most_running, m_running);
      Run(job);
    }
  }

  void Run(const JobPtr& job) {
    Count(job->path_class == PathClass::kOrder      ? "orders"
          : job->path_class == PathClass::kDownload ? "downloads"
                                                    : "lookups");
    m_last_start_us = EventLoop::NowUs();
    if (!job->order.empty() && job->path_class == PathClass::kOrder) m_order_log.Add(job->order);
    double ms = ServiceMs(job);
    if (job->path_class == PathClass::kDownload) return StartDownload(job, ms);
    After(m_loop, microseconds(static_cast<int64_t>(ms * kMicrosecondsPerMs)),
          [this, job] { CallOnward(job); });
  }

  double ServiceMs(const JobPtr& job) {
    double ms = job->path_class == PathClass::kOrder      ? m_options.order_ms
                : job->path_class == PathClass::kDownload ? m_options.download_ms
                                                          : m_options.lookup_ms;
    std::string requested_ms = job->exchange->Query("ms");
    if (!requested_ms.empty()) ms = std::strtod(requested_ms.c_str(), nullptr);
    ms *= m_behaviour.slow_factor;
    std::uniform_real_distribution<double> share(0, 1);
    if (share(m_random) < m_behaviour.straggler_share) ms *= m_behaviour.straggler_factor;
    // A cold server is slower by a factor that falls from 4 to 1 over the first `cold_ms`.
    constexpr double kColdExtra = 3;
    double age_ms = static_cast<double>(EventLoop::NowUs() - m_started_us) / kMicrosecondsPerMs;
    if (age_ms < m_options.cold_ms) ms *= 1 + kColdExtra * (1 - age_ms / m_options.cold_ms);
    return ms;
  }

  void CallOnward(const JobPtr& job) {
    if (m_options.call.empty() || job->exchange->is_closed()) return Answer(job, 200);
    int64_t spent_ms = (EventLoop::NowUs() - job->arrived_us) / 1000;
    int64_t remaining_ms =
        job->deadline_ms < 0 ? -1 : std::max<int64_t>(0, job->deadline_ms - spent_ms);
    OnwardCall::Start(m_loop, m_options.call, remaining_ms, [this, job](int status) {
      constexpr int kBadGateway = 502;
      Answer(job, status >= 200 && status < 300 ? 200 : kBadGateway);
    });
  }

  void Answer(const JobPtr& job, int status) {
    std::string body = MakeBody(job->exchange->path(), SizeOf(job, 0));
    job->exchange->Reply(status, AnswerHeaders(job, body), body);
    Finish(job);
  }

  static int64_t SizeOf(const JobPtr& job, int64_t otherwise) {
    std::string bytes = job->exchange->Query("bytes");
    return bytes.empty() ? otherwise : std::strtoll(bytes.c_str(), nullptr, 10);
  }

  Headers AnswerHeaders(const JobPtr& job, const std::string& body) const {
    constexpr size_t kDigestLimit = 1'000'000;
    Headers headers{{"X-Server", m_options.ip}};
    if (!job->request_tag.empty()) headers["X-Request-Tag"] = job->request_tag;
    if (body.size() <= kDigestLimit) headers["X-Body-Digest"] = HexDigest(body);
    return headers;
  }

  // Sends the body in ten parts over the service time. With `?chunked=1` there is no
  // Content-Length.
  void StartDownload(const JobPtr& job, double ms) {
    auto body = std::make_shared<std::string>(
        MakeBody(job->exchange->path(), SizeOf(job, m_options.download_bytes)));
    Headers headers = AnswerHeaders(job, *body);
    if (job->exchange->Query("chunked").empty()) {
      headers["Content-Length"] = std::to_string(body->size());
    }
    job->exchange->StartReply(200, headers);
    constexpr int kParts = 10;
    auto pause = microseconds(static_cast<int64_t>(ms * kMicrosecondsPerMs) / kParts);
    SendPart(job, body, 0, body->size() / kParts + 1, pause);
  }

  void SendPart(const JobPtr& job, const std::shared_ptr<std::string>& body, size_t sent,
                size_t part, microseconds pause) {
    After(m_loop, pause, [=, this] {
      if (job->exchange->is_closed()) return;
      job->exchange->SendPart(std::string_view(*body).substr(sent, part));
      if (sent + part < body->size()) return SendPart(job, body, sent + part, part, pause);
      job->exchange->EndReply();
      Finish(job);
    });
  }

  void OnFaults(const ExchangePtr& exchange) {
    Json json = Json::parse(exchange->body(), nullptr, false);
    if (!json.is_object()) return exchange->Reply(400, {}, "expected a JSON object\n");
    Behaviour next;
    next.slow_factor = json.value("slow_factor", next.slow_factor);
    next.straggler_share = json.value("straggler_share", next.straggler_share);
    next.straggler_factor = json.value("straggler_factor", next.straggler_factor);
    next.shed_above = json.value("shed_above", next.shed_above);
    next.drain = json.value("drain", next.drain);
    next.report_lag_ms = json.value("report_lag_ms", next.report_lag_ms);
    next.report_lie = json.value("report_lie", next.report_lie);
    m_behaviour = next;
    LOG(INFO) << "event=faults set=" << json.dump();
    exchange->Reply(200, {}, "{}\n");
  }

  // Updates the load report that GET /load returns, every report_lag_ms but at least 5 ms apart.
  void RecordReport() {
    int64_t running = m_behaviour.report_lie >= 0 ? m_behaviour.report_lie : m_running;
    m_report = {{"running", running}, {"queued", m_queue.size()}, {"slots", m_options.slots}};
    constexpr int64_t kFreshMs = 5;
    m_report_timer.Start(milliseconds(std::max(kFreshMs, m_behaviour.report_lag_ms)));
  }

  Json Stats() const {
    Json json(m_counts);
    json["running"] = m_running;
    json["queued"] = m_queue.size();
    json["most_running"] = m_most_running;
    json["connections"] = m_http.connections();
    json["last_start_age_ms"] =
        m_last_start_us == 0 ? -1 : (EventLoop::NowUs() - m_last_start_us) / 1000;
    json["executions"] = m_order_log.executions();
    return json;
  }

  void Count(const std::string& kind) { ++m_counts[kind]; }

  EventLoop& m_loop;
  Options m_options;
  Behaviour m_behaviour;
  int64_t m_started_us;
  std::mt19937_64 m_random;
  OrderLog m_order_log;
  std::map<std::string, uint64_t> m_counts;
  std::list<JobPtr> m_queue;
  int m_running = 0;
  int m_most_running = 0;
  int64_t m_last_start_us = 0;
  Json m_report;
  StandinHttp m_http;
  Timer m_report_timer;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for a backend server", ' ', "0.1");
  Options o;
  auto add = [&cmd](const char* name, const char* help, auto value) {
    using Value = decltype(value);
    auto arg = std::make_unique<TCLAP::ValueArg<Value>>("", name, help, false, value, "VALUE");
    cmd.add(*arg);
    return arg;
  };
  auto ip = add("ip", "Address to listen on", o.ip);
  auto port = add("port", "Port to listen on", o.port);
  auto slots = add("slots", "Number of requests that run concurrently", o.slots);
  auto connections = add("connections", "Maximum number of connections", o.connections);
  auto lookup_ms = add("lookup-ms", "Service time of a lookup in ms", o.lookup_ms);
  auto order_ms = add("order-ms", "Service time of an order in ms", o.order_ms);
  auto download_ms = add("download-ms", "Service time of a download in ms", o.download_ms);
  auto download_bytes = add("download-bytes", "Body size of a download in bytes", o.download_bytes);
  auto cold_ms =
      add("cold-ms", "Time after the start, in ms, during which requests take longer", o.cold_ms);
  auto call = add("call", "IP:PORT/path of the next server, called for each request", o.call);
  auto order_log = add(
      "order-log", "File to which a line is appended for each execution of an order", o.order_log);
  auto seed = add("seed", "Seed of the random choice of stragglers", o.seed);
  cmd.parse(argc, argv);
  return {ip->getValue(),          port->getValue(),           slots->getValue(),
          connections->getValue(), lookup_ms->getValue(),      order_ms->getValue(),
          download_ms->getValue(), download_bytes->getValue(), cold_ms->getValue(),
          call->getValue(),        order_log->getValue(),      seed->getValue()};
}

int Main(int argc, char** argv) {
  CHECK_GE(sodium_init(), 0);
  Options options = ParseOptions(argc, argv);
  EventLoop loop;
  Server server(loop, options);
  if (!server.Listen()) {
    LOG(ERROR) << "event=listen_failed ip=" << options.ip << " port=" << options.port;
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  LOG(INFO) << "event=listening ip=" << options.ip << " port=" << options.port;
  loop.Run();
  return 0;
}

}  // namespace

}  // namespace guavatrail::standin

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return guavatrail::standin::Main(argc, argv);
}
