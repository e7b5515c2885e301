#include "settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <variant>

#include "config_table.h"
#include "toml_value.h"

namespace guavatrail {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr size_t kZ85KeyLength = 40;

struct IntegerRule {
  int64_t min;
  int64_t max;
};
struct RealRule {
  double min;
  double max;
};
enum class TextKind { kName, kHeaderName, kIp, kAddress, kAny, kZ85Key, kFixedChoice };
struct TextRule {
  TextKind kind;
  std::vector<std::string> choices;
};
struct AddressListRule {};
struct BooleanRule {};

using Rule = std::variant<IntegerRule, RealRule, TextRule, AddressListRule, BooleanRule>;
using Target =
    std::variant<int64_t* (*)(Settings&), double* (*)(Settings&), std::string* (*)(Settings&),
                 std::vector<std::string>* (*)(Settings&), bool* (*)(Settings&)>;

// One key of the settings file: its place in Settings, the values that it accepts, and its
// description for the reference page.
struct KeySpec {
  std::string section;
  std::string key;
  bool required;
  Rule rule;
  Target target;
  std::string help;
};

#define GUAVATRAIL_INTEGER(section, key, required, min, max, help)                             \
  KeySpec {                                                                                    \
#section, #key, required,                                                                  \
        IntegerRule{min, max }, +[](Settings & s) -> int64_t* { return &s.section.key; }, help \
  }
#define GUAVATRAIL_REAL(section, key, required, min, max, help)                            \
  KeySpec {                                                                                \
#section, #key, required,                                                              \
        RealRule{min, max }, +[](Settings & s) -> double* { return &s.section.key; }, help \
  }
#define GUAVATRAIL_TEXT(section, key, required, rule, help)                \
  KeySpec {                                                                \
#section, #key, required, rule,                                        \
        +[](Settings & s) -> std::string* { return &s.section.key; }, help \
  }

const std::vector<KeySpec>& KeySpecs() {
  const TextRule name{TextKind::kName, {}};
  const TextRule header_name{TextKind::kHeaderName, {}};
  const TextRule ip{TextKind::kIp, {}};
  const TextRule key{TextKind::kZ85Key, {}};
  const TextRule address{TextKind::kAddress, {}};
  const TextRule any{TextKind::kAny, {}};
  static const std::vector<KeySpec> kSpecs = {
      GUAVATRAIL_TEXT(node, name, true, name, "Unique name of the node."),
      GUAVATRAIL_TEXT(node, service, true, header_name,
                      "Service of the backend server beside the node."),
      GUAVATRAIL_TEXT(node, region, true, name, "Region of the VM."),
      GUAVATRAIL_TEXT(node, data_centre, true, name, "Data centre of the VM."),
      GUAVATRAIL_TEXT(listen, ip, true, ip, "Address on which all ports listen."),
      GUAVATRAIL_TEXT(listen, advertise_ip, false, ip,
                      "Address advertised to other nodes; when absent, listen.ip."),
      GUAVATRAIL_INTEGER(listen, caller_port, true, 1, kMaxPort, "HTTP port for callers."),
      GUAVATRAIL_INTEGER(listen, peer_port, true, 1, kMaxPort, "HTTP port for calls from nodes."),
      GUAVATRAIL_INTEGER(listen, control_port, true, 1, kMaxPort, "ZeroMQ port for control."),
      GUAVATRAIL_INTEGER(listen, admin_port, true, 1, kMaxPort, "HTTP port for operators."),
      GUAVATRAIL_INTEGER(listen, ready_port, false, 0, kMaxPort,
                         "HTTP port for the platform's readiness probes; 0: none."),
      GUAVATRAIL_INTEGER(listen, max_descriptors, false, 0, 1'000'000,
                         "File descriptors that the process may use, of which the connections of "
                         "each port get a share; 0: as many as the system allows."),
      GUAVATRAIL_INTEGER(listen, memory_mb, false, 0, 1'000'000,
                         "Memory of the VM in MB (10^6 bytes). Requests that would make the node "
                         "hold more than half of it are refused; 0: no limit."),
      GUAVATRAIL_REAL(
          listen, link_mbps, false, 0.0, 1e6,
          "Bandwidth of the VM's link in Mbit/s, for pacing large answers; 0: unknown."),
      GUAVATRAIL_TEXT(listen, caller_address, false, address,
                      "IP:PORT for callers, in place of caller_port."),
      GUAVATRAIL_TEXT(listen, control_address, false, address,
                      "IP:PORT for control, in place of control_port."),
      GUAVATRAIL_TEXT(listen, ready_address, false, address,
                      "IP:PORT for readiness probes, in place of ready_port."),
      GUAVATRAIL_TEXT(server, address, false, address,
                      "IP:PORT of the backend server, in place of ip and port."),
      GUAVATRAIL_TEXT(server, ip, true, ip, "Address of the backend server."),
      GUAVATRAIL_INTEGER(server, port, true, 1, kMaxPort, "HTTP port of the backend server."),
      GUAVATRAIL_INTEGER(server, slots, false, 1, 4096,
                         "Requests that the server runs concurrently."),
      GUAVATRAIL_INTEGER(server, connections, false, 1, 65536,
                         "Connections that the server accepts."),
      GUAVATRAIL_INTEGER(server, reserved_short_slots, false, 0, 4096,
                         "Slots reserved for short work; less than slots."),
      GUAVATRAIL_TEXT(platform, api, false,
                      (TextRule{TextKind::kFixedChoice, {"objects", "metadata_store"}}),
                      "Interface of the platform: the project's own object API, or the metadata "
                      "store of the users' platform."),
      GUAVATRAIL_TEXT(platform, address, false, address,
                      "IP:PORT of the platform, in place of ip and port."),
      GUAVATRAIL_TEXT(platform, ip, true, ip, "Address of the platform's object API."),
      GUAVATRAIL_INTEGER(platform, port, true, 1, kMaxPort, "Port of the platform's object API."),
      GUAVATRAIL_INTEGER(platform, timeout_ms, false, 10, 60000,
                         "Timeout of a call to the platform."),
      GUAVATRAIL_INTEGER(
          platform, watch_ms, false, 100, 300000,
          "Longest wait of one watch. A watch on a silent connection ends only after this time "
          "and timeout_ms, so longer waits can exceed the 6 s convergence bound."),
      KeySpec{"membership", "seeds", false, AddressListRule{},
              +[](Settings& s) -> std::vector<std::string>* { return &s.membership.seeds; },
              "Control addresses (IP:PORT) of nodes to contact at start."},
      GUAVATRAIL_INTEGER(membership, heartbeat_ms, false, 50, 60000, "Heartbeat period."),
      GUAVATRAIL_INTEGER(membership, missed_heartbeats, false, 1, 100,
                         "Missed heartbeats after which a monitor suspects a node."),
      GUAVATRAIL_INTEGER(membership, suspicion_ms, false, 50, 600000,
                         "Time in which a suspected node can refute the suspicion."),
      GUAVATRAIL_INTEGER(membership, rings, false, 1, 8, "Rings of the overlay."),
      GUAVATRAIL_TEXT(
          delivery, mode, false, (TextRule{TextKind::kFixedChoice, {"relay", "watch_all", "pull"}}),
          "How release notes are distributed; watch_all and pull exist for comparison."),
      GUAVATRAIL_INTEGER(delivery, watchers_per_data_centre, false, 1, 16,
                         "Nodes of a data centre that watch the platform."),
      GUAVATRAIL_INTEGER(delivery, pull_timeout_ms, false, 10, 60000,
                         "Time after which a pull is sent to another node."),
      GUAVATRAIL_TEXT(control, public_key, true, key, "CURVE public key of the fleet, Z85."),
      GUAVATRAIL_TEXT(control, secret_key, true, key, "CURVE secret key of the fleet, Z85."),
      GUAVATRAIL_TEXT(
          calls, placement, false,
          (TextRule{TextKind::kFixedChoice, {"two_choices", "completion_time", "round_robin"}}),
          "How an entry node selects a serving node: the less loaded of two, mostly in "
          "its data centre; the one with the shortest expected completion time; or "
          "every one in turn."),
      GUAVATRAIL_TEXT(calls, admission, false,
                      (TextRule{TextKind::kFixedChoice, {"slots", "unlimited"}}),
                      "How a serving node admits requests."),
      GUAVATRAIL_TEXT(calls, concurrency, false,
                      (TextRule{TextKind::kFixedChoice, {"slots", "adaptive"}}),
                      "Requests that a serving node runs at once: server.slots, or as many of them "
                      "as its server is measured to handle well; with `admission = \"slots\"`."),
      GUAVATRAIL_REAL(delivery, convergence_s, false, 0.5, 60.0,
                      "Seconds in which a change must be in force on every node; only with "
                      "`platform.api = \"metadata_store\"`."),
      GUAVATRAIL_REAL(calls, retry_budget, false, 0.0, 1.0, "Retries allowed per call."),
      GUAVATRAIL_REAL(calls, shared_retry_reserve, false, 0.0, 1e6,
                      "Retries that all nodes together may accumulate for a service; 0: ten each."),
      GUAVATRAIL_REAL(calls, hedge_budget, false, 0.0, 1.0, "Hedged requests allowed per call."),
      GUAVATRAIL_INTEGER(calls, queue_limit, false, 0, 100000,
                         "Requests that may queue at a serving node."),
      KeySpec{"calls", "rollouts", false, BooleanRule{},
              +[](Settings& s) -> bool* { return &s.calls.rollouts; },
              "Whether rollouts of server versions that the operator orders are carried out; only "
              "with `platform.api = \"metadata_store\"`. The same on all nodes."},
      GUAVATRAIL_REAL(lifecycle, grace_s, false, 1.0, 3600.0,
                      "Seconds from the stop signal until the process is killed."),
      GUAVATRAIL_TEXT(log, directory, false, any,
                      "Directory of log files; empty: standard output."),
      GUAVATRAIL_INTEGER(log, level, false, 0, 2,
                         "Lowest severity that is logged: 0 info, 1 warning, 2 error."),
  };
  return kSpecs;
}

#undef GUAVATRAIL_INTEGER
#undef GUAVATRAIL_REAL
#undef GUAVATRAIL_TEXT

bool IsIp(const std::string& text) {
  in_addr v4{};
  in6_addr v6{};
  return inet_pton(AF_INET, text.c_str(), &v4) == 1 || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

bool IsAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsIp(text.substr(0, colon))) return false;
  std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5) return false;
  if (port.find_first_not_of("0123456789") != std::string::npos) return false;
  int number = std::stoi(port);
  return number > 0 && number <= kMaxPort;
}

