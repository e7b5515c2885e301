// Defines ServerNotice, what a backend server states about itself in the head of an answer.
#pragma once

#include <optional>

#include "external_protocol.h"
#include "http_headers.h"

namespace guavatrail {

struct ServerNotice {
  // Requests a second that the server takes from all nodes together; nullopt: it names no limit.
  std::optional<double> limit_per_s;
  // The answer has a limit that is not a decimal number of at least 0.
  bool has_invalid_limit = false;
  // The server is about to stop and must get no new work.
  bool is_leaving = false;
};

// Headers that `protocol` does not use are ignored.
ServerNotice ParseServerNotice(const ExternalProtocol& protocol, const HeaderList& headers);

// The value of a rate limit; nullopt if the text is not a decimal number of at least 0.
std::optional<double> ParseRateLimit(std::string_view text);

}  // namespace guavatrail
