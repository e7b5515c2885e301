// Defines ServerStatement, what the node beside a backend server knows from the answers and reports
// of the server, in the form in which nodes exchange it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "server_registry.h"

namespace guavatrail {

// A serving node sends it with its answers. Entry nodes keep the latest one of each node and send
// it back with their requests, so that a restarted serving node knows it before its server has
// answered, also while the platform's store is unreachable.
struct ServerStatement {
  ServerLifetime server;
  // Requests a second that the server takes from all nodes together; nullopt: not limited.
  std::optional<double> limit_per_s;
  bool is_leaving = false;  // The server is about to stop and must get no new work.
  bool operator==(const ServerStatement&) const = default;
};

// The value of the X-Guavatrail-Server header, such as
// "started=1700000000000;limit=21.3;leaving=1;id=i-1".
std::string FormatServerStatement(const ServerStatement& statement);
// nullopt if the text is not of that form.
std::optional<ServerStatement> ParseServerStatement(std::string_view text);

}  // namespace guavatrail