std::string Describe(const Rule& rule) {
  struct Describer {
    std::string operator()(const IntegerRule& r) const {
      return "an integer from " + std::to_string(r.min) + " to " + std::to_string(r.max);
    }
    std::string operator()(const RealRule& r) const {
      std::ostringstream out;
      out << "a number from " << r.min << " to " << r.max;
      return out.str();
    }
    std::string operator()(const TextRule& r) const {
      switch (r.kind) {
        case TextKind::kName:
          return "a name of 1 to 63 characters a-z, 0-9 and -";
        case TextKind::kHeaderName:
          return "a name of 1 to 255 bytes without control characters";
        case TextKind::kIp:
          return "an IP address";
        case TextKind::kAddress:
          return "an address IP:PORT";
        case TextKind::kAny:
          return "text";
        case TextKind::kZ85Key:
          return "a CURVE key of 40 Z85 characters";
        case TextKind::kFixedChoice: {
          std::string text = "one of";
          for (const std::string& choice : r.choices) text += " \"" + choice + "\"";
          return text;
        }
      }
      return "";
    }
    std::string operator()(const AddressListRule&) const { return "an array of \"IP:PORT\""; }
    std::string operator()(const BooleanRule&) const { return "true or false"; }
  };
  return std::visit(Describer{}, rule);
}

