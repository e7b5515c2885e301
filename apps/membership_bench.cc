// Measures the control traffic, memory and CPU time of control planes that run in one process on
// loopback addresses, and the time to detect a silent node and the loss of a data centre.
// usage: membership_bench --nodes N [--seconds S] [--port P] [--platform PORT]
#include <glog/logging.h>
#include <sys/resource.h>
#include <tclap/CmdLine.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include "control_plane.h"

namespace guavatrail {
namespace {

// Between the time when all nodes know each other and the idle measurement.
constexpr int64_t kSettleMs = 6000;
constexpr int64_t kLimitMs = 60'000;
constexpr int64_t kMsPerSecond = 1000;
// Bytes that ZMTP and CURVE add to each message, and IPv4 and TCP to each segment.
constexpr double kCurveOverheadBytes = 9 + 33;
constexpr double kSegmentOverheadBytes = 52;

struct BenchOptions {
  int nodes = 10;
  int seconds = 20;
  int port = 21000;
  // Port of a platform on 127.0.0.1. Nothing listens on the default port, so there is no platform.
  int platform_port = 1;
};

double ResidentMb() {
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  statm >> pages >> pages;
  constexpr double kBytesPerMb = 1e6;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::string IpOf(int i) {
  constexpr int kPerSubnet = 200;
  return "127.1." + std::to_string(i / kPerSubnet) + "." + std::to_string(i % kPerSubnet + 1);
}

Settings SettingsOf(int i, const BenchOptions& options, const std::string& public_key,
                    const std::string& secret_key) {
  constexpr int kDataCentres = 6;
  Settings settings;
  settings.node = {"node-" + std::to_string(i), "catalogo", "region",
                   "dc-" + std::to_string(i % kDataCentres)};
  settings.listen.ip = IpOf(i);
  settings.listen.control_port = options.port;
  settings.platform.ip = "127.0.0.1";
  settings.platform.port = options.platform_port;
  settings.membership.seeds = {IpOf(0) + ":" + std::to_string(options.port),
                               IpOf(1) + ":" + std::to_string(options.port)};
  settings.control = {public_key, secret_key};
  return settings;
}

struct Node {
  Node(EventLoop& loop, Settings s, uint64_t seed)
      : settings(std::move(s)),
        random(seed),
        platform(loop, {settings.platform.ip, static_cast<uint16_t>(settings.platform.port)}),
        plane(loop, settings, platform, metrics, random) {}
  uint64_t Count(std::string_view name, std::string_view labels = "") {
    return metrics.GetCounter(name, labels).value();
  }
  MemberState StateOf(const std::string& name) {
    const Endpoint* endpoint = plane.view().endpoints()->FindNode(name);
    return endpoint == nullptr ? MemberState::kLeft : endpoint->state;
  }
  Settings settings;
  RandomSource random;
  Metrics metrics;
  PlatformClient platform;
  ControlPlane plane;
};

struct TrafficTotals {
  double messages_in = 0;
  double messages_out = 0;
  double bytes_in = 0;
  double bytes_out = 0;
  double cpu_s = CpuSeconds();
};

// The last node has an event loop of its own, which can be paused while its connections stay open.
class Bench {
 public:
  explicit Bench(const BenchOptions& options) : m_options(options) {}
  int Run();

 private:
  void Start();
  void RunFor(int64_t ms) {
    RunUntil([] { return false; }, ms);
  }
  // Runs until `done` returns true; returns the elapsed time in ms, or -1 after `limit_ms`.
  int64_t RunUntil(const std::function<bool()>& done, int64_t limit_ms);
  bool AllNodesSee(MemberState state) const;
  bool AllNodesKnowAll() const;
  // Destroys all nodes of one data centre and waits until the remaining nodes consider them dead.
  void KillDataCentre();
  TrafficTotals SumTraffic() const;
  void PrintIdleTraffic(const TrafficTotals& before, double seconds) const;
  void PrintEvents() const;

  BenchOptions m_options;
  EventLoop m_loop;
  EventLoop m_last_node_loop;
  bool m_is_last_node_running = true;
  std::vector<std::unique_ptr<Node>> m_nodes;
  double m_baseline_mb = ResidentMb();
};

void Bench::Start() {
  constexpr size_t kZ85Size = 41;
  std::array<char, kZ85Size> public_key{};
  std::array<char, kZ85Size> secret_key{};
  CHECK_EQ(zmq_curve_keypair(public_key.data(), secret_key.data()), 0);
  for (int i = 0; i < m_options.nodes; ++i) {
    EventLoop& loop = i + 1 == m_options.nodes ? m_last_node_loop : m_loop;
    Settings settings = SettingsOf(i, m_options, public_key.data(), secret_key.data());
    m_nodes.push_back(std::make_unique<Node>(loop, settings, static_cast<uint64_t>(i + 1)));
    auto started = m_nodes.back()->plane.Start();
    CHECK(started) << started.error().message;
  }
}

int64_t Bench::RunUntil(const std::function<bool()>& done, int64_t limit_ms) {
  constexpr int64_t kSliceMs = 10;
  int64_t start_us = EventLoop::NowUs();
  Timer slice(m_loop, [this] { m_loop.Stop(); });
  while (true) {
    int64_t passed_ms = (EventLoop::NowUs() - start_us) / kMsPerSecond;
    if (done()) return passed_ms;
    if (passed_ms >= limit_ms) return -1;
    slice.Start(std::chrono::milliseconds(kSliceMs));
    m_loop.Run();
    if (m_is_last_node_running) event_base_loop(m_last_node_loop.base(), EVLOOP_NONBLOCK);
  }
}

bool Bench::AllNodesKnowAll() const {
  for (const auto& node : m_nodes) {
    if (node->plane.view().endpoints()->all().size() != m_nodes.size()) return false;
  }
  return true;
}

bool Bench::AllNodesSee(MemberState state) const {
  const std::string& last_node = m_nodes.back()->settings.node.name;
  for (const auto& node : m_nodes) {
    if (node != m_nodes.back() && node->StateOf(last_node) != state) return false;
  }
  return true;
}

TrafficTotals Bench::SumTraffic() const {
  TrafficTotals totals;
  for (const auto& node : m_nodes) {
    totals.messages_in +=
        static_cast<double>(node->Count("control_messages_total", "direction=\"in\""));
    totals.messages_out +=
        static_cast<double>(node->Count("control_messages_total", "direction=\"out\""));
    totals.bytes_in += static_cast<double>(node->Count("control_bytes_total", "direction=\"in\""));
    totals.bytes_out +=
        static_cast<double>(node->Count("control_bytes_total", "direction=\"out\""));
  }
  return totals;
}

void Bench::PrintIdleTraffic(const TrafficTotals& before, double seconds) const {
  TrafficTotals after = SumTraffic();
  double node_seconds = seconds * static_cast<double>(m_nodes.size());
  double out = (after.messages_out - before.messages_out) / node_seconds;
  double bytes_out = (after.bytes_out - before.bytes_out) / node_seconds;
  double on_wire = bytes_out + out * (kCurveOverheadBytes + kSegmentOverheadBytes);
  std::cout << "quiet messages_out_per_s=" << out << " payload_out_bytes_per_s=" << bytes_out
            << " payload_in_bytes_per_s=" << (after.bytes_in - before.bytes_in) / node_seconds
            << " estimated_wire_out_bytes_per_s=" << on_wire
            << " cpu_percent_of_core=" << 100 * (after.cpu_s - before.cpu_s) / node_seconds
            << " memory_mb=" << (ResidentMb() - m_baseline_mb) / static_cast<double>(m_nodes.size())
            << '\n';
}

void Bench::KillDataCentre() {
  const std::string lost = m_nodes[1]->settings.node.data_centre;
  std::erase_if(m_nodes, [&](const auto& node) { return node->settings.node.data_centre == lost; });
  auto count_dead = [&](bool in_lost, Node& node) {
    size_t count = 0;
    auto endpoints = node.plane.view().endpoints();
    for (const Endpoint& endpoint : endpoints->all()) {
      count += (endpoint.data_centre == lost) == in_lost && endpoint.state == MemberState::kDead;
    }
    return count;
  };
  size_t expected = static_cast<size_t>(m_options.nodes) - m_nodes.size();
  size_t falsely_dead = 0;
  int64_t dead_ms = RunUntil(
      [&] {
        bool all = true;
        for (const auto& node : m_nodes) {
          all = all && count_dead(true, *node) == expected;
          falsely_dead = std::max(falsely_dead, count_dead(false, *node));
        }
        return all;
      },
      kLimitMs);
  std::cout << "lost_data_centre nodes=" << expected << " dead_everywhere_ms=" << dead_ms
            << " falsely_dead=" << falsely_dead << std::endl;
}

int Bench::Run() {
  double start_cpu_s = CpuSeconds();
  Start();
  int64_t join_ms = RunUntil([this] { return AllNodesKnowAll(); }, kLimitMs);
  std::cout << "nodes=" << m_options.nodes << " join_ms=" << join_ms << " join_cpu_ms_per_node="
            << (CpuSeconds() - start_cpu_s) * kMsPerSecond / m_options.nodes << std::endl;
  RunFor(kSettleMs);
  TrafficTotals before = SumTraffic();
  RunFor(m_options.seconds * kMsPerSecond);
  PrintIdleTraffic(before, m_options.seconds);

  m_is_last_node_running = false;
  int64_t dead_ms = RunUntil([this] { return AllNodesSee(MemberState::kDead); }, kLimitMs);
  std::cout << "silent_node dead_everywhere_ms=" << dead_ms << std::endl;
  m_is_last_node_running = true;
  int64_t back_ms = RunUntil([this] { return AllNodesSee(MemberState::kAlive); }, kLimitMs);
  std::cout << "resumed_node alive_everywhere_ms=" << back_ms << std::endl;

  PrintEvents();
  KillDataCentre();
  return dead_ms < 0 || back_ms < 0 ? 1 : 0;
}

void Bench::PrintEvents() const {
  uint64_t deaths = 0;
  uint64_t suspicions = 0;
  uint64_t exchanges = 0;
  for (const auto& node : m_nodes) {
    deaths += node->Count("control_deaths_total");
    suspicions += node->Count("control_suspicions_total");
    exchanges += node->Count("control_member_exchanges_total");
  }
  std::cout << "suspicions=" << suspicions << " deaths=" << deaths << " exchanges=" << exchanges
            << std::endl;
}

}  // namespace
}  // namespace guavatrail

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  guavatrail::BenchOptions options;
  try {
    TCLAP::CmdLine command("Measures membership on loopback.");
    TCLAP::ValueArg<int> nodes("n", "nodes", "Control planes to start.", false, options.nodes,
                               "number", command);
    TCLAP::ValueArg<int> seconds("s", "seconds", "Duration of the idle measurement.", false,
                                 options.seconds, "seconds", command);
    TCLAP::ValueArg<int> port("p", "port", "Control port of all nodes.", false, options.port,
                              "port", command);
    TCLAP::ValueArg<int> platform("", "platform", "Port of a platform on 127.0.0.1; 1 for none.",
                                  false, options.platform_port, "port", command);
    command.parse(argc, argv);
    options = {nodes.getValue(), seconds.getValue(), port.getValue(), platform.getValue()};
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << ": " << error.argId() << '\n';
    return 2;
  }
  return guavatrail::Bench(options).Run();
}
