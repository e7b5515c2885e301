// Defines OperatorArguments, the parsed command line of the operator's command `guavatrail`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "admin_client.h"

namespace guavatrail {

// Exit codes of the operator's command.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,  // Refused, with nothing changed.
  kUsage = 2,
  kUnknown = 3,  // The outcome is unknown; the message says how to find out.
};

struct OperatorArguments {
  std::string command;
  std::vector<std::string> operands;
  std::optional<AdminAddress> platform;
  // Nodes to ask, in order; the first that answers is used.
  std::vector<AdminAddress> nodes;
  bool json = false;
  // Seconds that publish and progress wait for every node; 0 does not wait.
  int64_t wait_seconds = 0;
  std::string html_file;
};

struct UsageError {
  std::string message;
  // The user asked for help or the version; not an error.
  bool is_help = false;
};

tl::expected<OperatorArguments, UsageError> ParseOperatorArguments(int argc,
                                                                   const char* const* argv);

}  // namespace guavatrail