bool IsTextAllowed(const TextRule& rule, const std::string& text) {
  switch (rule.kind) {
    case TextKind::kName:
      return IsConfigName(text);
    case TextKind::kHeaderName:
      return IsHeaderName(text);
    case TextKind::kIp:
      return IsIp(text);
    case TextKind::kAddress:
      return IsAddress(text);
    case TextKind::kAny:
      return true;
    case TextKind::kZ85Key:
      return text.size() == kZ85KeyLength;
    case TextKind::kFixedChoice:
      return std::find(rule.choices.begin(), rule.choices.end(), text) != rule.choices.end();
  }
  return false;
}

// Stores the value of a TOML node in `settings` if the rule of `spec` allows it.
bool StoreValue(const toml::node& node, const KeySpec& spec, Settings& settings) {
  if (const auto* rule = std::get_if<IntegerRule>(&spec.rule)) {
    auto value = node.value_exact<int64_t>();
    if (!value || *value < rule->min || *value > rule->max) return false;
    *std::get<int64_t* (*)(Settings&)>(spec.target)(settings) = *value;
    return true;
  }
  if (const auto* rule = std::get_if<RealRule>(&spec.rule)) {
    auto value = node.value<double>();
    if (!value || !(*value >= rule->min && *value <= rule->max)) return false;
    *std::get<double* (*)(Settings&)>(spec.target)(settings) = *value;
    return true;
  }
  if (const auto* rule = std::get_if<TextRule>(&spec.rule)) {
    auto value = node.value_exact<std::string>();
    if (!value || !IsTextAllowed(*rule, *value)) return false;
    *std::get<std::string* (*)(Settings&)>(spec.target)(settings) = *value;
    return true;
  }
  if (std::holds_alternative<BooleanRule>(spec.rule)) {
    auto value = node.value_exact<bool>();
    if (value) *std::get<bool* (*)(Settings&)>(spec.target)(settings) = *value;
    return value.has_value();
  }
  const toml::array* array = node.as_array();
  if (array == nullptr) return false;
  std::vector<std::string> addresses;
  for (const toml::node& element : *array) {
    auto value = element.value_exact<std::string>();
    if (!value || !IsAddress(*value)) return false;
    addresses.push_back(*value);
  }
  *std::get<std::vector<std::string>* (*)(Settings&)>(spec.target)(settings) = addresses;
  return true;
}

