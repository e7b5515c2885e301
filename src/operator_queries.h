// Defines the subcommands of `guavatrail` that only read from the platform and the nodes.
#pragma once

#include <iosfwd>

#include "command_line.h"
#include "event_loop.h"
#include "progress.h"

namespace guavatrail {

// Streams for the result and the errors of a subcommand.
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

// Prints a report; the text form lists the nodes on which the version is not in force.
void PrintProgress(const ProgressReport& report, bool json, std::ostream& out);

// Parses a positive decimal version.
tl::expected<uint64_t, std::string> ParseVersion(std::string_view text);

}  // namespace guavatrail
