// Defines the command-line options of the load tool and their parsing.
#pragma once

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavatrail::load {

inline constexpr int64_t kUsPerMs = 1000;
inline constexpr int64_t kUsPerSecond = 1'000'000;

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct KindOptions {
  std::string name;
  std::string path;  // "{n}" is replaced by a number from 0 to 999.
  std::string method = "GET";
  double weight = 1;
  int64_t deadline_ms = 1000;
  bool is_order = false;  // Repeats the request after a 428 with the Idempotency-Key of the answer.
  size_t body_bytes = 0;
};

struct Phase {
  int64_t length_us = 0;
  double rate = 0;
};

struct Options {
  std::vector<std::pair<std::string, uint16_t>> targets;
  std::vector<KindOptions> kinds;
  std::vector<Phase> phases;
  size_t connections = 64;
  uint64_t seed = 1;
  bool is_constant = false;
  int64_t grace_us = 0;
  int64_t series_us = kUsPerSecond;
  std::string json_file;
};

template <typename T>
T ParseNumber(std::string_view text, const std::string& what) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < T{}) {
    throw UsageError(what + ": found \"" + std::string(text) +
                     "\", allowed is a non-negative number");
  }
  return value;
}

inline std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (size_t end = text.find(separator); end != std::string_view::npos;
       end = text.find(separator)) {
    parts.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  parts.push_back(text);
  return parts;
}

// Parses a duration such as "5s" or "500ms".
inline int64_t ParseDurationUs(std::string_view text) {
  bool is_ms = text.ends_with("ms");
  if (!is_ms && !text.ends_with("s")) {
    throw UsageError("duration: found \"" + std::string(text) +
                     "\", allowed is a duration such as 5s or 500ms");
  }
  auto number = ParseNumber<double>(text.substr(0, text.size() - (is_ms ? 2 : 1)), "duration");
  return static_cast<int64_t>(number * static_cast<double>(is_ms ? kUsPerMs : kUsPerSecond));
}

inline Phase ParsePhase(std::string_view text) {
  auto parts = Split(text, '@');
  if (parts.size() != 2) throw UsageError("phase: allowed is DURATION@RATE, for example 5s@400");
  return {ParseDurationUs(parts[0]), ParseNumber<double>(parts[1], "rate")};
}

inline std::pair<std::string, uint16_t> ParseTarget(std::string_view text) {
  auto parts = Split(text, ':');
  if (parts.size() != 2) throw UsageError("target: allowed is IP:PORT");
  return {std::string(parts[0]), ParseNumber<uint16_t>(parts[1], "port")};
}

inline KindOptions ParseKind(std::string_view text) {
  KindOptions kind;
  for (std::string_view field : Split(text, ',')) {
    size_t at = field.find('=');
    if (at == std::string_view::npos) throw UsageError("kind: allowed are NAME=VALUE pairs");
    std::string name(field.substr(0, at));
    std::string_view value = field.substr(at + 1);
    if (name == "name") {
      kind.name = value;
    } else if (name == "path") {
      kind.path = value;
    } else if (name == "method") {
      kind.method = value;
    } else if (name == "weight") {
      kind.weight = ParseNumber<double>(value, name);
    } else if (name == "deadline") {
      kind.deadline_ms = ParseNumber<int64_t>(value, name);
    } else if (name == "order") {
      kind.is_order = ParseNumber<int>(value, name) != 0;
    } else if (name == "body") {
      kind.body_bytes = ParseNumber<size_t>(value, name);
    } else {
      throw UsageError("kind: unknown field " + name +
                       ", allowed are name, path, method, weight, deadline, order, body");
    }
  }
  if (kind.name.empty() || kind.path.empty()) throw UsageError("kind: name and path are required");
  if (kind.method != "GET" && kind.method != "POST")
    throw UsageError("method: allowed are GET and POST");
  return kind;
}

inline Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine cmd("Sends calls at a given rate in an open loop and checks the answers.", ' ',
                     "0.1");
  TCLAP::MultiArg<std::string> targets("t", "target", "entry node", true, "IP:PORT", cmd);
  TCLAP::MultiArg<std::string> kinds(
      "k", "kind", "name=N,path=P[,method=POST][,weight=1][,deadline=MS][,order=1][,body=BYTES]",
      true, "FIELDS", cmd);
  TCLAP::MultiArg<std::string> phases("p", "phase", "for example 5s@400", false, "DURATION@RATE",
                                      cmd);
  TCLAP::ValueArg<double> rate("r", "rate", "calls per second if there are no phases", false, 100,
                               "N", cmd);
  TCLAP::ValueArg<std::string> duration("d", "duration", "duration if there are no phases", false,
                                        "5s", "T", cmd);
  TCLAP::ValueArg<size_t> connections("c", "connections", "connections per target", false, 64, "N",
                                      cmd);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "random seed of arrivals and kinds", false, 1, "N",
                                 cmd);
  TCLAP::SwitchArg constant("", "constant", "constant gaps instead of Poisson arrivals", cmd);
  TCLAP::ValueArg<std::string> grace("", "grace", "wait for answers after the deadline", false,
                                     "1s", "T", cmd);
  TCLAP::ValueArg<std::string> series("", "series", "interval of the time series", false, "1s", "T",
                                      cmd);
  TCLAP::ValueArg<std::string> json("j", "json", "output file, - for stdout", false, "", "F", cmd);
  cmd.parse(argc, argv);
  Options options{.connections = std::max<size_t>(1, connections.getValue()),
                  .seed = seed.getValue(),
                  .is_constant = constant.getValue(),
                  .grace_us = ParseDurationUs(grace.getValue()),
                  .series_us = std::max(kUsPerMs, ParseDurationUs(series.getValue())),
                  .json_file = json.getValue()};
  for (const auto& text : targets.getValue()) {
    for (std::string_view target : Split(text, ',')) options.targets.push_back(ParseTarget(target));
  }
  for (const auto& text : kinds.getValue()) options.kinds.push_back(ParseKind(text));
  for (const auto& text : phases.getValue()) options.phases.push_back(ParsePhase(text));
  if (options.phases.empty()) {
    options.phases.push_back({ParseDurationUs(duration.getValue()), rate.getValue()});
  }
  return options;
}

}  // namespace guavatrail::load
