// Defines ServerRegistry, what a node knows of the backend server beside it from the server's own
// reports. Pure: the clock is handed in.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace guavatrail {

// One start of a backend server. A server may start again under the id that it had.
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
  uint64_t sequence = 0;  // Grows within a lifetime.
  std::string service;
  std::string address;  // "IP:PORT"
  std::string data_centre;
  std::string version;  // Of the server's software.
  int slots = 1;
  ServerState state = ServerState::kReady;
  int64_t cold_ms = 0;  // How much longer the server stays slow after its start.
};

// What became of a report.
enum class ReportOutcome {
  kChanged,    // The server, its state or its slots are new.
  kRefreshed,  // Nothing new.
  kStale,      // Overtaken by a later report, or of a lifetime that is over.
  kForeign,    // Not of the server beside this node.
};

std::string_view ToString(ReportOutcome outcome);

class ServerRegistry {
 public:
  struct LocalServer {
    ServerReport report;  // The newest one.
    int64_t reported_us = 0;
    bool is_restored = false;  // Known from storage only: no report has come since the start.
  };

  // Reports must name `service` and `address`.
  ServerRegistry(std::string service, std::string address)
      : m_service(std::move(service)), m_address(std::move(address)) {}

  ReportOutcome OnReport(const ServerReport& report, int64_t now_us);
  // The server says that it is gone. Without a start time every lifetime of `id` known so far ends.
  ReportOutcome OnLeave(std::string_view id, std::optional<int64_t> started_ms);
  // Takes over what an earlier process of this node had stored of its server.
  void Restore(const ServerReport& report, int64_t now_us);
  // The server at the address is not that of `lifetime`: reports of it are late ones.
  void RejectLifetime(const ServerLifetime& lifetime);

  // Null while no server is known.
  const LocalServer* current() const { return m_current ? &*m_current : nullptr; }
  // Whether the current server may get new work.
  bool IsReady() const;

 private:
  bool IsOver(const ServerLifetime& lifetime) const;
  void End(const ServerLifetime& lifetime);

  std::string m_service;
  std::string m_address;
  std::optional<LocalServer> m_current;
  std::set<ServerLifetime> m_over;
  std::set<std::string, std::less<>> m_left_ids;  // Left before any report of them came.
};

}  // namespace guavatrail
