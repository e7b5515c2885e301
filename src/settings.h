// Defines Settings, the validated settings of a node, and the functions that parse them from TOML.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace guavatrail {

struct NodeSettings {
  std::string name;
  std::string service;
  std::string region;
  std::string data_centre;
  bool operator==(const NodeSettings&) const = default;
};

struct ListenSettings {
  std::string ip;
  // Address advertised to other nodes; empty: ip. Differs from `ip` when the VM is behind address
  // translation. Outgoing connections to other nodes are bound to `ip`.
  std::string advertise_ip;
  int64_t caller_port = 0;
  int64_t peer_port = 0;
  int64_t control_port = 0;
  int64_t admin_port = 0;
  double link_mbps = 0;  // Bandwidth of the VM's link; 0: unknown, answers are not paced.
  // Port for the platform's readiness probes; 0: none.
  int64_t ready_port = 0;
  int64_t max_descriptors = 0;  // File descriptors of the process; 0: as the system limits them.
  int64_t memory_mb = 0;        // Memory of the VM; 0: what requests hold is not limited.
  // "IP:PORT", in place of ip and the port of that name; empty: not used.
  std::string caller_address;
  std::string control_address;
  std::string ready_address;
  bool operator==(const ListenSettings&) const = default;
};

struct ServerSettings {
  std::string address;  // "IP:PORT", in place of ip and port; empty: not used.
  std::string ip;
  int64_t port = 0;
  int64_t slots = 9;
  int64_t connections = 130;
  int64_t reserved_short_slots = 2;
  bool operator==(const ServerSettings&) const = default;
};

struct PlatformSettings {
  // Interface of the platform. "objects" is the project's own object API, which stores release
  // notes; "metadata_store" is the users' store, which stores complete configurations.
  std::string api = "objects";
  std::string address;  // "IP:PORT", in place of ip and port; empty: not used.
  std::string ip;
  int64_t port = 0;
  int64_t timeout_ms = 2000;
  int64_t watch_ms = 2500;
  bool operator==(const PlatformSettings&) const = default;
};

struct MembershipSettings {
  // Control addresses, "IP:PORT", of nodes to contact at start.
  std::vector<std::string> seeds;
  int64_t heartbeat_ms = 1000;
  int64_t missed_heartbeats = 3;
  int64_t suspicion_ms = 3000;
  int64_t rings = 4;
  bool operator==(const MembershipSettings&) const = default;
};

struct DeliverySettings {
  std::string mode = "relay";  // relay, watch_all or pull
  int64_t watchers_per_data_centre = 2;
  int64_t pull_timeout_ms = 500;
  double convergence_s = 2.0;  // Time in which a change must be in force on every node.
  bool operator==(const DeliverySettings&) const = default;
};

struct ControlSettings {
  // CURVE keys of the fleet, 40 characters of Z85 each.
  std::string public_key;
  std::string secret_key;
  bool operator==(const ControlSettings&) const = default;
};

struct CallsSettings {
  std::string placement = "two_choices";  // two_choices, completion_time or round_robin
  std::string admission = "slots";        // slots or unlimited
  std::string concurrency = "slots";      // slots or adaptive
  double retry_budget = 0.1;
  // Retries that all nodes together may accumulate for a service; 0: ten for each node.
  double shared_retry_reserve = 0;
  double hedge_budget = 0.05;
  int64_t queue_limit = 256;
  // Whether rollouts of server versions are carried out; see docs/design/rollouts.md.
  bool rollouts = false;
  bool operator==(const CallsSettings&) const = default;
};

struct LifecycleSettings {
  double grace_s = 30.0;  // From the stop signal until the process is killed.
  bool operator==(const LifecycleSettings&) const = default;
};

struct LogSettings {
  std::string directory;  // Empty: standard output.
  int64_t level = 0;      // 0 info, 1 warning, 2 error
};

struct Settings {
  NodeSettings node;
  ListenSettings listen;
  ServerSettings server;
  PlatformSettings platform;
  MembershipSettings membership;
  DeliverySettings delivery;
  ControlSettings control;
  CallsSettings calls;
  LifecycleSettings lifecycle;
  LogSettings log;
};

// The address that other nodes use to reach this one.
inline const std::string& AdvertisedIp(const Settings& settings) {
  return settings.listen.advertise_ip.empty() ? settings.listen.ip : settings.listen.advertise_ip;
}

// Whether the settings are equal in every section but [log].
bool EqualsExceptLog(const Settings& a, const Settings& b);

// The message has the file, line and key of the invalid setting, its value and the allowed values.
struct SettingsError {
  std::string message;
};

// Parses and validates the text of a settings file; `file` is used in error messages only.
tl::expected<Settings, SettingsError> ParseSettings(std::string_view text, std::string_view file);
tl::expected<Settings, SettingsError> LoadSettings(const std::string& path);
// Returns the Markdown reference of all keys, generated from the table that the parser uses.
std::string SettingsReference();

}  // namespace guavatrail
