// Defines the resources of the mesh configuration, release notes, and ConfigTable, a
// snapshot of all resources at one version, with the rules for applying a release note to a table.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <variant>
#include <vector>

#include "workspace.h"

namespace guavatrail {

// A service of backend servers and its service-level objective.
struct Service {
  std::string name;
  std::string owner;
  // Fraction of calls that must be good, in (0, 1).
  double objective = 0.999;
  // Path at which a server of the service answers whether it is in service; empty: none.
  std::string health_path;
  bool operator==(const Service&) const = default;
};

// How requests of a work kind that is not idempotent are identified.
enum class KeyMode {
  kRequired,  // The caller sends the order key that it was issued, and may repeat the request with
              // it.
  kPerRequest,  // Each request is a separate order and is sent once.
};

// A named class of requests with a common deadline, importance and retry policy.
struct WorkKind {
  std::string name;
  int64_t deadline_ms = 1000;
  bool idempotent = true;
  int importance = 1;    // 0 (refused first under overload) to 3.
  bool is_short = true;  // Short requests may use the slots reserved for short work.
  KeyMode key = KeyMode::kRequired;
  // Maximum number of servers that one call may be sent to.
  int attempts = 3;
  // Latency objective in ms: an answer within it has its full value for the caller. 0: the
  // deadline.
  int64_t objective_ms = 0;
  bool operator==(const WorkKind&) const = default;
};

// A service's share of the requests of a route: its weight relative to the sum of all weights.
struct RouteShare {
  std::string service;
  double weight = 1;
  bool operator==(const RouteShare&) const = default;
};

// Sends requests whose path starts with `path_prefix` to a service as work of one kind.
struct Route {
  std::string name;
  std::string path_prefix;
  std::string service;
  std::string work;
  // The host that requests must address, in lower case; empty: any. With a port, requests must name
  // it too.
  std::string host;
  // When not empty, requests are split among these services by weight, and `service`
  // is not used for routing but must exist.
  std::vector<RouteShare> shares;
  // Requests need no API key, even if the configuration has workspaces.
  bool is_public = false;
  // The operator's name for the route, for logs only: several routes may have the same one.
  std::string label;
  bool operator==(const Route&) const = default;
};

// Limits on callers' requests and connections. 0: the node's own limit.
struct CallerLimits {
  int64_t max_head_bytes = 0;
  int64_t max_body_bytes = 0;
  int64_t read_timeout_ms = 0;
  int64_t idle_timeout_ms = 0;
  bool operator==(const CallerLimits&) const = default;
};

using Resource = std::variant<Service, WorkKind, Route, Workspace>;

enum class ResourceType { kService, kWorkKind, kRoute, kWorkspace };

// Reference to a resource by type and name; names are unique within a type.
struct ResourceRef {
  ResourceType type = ResourceType::kService;
  std::string name;
  bool operator==(const ResourceRef&) const = default;
  // Not a defaulted <=>: clang-tidy 14 reports modernize-use-nullptr inside it.
  bool operator<(const ResourceRef& other) const {
    return std::tie(type, name) < std::tie(other.type, other.name);
  }
};

ResourceRef RefOf(const Resource& resource);
// "service/catalogo", "work/lookup", "route/pecas" or "workspace/loja-4".
std::string ToString(const ResourceRef& ref);

// A change of the configuration that is applied atomically.
struct ReleaseNote {
  std::string id;
  std::string author;
  std::string summary;
  std::vector<Resource> added;
  std::vector<Resource> changed;
  std::vector<ResourceRef> withdrawn;
  // Sets ConfigTable::requires_api_keys. Without a value, adding a workspace sets it, and
  // withdrawing workspaces leaves it set.
  std::optional<bool> requires_api_keys;
  bool operator==(const ReleaseNote&) const = default;
};

// The reason why a resource, a note or a table is invalid.
struct ConfigError {
  enum class Code { kAlreadyExists, kNotFound, kDanglingReference, kDuplicate, kInvalidValue };
  Code code = Code::kInvalidValue;
  ResourceRef resource;
  std::string message;
  // The other resource of a dangling reference or a duplicate path prefix.
  std::optional<ResourceRef> related;
};

// "already_exists", "not_found", "dangling_reference", "duplicate" or "invalid_value".
std::string_view ToString(ConfigError::Code code);
// An error whose message names `resource` and says `problem`.
tl::unexpected<ConfigError> MakeConfigError(ConfigError::Code code, const ResourceRef& resource,
                                            std::string_view problem,
                                            std::optional<ResourceRef> related = std::nullopt);

// Limits on the values of notes.
inline constexpr size_t kMaxNameLength = 63;
inline constexpr size_t kMaxTextLength = 1000;
inline constexpr size_t kMaxPathPrefixLength = 255;
inline constexpr int64_t kMaxWeight = 1'000'000;
inline constexpr size_t kMaxNoteShares = 64;
inline constexpr size_t kMaxNoteApiKeys = 256;
// Limits on the values of notes and tables.
inline constexpr int64_t kMaxDeadlineMs = 600'000;
inline constexpr int kMaxImportance = 3;
inline constexpr int kMaxAttempts = 16;
inline constexpr size_t kMaxHostLength = 253;
inline constexpr size_t kMaxShares = 1'024;
// Limits on the values of tables, which may come from an operator's interface other than notes.
// Such names are sent in headers.
inline constexpr size_t kMaxHeaderNameLength = 255;
inline constexpr size_t kMaxLabelLength = 128;
inline constexpr size_t kMaxTablePrefixLength = 8'192;

// 1 to 63 characters a-z, 0-9 and -.
bool IsConfigName(std::string_view text);
// The name of a service or workspace in a table: 1 to 255 bytes that a header can carry unchanged.
bool IsHeaderName(std::string_view text);
// Starts with "/", followed by visible ASCII characters except "?" and "#"; at most 255 bytes.
bool IsPathPrefix(std::string_view text);
// Whether the path of a request can begin with `text`.
bool CanBeginPath(std::string_view text);

// Checks the values of one resource of a table on its own, without its references.
tl::expected<void, ConfigError> ValidateResource(const Resource& resource);
// Checks a change between two tables as far as possible without them: its id and texts, that it
// names at least one resource and none twice, and the values of its resources.
tl::expected<void, ConfigError> ValidateChange(const ReleaseNote& change);
// Checks a note of an operator in the same way; names, prefixes and keys follow stricter rules.
tl::expected<void, ConfigError> ValidateNote(const ReleaseNote& note);
// The resources that a note adds, changes or withdraws, sorted.
std::vector<ResourceRef> AffectedResources(const ReleaseNote& note);

// All resources at one version. Not changed after it is shared.
class ConfigTable {
 public:
  uint64_t version() const { return m_version; }
  const std::map<std::string, Service, std::less<>>& services() const { return m_services; }
  const std::map<std::string, WorkKind, std::less<>>& work_kinds() const { return m_work_kinds; }
  const std::map<std::string, Route, std::less<>>& routes() const { return m_routes; }

