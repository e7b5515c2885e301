// The node daemon: one process beside each backend server.
#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>
#include <malloc.h>
#include <sodium.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <string>

#include "event_loop.h"
#include "log_output.h"
#include "mesh_node.h"
#include "node.h"
#include "settings.h"

namespace {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kMapThresholdBytes = 131'072;
constexpr int kLogPeriodS = 10;

struct Arguments {
  std::string settings_file;
  bool check_only = false;
  bool print_reference = false;
};

// Sets `end` when the process should exit with the returned code.
int ParseArguments(int argc, char** argv, Arguments& arguments, bool& end) {
  TCLAP::CmdLine parser("Runs one guavatrail node beside a backend server.", ' ', "0.1.0");
  parser.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (TOML)", false, "", "FILE",
                                    parser);
  TCLAP::SwitchArg check("c", "check", "Check the settings and exit", parser);
  TCLAP::SwitchArg reference("", "settings-reference", "Print the reference page of all settings",
                             parser);
  end = true;
  try {
    parser.parse(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "guavatraild: " << error.argId() << ": " << error.error() << "\n";
    return kExitUsage;
  }
  arguments = {file.getValue(), check.getValue(), reference.getValue()};
  if (arguments.settings_file.empty() && !arguments.print_reference) {
    std::cerr << "guavatraild: --settings FILE is required\n";
    return kExitUsage;
  }
  end = false;
  return kExitDone;
}

// By default the library writes to standard error, and the process would hang if nobody reads it.
void LogProtobufMessage(google::protobuf::LogLevel /*level*/, const char* /*file*/, int /*line*/,
                        const std::string& message) {
  LOG_EVERY_T(WARNING, kLogPeriodS) << "event=protobuf_message text=\"" << message << "\"";
}

void StartLogging(const guavatrail::LogSettings& log) {
  google::InitGoogleLogging("guavatraild");
  google::protobuf::SetLogHandler(LogProtobufMessage);
  FLAGS_minloglevel = static_cast<int>(log.level);
  if (!log.directory.empty()) {
    FLAGS_log_dir = log.directory;
    return;
  }
  // LogOutput writes log lines to standard output; fatal messages also go to standard error.
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int level = google::GLOG_INFO; level <= google::GLOG_FATAL; ++level) {
    google::SetLogDestination(static_cast<google::LogSeverity>(level), "");
  }
}

// Applies the settings that can change while the node runs. Other changes take effect at the next
// start.
void Reload(const std::string& file, const guavatrail::Settings& before) {
  auto settings = guavatrail::LoadSettings(file);
  if (!settings) {
    LOG(ERROR) << "event=reload_refused error=\"" << settings.error().message << "\"";
    return;
  }
  FLAGS_minloglevel = static_cast<int>(settings->log.level);
  LOG(INFO) << "event=reloaded file=" << file << " log_level=" << settings->log.level
            << " needs_restart=" << !guavatrail::EqualsExceptLog(*settings, before);
}

template <typename NodeType>
int RunNode(const std::string& file, const guavatrail::Settings& settings) {
  guavatrail::EventLoop loop;
  std::optional<guavatrail::LogOutput> output;
  if (settings.log.directory.empty()) output.emplace(loop, STDOUT_FILENO);
  NodeType node(loop, settings);
  auto started = node.Start();
  if (!started) {
    LOG(ERROR) << "event=start_failed node=" << settings.node.name << " error=\""
               << started.error().message << "\"";
    return kExitRefused;
  }
  loop.OnSignal(SIGTERM, [&node] { node.Stop(); });
  loop.OnSignal(SIGINT, [&node] { node.Stop(); });
  loop.OnSignal(SIGHUP, [&file, &settings] { Reload(file, settings); });
  loop.Run();
  LOG(INFO) << "event=stopped node=" << settings.node.name;
  return kExitDone;
}

int RunNodeFor(const std::string& file, const guavatrail::Settings& settings) {
  if (settings.platform.api == "metadata_store") {
    return RunNode<guavatrail::platform::MeshNode>(file, settings);
  }
  return RunNode<guavatrail::Node>(file, settings);
}

}  // namespace

int main(int argc, char** argv) {
  // A SIGHUP before the event loop runs must not end the process, and needs no reload: the settings
  // are read after this line.
  std::signal(SIGHUP, SIG_IGN);
  Arguments arguments;
  bool end = false;
  int code = ParseArguments(argc, argv, arguments, end);
  if (end) return code;
  if (arguments.print_reference) {
    std::cout << guavatrail::SettingsReference();
    return kExitDone;
  }
  auto settings = guavatrail::LoadSettings(arguments.settings_file);
  if (!settings) {
    std::cerr << "guavatraild: " << settings.error().message << "\n";
    return kExitRefused;
  }
  if (arguments.check_only) {
    std::cout << arguments.settings_file << ": settings are valid\n";
    return kExitDone;
  }
  if (sodium_init() < 0) {
    std::cerr << "guavatraild: libsodium cannot be initialized\n";
    return kExitRefused;
  }
  // The allocator would raise this threshold after the first large block is freed, and would then
  // keep the memory of freed bodies. A fixed one returns it to the system at once.
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  StartLogging(settings->log);
  return RunNodeFor(arguments.settings_file, *settings);
}
