// Defines the subcommands of `guavatrail` that change the configuration or a node, and keygen.
#pragma once

#include "command_line.h"
#include "event_loop.h"
#include "operator_queries.h"

namespace guavatrail {

ExitCode RunPublish(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunDrain(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
// Prints a new CURVE key pair in the syntax of the settings file.
ExitCode RunKeygen(const OperatorArguments& arguments, OperatorOutput out);

}  // namespace guavatrail
