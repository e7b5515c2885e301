// Defines the queries of the operator's command: they read the platform and the nodes and change
// nothing.
#pragma once

#include <iosfwd>

#include "command_line.h"
#include "event_loop.h"
#include "progress.h"

namespace guavatrail {

// Where a command writes its result and its errors.
struct OperatorOutput {
  std::ostream& result;
  std::ostream& error;
};

ExitCode RunValidate(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunNotes(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunShow(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunProgress(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunNodes(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunBurn(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);

// Prints a report; nodes that do not have the version are named.
void PrintProgress(const ProgressReport& report, bool json, std::ostream& out);

// Parses a decimal version.
tl::expected<uint64_t, std::string> ParseVersion(std::string_view text);

}  // namespace guavatrail
