#include "command_line.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace guavatrail {

namespace {

constexpr char kVersion[] = "0.1.0";
constexpr char kHelp[] =
    "Publishes release notes to a mesh and reports their progress. "
    "Commands: publish NOTE.toml, drain NODE, keygen. "
    "Queries: validate NOTE.toml, check-config CONFIG.json, notes, show VERSION, progress "
    "[VERSION], nodes, burn. "
    "Exit codes: 0 done, 1 refused with nothing changed, 2 usage, 3 outcome unknown.";
constexpr int64_t kMaxWaitSeconds = 3600;

struct CommandSpec {
  std::string_view name;
  size_t min_operands;
  size_t max_operands;
  bool needs_platform;
  bool needs_node;
};

constexpr std::array kCommands = {
    CommandSpec{"publish", 1, 1, true, false},  CommandSpec{"validate", 1, 1, true, false},
    CommandSpec{"notes", 0, 0, true, false},    CommandSpec{"show", 1, 1, true, false},
    CommandSpec{"progress", 0, 1, false, true}, CommandSpec{"nodes", 0, 0, false, true},
    CommandSpec{"burn", 0, 0, false, true},     CommandSpec{"drain", 1, 1, false, true},
    CommandSpec{"keygen", 0, 0, false, false},  CommandSpec{"check-config", 1, 1, false, false},
};

tl::expected<void, UsageError> CheckArguments(const OperatorArguments& arguments) {
  const auto* spec = std::find_if(kCommands.begin(), kCommands.end(), [&](const CommandSpec& c) {
    return c.name == arguments.command;
  });
  if (spec == kCommands.end()) {
    return tl::make_unexpected(UsageError{"unknown command \"" + arguments.command + "\""});
  }
  if (arguments.operands.size() < spec->min_operands ||
      arguments.operands.size() > spec->max_operands) {
    return tl::make_unexpected(
        UsageError{arguments.command + ": found " + std::to_string(arguments.operands.size()) +
                   " operands, allowed are " + std::to_string(spec->min_operands) + " to " +
                   std::to_string(spec->max_operands)});
  }
  if (spec->needs_platform && !arguments.platform.has_value()) {
    return tl::make_unexpected(UsageError{arguments.command + " needs --platform IP:PORT"});
  }
  if (spec->needs_node && arguments.nodes.empty()) {
    return tl::make_unexpected(UsageError{arguments.command + " needs --node IP:PORT"});
  }
  if (arguments.command == "publish" && arguments.wait_seconds > 0 && arguments.nodes.empty()) {
    return tl::make_unexpected(UsageError{"publish --wait needs --node IP:PORT"});
  }
  if (arguments.wait_seconds < 0 || arguments.wait_seconds > kMaxWaitSeconds) {
    return tl::make_unexpected(
        UsageError{"--wait: allowed is 0 to " + std::to_string(kMaxWaitSeconds) + " seconds"});
  }
  return {};
}

tl::expected<void, UsageError> AddAddresses(const std::string& platform,
                                            const std::vector<std::string>& nodes,
                                            OperatorArguments& arguments) {
  if (!platform.empty()) {
    auto address = ParseAdminAddress(platform);
    if (!address) return tl::make_unexpected(UsageError{"--platform: " + address.error()});
    arguments.platform = *address;
  }
  for (const std::string& text : nodes) {
    auto address = ParseAdminAddress(text);
    if (!address) return tl::make_unexpected(UsageError{"--node: " + address.error()});
    arguments.nodes.push_back(*address);
  }
  return {};
}

}  // namespace

tl::expected<OperatorArguments, UsageError> ParseOperatorArguments(int argc,
                                                                   const char* const* argv) {
  TCLAP::CmdLine parser(kHelp, ' ', kVersion);
  parser.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> platform("p", "platform", "Address of the platform's object API",
                                        false, "", "IP:PORT", parser);
  TCLAP::MultiArg<std::string> nodes("n", "node", "Admin address of a node; may be repeated", false,
                                     "IP:PORT", parser);
  TCLAP::ValueArg<int64_t> wait("w", "wait", "Wait until every node has the version", false, 0,
                                "seconds", parser);
  TCLAP::ValueArg<std::string> html("", "html", "Write the burn report as an HTML page", false, "",
                                    "FILE", parser);
  TCLAP::SwitchArg json("j", "json", "Print JSON", parser);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its operands", true,
                                              "COMMAND [OPERAND]", parser);
  try {
    parser.parse(argc, argv);
  } catch (const TCLAP::ExitException&) {
    return tl::make_unexpected(UsageError{"", true});
  } catch (const TCLAP::ArgException& error) {
    return tl::make_unexpected(UsageError{error.argId() + ": " + error.error()});
  }
  OperatorArguments arguments;
  arguments.command = words.getValue().front();
  arguments.operands.assign(words.getValue().begin() + 1, words.getValue().end());
  arguments.json = json.getValue();
  arguments.wait_seconds = wait.getValue();
  arguments.html_file = html.getValue();
  auto added = AddAddresses(platform.getValue(), nodes.getValue(), arguments);
  if (!added) return tl::make_unexpected(added.error());
  auto checked = CheckArguments(arguments);
  if (!checked) return tl::make_unexpected(checked.error());
  return arguments;
}

}  // namespace guavatrail
