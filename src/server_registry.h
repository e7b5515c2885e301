// Defines ServerRegistry, the state of a node's backend server as reported by the server itself.
// Performs no I/O; the caller passes in the time.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace guavatrail {

// Identifies one run of a backend server, since a restarted server may reuse its id.
struct ServerLifetime {
  std::string id;
  int64_t started_ms = 0;  // Unix time.
  bool operator==(const ServerLifetime&) const = default;
  bool operator<(const ServerLifetime& other) const {
    return std::tie(started_ms, id) < std::tie(other.started_ms, other.id);
  }
};

enum class ServerState { kReady, kDraining, kLeft };

std::string_view ToString(ServerState state);

// A heartbeat of a backend server.
struct ServerReport {
  ServerLifetime lifetime;
  uint64_t sequence = 0;  // Increases within a lifetime.
  std::string service;
  std::string address;  // "IP:PORT"
  std::string data_centre;
  std::string version;  // Version of the server's software.
  int slots = 1;
  ServerState state = ServerState::kReady;
  int64_t cold_ms = 0;  // Remaining warm-up time, during which the server is slow.
};

// The effect of a report.
enum class ReportOutcome {
  kChanged,    // The server, its state or its number of slots has changed.
  kRefreshed,  // Only the time and sequence of the last report have changed.
  kStale,      // Ignored: older than the last report, or from a lifetime that has ended.
  kForeign,    // Ignored: from a server that does not belong to this node.
};

std::string_view ToString(ReportOutcome outcome);

// A server that drains does not return to service in the same lifetime.
class ServerRegistry {
 public:
  struct LocalServer {
    ServerReport report;  // The latest report.
    int64_t reported_us = 0;
    bool is_restored = false;  // Read from the store; not reported since this process started.
  };

  // Reports with another service or address are foreign.
  ServerRegistry(std::string service, std::string address)
      : m_service(std::move(service)), m_address(std::move(address)) {}

  ReportOutcome OnReport(const ServerReport& report, int64_t now_us);
  // Records that the server has left. Without a start time, this ends the lifetime of `id` that is
  // current, or if no server is known, the first one that reports.
  ReportOutcome OnLeave(std::string_view id, std::optional<int64_t> started_ms);
  // Records that the server has stated in an answer that it is leaving.
  ReportOutcome OnLeaving(const ServerLifetime& lifetime);
  // Restores the report that an earlier process of this node has stored.
  void Restore(const ServerReport& report, int64_t now_us);
  // Records that another server answers at the address, so that further reports of `lifetime` are
  // stale.
  void RejectLifetime(const ServerLifetime& lifetime);

  // Null if no server is known.
  const LocalServer* current() const { return m_current ? &*m_current : nullptr; }
  // Whether the current server accepts new work.
  bool IsReady() const;

 private:
  bool HasEnded(const ServerLifetime& lifetime) const;
  void EndLifetime(const ServerLifetime& lifetime);

  std::string m_service;
  std::string m_address;
  std::optional<LocalServer> m_current;
  std::set<ServerLifetime> m_ended_lifetimes;
  std::set<std::string, std::less<>> m_left_ids;  // Servers that left before their first report.
};

}  // namespace guavatrail
