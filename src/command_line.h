// Defines OperatorArguments, the parsed command line of the operator's tool `guavatrail`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "admin_client.h"

namespace guavatrail {

// Exit codes of `guavatrail`.
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
  // Nodes to contact, in order of preference; the first that answers is used.
  std::vector<AdminAddress> nodes;
  bool json = false;
  // Time that publish and progress wait for the version to be in force on every node; 0: no wait.
  int64_t wait_seconds = 0;
  std::string html_file;
};

struct UsageError {
  std::string message;
  // Help or the program version was requested; not an error.
  bool is_help = false;
};

tl::expected<OperatorArguments, UsageError> ParseOperatorArguments(int argc,
                                                                   const char* const* argv);

}  // namespace guavatrail
