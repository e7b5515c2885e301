// Defines the commands of the operator's command: they change the configuration or a node.
#pragma once

#include "command_line.h"
#include "event_loop.h"
#include "operator_queries.h"

namespace guavatrail {

ExitCode RunPublish(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
ExitCode RunDrain(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out);
// Prints a new CURVE key pair in the form of the settings file; changes nothing.
ExitCode RunKeygen(const OperatorArguments& arguments, OperatorOutput out);

}  // namespace guavatrail
