// Defines ServerCheck, which asks a backend server whether it is in service before a new process
// sends it work.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "connection_pool.h"
#include "event_loop.h"
#include "external_protocol.h"
#include "http_query.h"
#include "server_registry.h"

namespace guavatrail {

enum class ServerCheckResult {
  kInService,
  kLeaving,       // The server states that it is about to stop.
  kOtherServer,   // Another server answers at the address.
  kNotInService,  // The server answers with a failure: it is leaving, failing or full.
  kNoAnswer,
};

std::string_view ToString(ServerCheckResult result);

// The result of a health check of the server with this id; `reply` is nullopt if there was none.
ServerCheckResult EvaluateHealthReply(const ExternalProtocol& protocol, std::string_view server_id,
                                      const std::optional<HttpReply>& reply);

// An earlier process of the node may have acknowledged the leave of a server without storing it, so
// a report, which may be late, does not show that the server is in service.
class ServerCheck {
 public:
  using Handler = std::function<void(const ServerLifetime& server, ServerCheckResult result)>;

  // Sends the checks through `connections` and calls `handler` with each result.
  ServerCheck(EventLoop& loop, ConnectionPool& connections, const ExternalProtocol& protocol,
              Handler handler);

  // Checks the server by a request for `health_path`, unless a check of it is in progress. A check
  // of another server in progress is cancelled.
  void Start(const ServerLifetime& server, std::string_view health_path);
  // Counts the server as in service without a check, since there is no path for one.
  void Skip(const ServerLifetime& server) { m_passed = server; }
  // Whether a check has found the server in service. It need not be checked again: from then on
  // this process gets all of its reports itself.
  bool HasPassed(const ServerLifetime& server) const { return m_passed == server; }

 private:
  void OnReply(const std::optional<HttpReply>& reply);

  EventLoop& m_loop;
  ConnectionPool& m_connections;
  ExternalProtocol m_protocol;
  Handler m_handler;
  ServerLifetime m_server;  // Of the last check.
  std::optional<ServerLifetime> m_passed;
  std::unique_ptr<HttpQuery> m_query;  // Null if no check is in progress.
};

}  // namespace guavatrail
