#include "port_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace guavatrail {

namespace {

// Each call of a caller may need a connection to another node, so callers get as many descriptors
// as remain for connections to nodes, the backend server and the platform.
constexpr double kCallerShare = 0.375;
constexpr double kPeerShare = 0.25;
// Only the platform, the backend server and operators connect to the other ports.
constexpr double kServiceShare = 1.0 / 64;
constexpr int kServicePorts = 3;
// Used if the limit of the process is unlimited or cannot be read.
constexpr int64_t kDefaultDescriptors = 65'536;

constexpr double kBytesPerMb = 1'000'000;
// Parts of the VM's memory for accepted connections and for what waits in those to nodes and
// servers, apart from what RequestMemory counts.
constexpr double kConnectionMemoryShare = 0.2;
constexpr double kUpstreamMemoryShare = 0.1;
// Resident memory of an accepted connection, and the smallest receive buffer that keeps TCP
// efficient.
constexpr double kConnectionBytes = 4'096;
constexpr double kMinReceiveBytes = 4'096;
// A request that arrives in one round trip does not need more.
constexpr double kMaxReceiveBytes = 65'536;
// Answers are often larger than requests.
constexpr double kMinUpstreamReceiveBytes = 8'192;

int64_t ProcessLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kDefaultDescriptors;
  return static_cast<int64_t>(std::min<rlim_t>(limit.rlim_cur, kDefaultDescriptors));
}

size_t ShareOf(double number, double share) {
  return static_cast<size_t>(std::max(1.0, number * share));
}

PortLimits LimitsOf(int64_t descriptors, double share) {
  PortLimits limits;
  limits.max_connections = ShareOf(static_cast<double>(descriptors), share);
  limits.accept_queue =
      static_cast<int>(std::min<size_t>(limits.accept_queue, limits.max_connections));
  return limits;
}

void Reduce(PortLimits& limits, double share) {
  limits.max_connections = ShareOf(static_cast<double>(limits.max_connections), share);
  limits.accept_queue = static_cast<int>(ShareOf(limits.accept_queue, share));
}

// Bounds the memory of all connections: what each takes itself, and what waits in its socket.
void FitInMemory(PortBudget& budget, double memory_bytes) {
  auto connections =
      static_cast<double>(budget.caller.max_connections + budget.peer.max_connections +
                          kServicePorts * budget.service.max_connections);
  double sockets = connections + budget.caller.accept_queue + budget.peer.accept_queue +
                   kServicePorts * budget.service.accept_queue;
  double bytes = memory_bytes * kConnectionMemoryShare;
  double min_bytes = connections * kConnectionBytes + sockets * kMinReceiveBytes;
  double receive_bytes = std::clamp((bytes - connections * kConnectionBytes) / sockets,
                                    kMinReceiveBytes, kMaxReceiveBytes);
  for (PortLimits* limits : {&budget.caller, &budget.peer, &budget.service}) {
    if (min_bytes > bytes) Reduce(*limits, bytes / min_bytes);
    limits->receive_buffer_bytes = static_cast<int>(receive_bytes);
  }
}

// Each request in progress has at most one connection to a node or server.
int UpstreamReceiveBytes(const PortBudget& budget, int64_t descriptors, double memory_bytes) {
  size_t accepted = budget.caller.max_connections + budget.peer.max_connections;
  double connections = std::min(static_cast<double>(accepted),
                                static_cast<double>(descriptors) * (1 - kCallerShare - kPeerShare));
  double bytes = memory_bytes * kUpstreamMemoryShare / connections;
  return static_cast<int>(std::clamp(bytes, kMinUpstreamReceiveBytes, kMaxReceiveBytes));
}

}  // namespace

PortBudget MakePortBudget(int64_t max_descriptors, int64_t memory_mb) {
  int64_t descriptors = ProcessLimit();
  if (max_descriptors > 0) descriptors = std::min(descriptors, max_descriptors);
  PortBudget budget{.caller = LimitsOf(descriptors, kCallerShare),
                    .peer = LimitsOf(descriptors, kPeerShare),
                    .service = LimitsOf(descriptors, kServiceShare)};
  if (memory_mb == 0) return budget;
  double memory_bytes = static_cast<double>(memory_mb) * kBytesPerMb;
  FitInMemory(budget, memory_bytes);
  budget.upstream_receive_bytes = UpstreamReceiveBytes(budget, descriptors, memory_bytes);
  return budget;
}

PortBudget BudgetOf(const Settings& settings) {
  return MakePortBudget(settings.listen.max_descriptors, settings.listen.memory_mb);
}

}  // namespace guavatrail
