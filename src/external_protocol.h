// Defines ExternalProtocol, what a node must know of the way in which callers and backend servers
// speak HTTP.
#pragma once

#include <string>

#include "http_headers.h"

namespace guavatrail {

// The defaults are the project's own way. Headers with an empty name are not in use.
struct ExternalProtocol {
  // Milliseconds that the caller will wait; also told to backend servers.
  std::string deadline_header = kDeadlineHeader;
  // Identifies one request of a caller, through to the backend server and back.
  std::string request_id_header;
  // Tells backend servers the service beside the node at which the request entered.
  std::string caller_service_header;
  // Tells backend servers which of them is meant; another one answers 421 and does not run it.
  std::string expected_server_header;
  // On an answer of a backend server: it did not run the request.
  std::string not_run_header;
  // Whether nodes add X-Guavatrail-* headers to what callers and backend servers get.
  bool exposes_node_headers = true;
  // Whether callers read fractions of a second in Retry-After.
  bool has_fractional_retry_after = false;
  // Whether an answer of a backend server may end with its connection.
  bool allows_close_delimited_answers = false;
  // Whether a serving node itself sends a repeatable request again when the backend server closes
  // the connection without an answer. Where each arrival at a server counts against a budget, that
  // is for the entry node to decide.
  bool retries_after_close = true;
};

}  // namespace guavatrail