  const std::map<std::string, Workspace, std::less<>>& workspaces() const { return m_workspaces; }

  // Whether requests need the API key of a workspace, unless their route is public. True with any
  // workspace; without one, no request has such a key.
  bool requires_api_keys() const { return m_requires_api_keys; }
  void RequireApiKeys() { m_requires_api_keys = true; }

  const CallerLimits& limits() const { return m_limits; }
  void SetLimits(const CallerLimits& limits) { m_limits = limits; }

  // Null when absent.
  const Service* FindService(std::string_view name) const;
  const WorkKind* FindWorkKind(std::string_view name) const;
  // The workspace that `api_key` belongs to; null when absent.
  const Workspace* FindWorkspaceByKey(std::string_view api_key) const;
  // The route with the longest path prefix that matches whole segments of `path`: for `authority`,
  // which is HOST or HOST:PORT, or else for its host with any port, or else for any host. Null when
  // none matches. `path` must not contain the query.
  const Route* MatchRoute(std::string_view path, std::string_view authority = {}) const;

  // Checks all resources and references; returns the first error found.
  tl::expected<void, ConfigError> Validate() const;

  // The result of applying `note`, at version() + 1. Fails when the note is invalid in itself, adds
  // a resource that exists, changes or withdraws one that does not, or leaves a dangling reference.
  tl::expected<ConfigTable, ConfigError> Apply(const ReleaseNote& note) const;
  // The same for the result of ChangeSince, which need not meet the stricter rules of notes.
  tl::expected<ConfigTable, ConfigError> ApplyChange(const ReleaseNote& change) const;

  // The difference from `before` to this table as a note; each list is sorted by type, then name.
  ReleaseNote ChangeSince(const ConfigTable& before) const;
  // The same resources at another version.
  ConfigTable AtVersion(uint64_t version) const;
  // The same resources at version() + 1: the result of a refused note, which still takes a version.
  ConfigTable SkipVersion() const;

  // Builds and validates a table from the resources of a snapshot.
  static tl::expected<ConfigTable, ConfigError> FromResources(
      uint64_t version, const std::vector<Resource>& resources);
  std::vector<Resource> Resources() const;

  bool operator==(const ConfigTable&) const = default;

 private:
  const Route* LongestPrefix(std::string_view host, std::string_view path) const;
  bool Contains(const ResourceRef& ref) const;
  void Put(const Resource& resource);
  void Erase(const ResourceRef& ref);
  void EraseRoute(const std::string& name);
  void EraseWorkspace(const std::string& name);

  uint64_t m_version = 0;
  bool m_requires_api_keys = false;
  CallerLimits m_limits;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, WorkKind, std::less<>> m_work_kinds;
  std::map<std::string, Route, std::less<>> m_routes;
  std::map<std::string, Workspace, std::less<>> m_workspaces;
  // Names of workspaces by API key.
  std::map<std::string, std::string, std::less<>> m_workspaces_by_key;
  // Names of routes by host and path prefix.
  std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> m_prefixes;
};

}  // namespace guavatrail