SettingsError ErrorAt(std::string_view file, int64_t line, const std::string& text) {
  return {std::string(file) + ":" + std::to_string(line) + ": " + text};
}

const KeySpec* FindSpec(std::string_view section, std::string_view key) {
  for (const KeySpec& spec : KeySpecs()) {
    if (spec.section == section && spec.key == key) return &spec;
  }
  return nullptr;
}

bool IsSection(std::string_view name) {
  for (const KeySpec& spec : KeySpecs()) {
    if (spec.section == name) return true;
  }
  return false;
}

tl::expected<void, SettingsError> ParseSection(std::string_view section, const toml::table& table,
                                               std::string_view file, Settings& settings,
                                               std::set<const KeySpec*>& seen) {
  for (const auto& [key, node] : table) {
    std::string full = std::string(section) + "." + std::string(key.str());
    const KeySpec* spec = FindSpec(section, key.str());
    if (spec == nullptr) {
      return tl::make_unexpected(ErrorAt(file, key.source().begin.line, "unknown key " + full));
    }
    if (!StoreValue(node, *spec, settings)) {
      return tl::make_unexpected(ErrorAt(
          file, node.source().begin.line,
          full + ": found " + DescribeTomlValue(node) + ", allowed is " + Describe(spec->rule)));
    }
    seen.insert(spec);
  }
  return {};
}

// Splits "IP:PORT" into `ip` and `port`; does nothing if `address` is empty.
void SplitAddress(const std::string& address, std::string& ip, int64_t& port) {
  if (address.empty()) return;
  size_t colon = address.rfind(':');
  ip = address.substr(0, colon);
  port = std::stoi(address.substr(colon + 1));
}

