// Defines ExternalProtocol, the conventions by which callers and backend servers use HTTP.
#pragma once

#include <string>

#include "http_headers.h"

namespace guavatrail {

// The defaults are the project's own conventions. Headers with an empty name are not used.
struct ExternalProtocol {
  // Milliseconds that the caller will wait; also sent to backend servers.
  std::string deadline_header = kDeadlineHeader;
  // Identifies a request of a caller; forwarded to the backend server and echoed in the answer.
  std::string request_id_header;
  // Sent to backend servers: the service of the entry node.
  std::string caller_service_header;
  // Sent to backend servers: the server that the request is meant for. Any other server answers
  // with 421 and does not run the request.
  std::string expected_server_header;
  // In the answer of a backend server to a health check: the id of the server.
  std::string server_id_header;
  // In a caller's request: its API key. Not sent to backend servers.
  std::string api_key_header = "X-Api-Key";
  // Sent to backend servers: the workspace that the caller's API key belongs to.
  std::string workspace_header = "X-Workspace";
  // Marks an answer by which a backend server states that it did not run the request.
  std::string not_run_header;
  // In an answer of a backend server: the requests a second that it takes from all nodes together,
  // a decimal number. The limit applies for as long as the answers name it.
  std::string server_limit_header;
  // "1" in an answer of a backend server: it is about to stop and must get no new work.
  std::string server_leaving_header;
  // Whether X-Guavatrail-* headers are sent to callers and backend servers.
  bool exposes_node_headers = true;
  // Whether callers accept fractions of a second in Retry-After.
  bool has_fractional_retry_after = false;
  // Whether an answer of a backend server may be delimited by the close of its connection.
  bool allows_close_delimited_answers = false;
  // Whether a serving node resends a repeatable request if the backend server closes the connection
  // without an answer. Must be false where each arrival at a server counts against a budget, since
  // the entry node enforces the budget.
  bool retries_after_close = true;
};

}  // namespace guavatrail
