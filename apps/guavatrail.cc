// The operator's tool: publishes release notes and reports on their progress and on the nodes.
#include <glog/logging.h>
#include <sodium.h>

#include <csignal>
#include <iostream>

#include "command_line.h"
#include "config_check.h"
#include "event_loop.h"
#include "operator_commands.h"
#include "operator_queries.h"

namespace {

using guavatrail::ExitCode;

ExitCode RunCommand(const guavatrail::OperatorArguments& arguments) {
  guavatrail::EventLoop loop;
  guavatrail::OperatorOutput out{std::cout, std::cerr};
  const std::string& command = arguments.command;
  if (command == "publish") return guavatrail::RunPublish(loop, arguments, out);
  if (command == "drain") return guavatrail::RunDrain(loop, arguments, out);
  if (command == "keygen") return guavatrail::RunKeygen(arguments, out);
  if (command == "validate") return guavatrail::RunValidate(loop, arguments, out);
  if (command == "check-config") return guavatrail::platform::RunCheckConfig(arguments, out);
  if (command == "notes") return guavatrail::RunNotes(loop, arguments, out);
  if (command == "show") return guavatrail::RunShow(loop, arguments, out);
  if (command == "progress") return guavatrail::RunProgress(loop, arguments, out);
  if (command == "nodes") return guavatrail::RunNodes(loop, arguments, out);
  if (command == "burn") return guavatrail::RunBurn(loop, arguments, out);
  // ParseOperatorArguments accepts only the commands above.
  LOG(FATAL) << "command=" << command << " has no implementation";
  return ExitCode::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  google::InitGoogleLogging("guavatrail");
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  std::signal(SIGPIPE, SIG_IGN);
  auto arguments = guavatrail::ParseOperatorArguments(argc, argv);
  if (!arguments) {
    if (arguments.error().is_help) return static_cast<int>(ExitCode::kDone);
    std::cerr << "guavatrail: " << arguments.error().message << "; see guavatrail --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (sodium_init() < 0) {
    std::cerr << "guavatrail: libsodium cannot be initialized\n";
    return static_cast<int>(ExitCode::kRefused);
  }
  return static_cast<int>(RunCommand(*arguments));
}