void SplitAddresses(Settings& settings) {
  std::string& ip = settings.listen.ip;
  SplitAddress(settings.listen.caller_address, ip, settings.listen.caller_port);
  SplitAddress(settings.listen.control_address, ip, settings.listen.control_port);
  SplitAddress(settings.listen.ready_address, ip, settings.listen.ready_port);
  SplitAddress(settings.server.address, settings.server.ip, settings.server.port);
  SplitAddress(settings.platform.address, settings.platform.ip, settings.platform.port);
}

// Whether the required key of `spec` may be absent: an address key replaces it, or the selected
// platform API does not need it.
bool MayBeAbsent(const KeySpec& spec, const Settings& settings) {
  if (spec.section == "control") return settings.platform.api != "objects";
  if (spec.section == "server") return !settings.server.address.empty();
  if (spec.section == "platform") return !settings.platform.address.empty();
  if (spec.key == "caller_port") return !settings.listen.caller_address.empty();
  if (spec.key == "control_port") return !settings.listen.control_address.empty();
  return false;
}

}  // namespace

tl::expected<Settings, SettingsError> ParseSettings(std::string_view text, std::string_view file) {
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    return tl::make_unexpected(
        ErrorAt(file, error.source().begin.line, std::string(error.description())));
  }
  Settings settings;
  std::set<const KeySpec*> seen;
  for (const auto& [section, node] : root) {
    const toml::table* table = node.as_table();
    if (table == nullptr || !IsSection(section.str())) {
      return tl::make_unexpected(ErrorAt(file, section.source().begin.line,
                                         "unknown section " + std::string(section.str())));
    }
    auto parsed = ParseSection(section.str(), *table, file, settings, seen);
    if (!parsed) return tl::make_unexpected(parsed.error());
  }
  for (const KeySpec& spec : KeySpecs()) {
    if (spec.required && seen.count(&spec) == 0 && !MayBeAbsent(spec, settings)) {
      return tl::make_unexpected(
          ErrorAt(file, 1,
                  spec.section + "." + spec.key + ": missing, required is " + Describe(spec.rule)));
    }
  }
  SplitAddresses(settings);
  if (settings.server.reserved_short_slots >= settings.server.slots) {
    return tl::make_unexpected(ErrorAt(file, 1,
                                       "server.reserved_short_slots: found " +
                                           std::to_string(settings.server.reserved_short_slots) +
                                           ", allowed is less than server.slots (" +
                                           std::to_string(settings.server.slots) + ")"));
  }
  return settings;
}

tl::expected<Settings, SettingsError> LoadSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return tl::make_unexpected(SettingsError{path + ": cannot open file"});
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), path);
}

bool EqualsExceptLog(const Settings& a, const Settings& b) {
  return a.node == b.node && a.listen == b.listen && a.server == b.server &&
         a.platform == b.platform && a.membership == b.membership && a.delivery == b.delivery &&
         a.control == b.control && a.calls == b.calls && a.lifecycle == b.lifecycle;
}

std::string SettingsReference() {
  std::ostringstream out;
  out << "# Settings of guavatraild\n\nGenerated by `guavatraild --settings-reference`.\n";
  Settings defaults;
  std::string section;
  for (const KeySpec& spec : KeySpecs()) {
    if (spec.section != section) {
      section = spec.section;
      out << "\n## [" << section
          << "]\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n";
    }
    out << "| `" << spec.key << "` | " << Describe(spec.rule) << " | ";
    if (spec.required) {
      out << "required";
    } else if (const auto* integer = std::get_if<int64_t* (*)(Settings&)>(&spec.target)) {
      out << *(*integer)(defaults);
    } else if (const auto* real = std::get_if<double* (*)(Settings&)>(&spec.target)) {
      out << *(*real)(defaults);
    } else if (const auto* string = std::get_if<std::string* (*)(Settings&)>(&spec.target)) {
      out << '"' << *(*string)(defaults) << '"';
    } else if (const auto* boolean = std::get_if<bool* (*)(Settings&)>(&spec.target)) {
      out << (*(*boolean)(defaults) ? "true" : "false");
    } else {
      out << "[]";
    }
    out << " | " << spec.help << " |\n";
  }
  return out.str();
}

}  // namespace guavatrail
