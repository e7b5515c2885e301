#include "config_table.h"

#include <algorithm>

namespace guavatrail {

namespace {

using Code = ConfigError::Code;

tl::unexpected<ConfigError> Fail(Code code, const ResourceRef& ref, const std::string& message,
                                 std::optional<ResourceRef> related = std::nullopt) {
  return tl::make_unexpected(
      ConfigError{code, ref, ToString(ref) + ": " + message, std::move(related)});
}

constexpr std::string_view kNameAllowed = "a name of 1 to 63 characters a-z, 0-9 and -";
constexpr std::string_view kWorkspaceNameAllowed =
    "a name of 1 to 63 characters a-z, A-Z, 0-9, ., _ and -";

bool IsText(std::string_view text) { return text.size() <= kMaxTextLength; }

tl::expected<void, ConfigError> ValidateValues(const Service& service) {
  ResourceRef ref{ResourceType::kService, service.name};
  if (!IsText(service.owner)) {
    return Fail(Code::kInvalidValue, ref,
                "owner has " + std::to_string(service.owner.size()) +
                    " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  // The negated form also rejects NaN.
  if (!(service.objective > 0.0 && service.objective < 1.0)) {
    return Fail(Code::kInvalidValue, ref,
                "objective is " + std::to_string(service.objective) +
                    ", allowed is a number between 0 and 1");
  }
  if (!service.health_path.empty() && !IsPathPrefix(service.health_path)) {
    return Fail(Code::kInvalidValue, ref,
                "health_path is \"" + service.health_path + "\", allowed is a path");
  }
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const WorkKind& work) {
  ResourceRef ref{ResourceType::kWorkKind, work.name};
  if (work.deadline_ms < 1 || work.deadline_ms > kMaxDeadlineMs) {
    return Fail(Code::kInvalidValue, ref,
                "deadline_ms is " + std::to_string(work.deadline_ms) +
                    ", allowed is an integer from 1 to " + std::to_string(kMaxDeadlineMs));
  }
  if (work.importance < 0 || work.importance > kMaxImportance) {
    return Fail(Code::kInvalidValue, ref,
                "importance is " + std::to_string(work.importance) +
                    ", allowed is an integer from 0 to " + std::to_string(kMaxImportance));
  }
  if (work.attempts < 1 || work.attempts > kMaxAttempts) {
    return Fail(Code::kInvalidValue, ref,
                "attempts is " + std::to_string(work.attempts) +
                    ", allowed is an integer from 1 to " + std::to_string(kMaxAttempts));
  }
  if (work.objective_ms < 0 || work.objective_ms > kMaxDeadlineMs) {
    return Fail(Code::kInvalidValue, ref,
                "objective_ms is " + std::to_string(work.objective_ms) +
                    ", allowed is an integer from 0 to " + std::to_string(kMaxDeadlineMs));
  }
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const Route& route) {
  ResourceRef ref{ResourceType::kRoute, route.name};
  if (!IsPathPrefix(route.path_prefix)) {
    return Fail(
        Code::kInvalidValue, ref,
        "path_prefix: allowed is a path of at most 255 visible ASCII characters that starts "
        "with / and has no ? or #");
  }
  if (!IsConfigName(route.service)) {
    return Fail(Code::kInvalidValue, ref, "service: allowed is " + std::string(kNameAllowed));
  }
  if (!IsConfigName(route.work)) {
    return Fail(Code::kInvalidValue, ref, "work: allowed is " + std::string(kNameAllowed));
  }
  if (route.host.size() > kMaxHostLength) {
    return Fail(Code::kInvalidValue, ref,
                "host has " + std::to_string(route.host.size()) + " bytes, allowed are at most " +
                    std::to_string(kMaxHostLength));
  }
  if (route.shares.size() > kMaxShares) {
    return Fail(Code::kInvalidValue, ref,
                "has " + std::to_string(route.shares.size()) + " shares, allowed are at most " +
                    std::to_string(kMaxShares));
  }
  for (const RouteShare& share : route.shares) {
    if (!IsConfigName(share.service) || share.weight < 0 || share.weight > kMaxWeight) {
      return Fail(Code::kInvalidValue, ref,
                  "shares: a share has weight " + std::to_string(share.weight) +
                      "; allowed are a weight from 0 to " + std::to_string(kMaxWeight) +
                      " and, as service, " + std::string(kNameAllowed));
    }
  }
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const Workspace& workspace) {
  ResourceRef ref{ResourceType::kWorkspace, workspace.name};
  if (workspace.api_keys.size() > kMaxApiKeys) {
    return Fail(Code::kInvalidValue, ref,
                "api_keys has " + std::to_string(workspace.api_keys.size()) +
                    " keys, allowed are at most " + std::to_string(kMaxApiKeys));
  }
  for (const std::string& key : workspace.api_keys) {
    if (IsApiKey(key)) continue;
    return Fail(Code::kInvalidValue, ref,
                "api_keys: a key has " + std::to_string(key.size()) + " bytes, allowed are 1 to " +
                    std::to_string(kMaxApiKeyLength) + " visible ASCII characters");
  }
  if (workspace.importance < 0 || workspace.importance > kMaxImportance) {
    return Fail(Code::kInvalidValue, ref,
                "importance is " + std::to_string(workspace.importance) +
                    ", allowed is an integer from 0 to " + std::to_string(kMaxImportance));
  }
  if (!IsQuotaValue(workspace.rate_per_s)) {
    return Fail(Code::kInvalidValue, ref,
                "rate_per_s is " + std::to_string(workspace.rate_per_s) +
                    ", allowed is a number from 0 to 1e9");
  }
  if (!IsQuotaValue(workspace.burst)) {
    return Fail(
        Code::kInvalidValue, ref,
        "burst is " + std::to_string(workspace.burst) + ", allowed is a number from 0 to 1e9");
  }
  return {};
}

// Fails if a key belongs to two workspaces or is listed twice.
tl::expected<void, ConfigError> ValidateKeys(
    const std::map<std::string, Workspace, std::less<>>& workspaces) {
  std::map<std::string_view, std::string_view> owners;
  for (const auto& [name, workspace] : workspaces) {
    for (const std::string& key : workspace.api_keys) {
      auto [other, inserted] = owners.emplace(key, name);
      if (inserted) continue;
      // The message must not contain the key, since it is logged.
      return Fail(Code::kDuplicate, {ResourceType::kWorkspace, name},
                  "api_keys: a key is already used by workspace/" + std::string(other->second),
                  ResourceRef{ResourceType::kWorkspace, std::string(other->second)});
    }
  }
  return {};
}

std::string_view TypeName(ResourceType type) {
  switch (type) {
    case ResourceType::kService:
      return "service";
    case ResourceType::kWorkKind:
      return "work";
    case ResourceType::kRoute:
      return "route";
    case ResourceType::kWorkspace:
      return "workspace";
  }
  return "unknown";
}

tl::expected<void, ConfigError> ValidateName(const ResourceRef& ref) {
  bool is_workspace = ref.type == ResourceType::kWorkspace;
  if (is_workspace ? IsWorkspaceName(ref.name) : IsConfigName(ref.name)) return {};
  return Fail(Code::kInvalidValue, ref,
              "allowed is " + std::string(is_workspace ? kWorkspaceNameAllowed : kNameAllowed));
}

}  // namespace

ResourceRef RefOf(const Resource& resource) {
  struct Visitor {
    ResourceRef operator()(const Service& r) const { return {ResourceType::kService, r.name}; }
    ResourceRef operator()(const WorkKind& r) const { return {ResourceType::kWorkKind, r.name}; }
    ResourceRef operator()(const Route& r) const { return {ResourceType::kRoute, r.name}; }
    ResourceRef operator()(const Workspace& r) const { return {ResourceType::kWorkspace, r.name}; }
  };
  return std::visit(Visitor{}, resource);
}

std::string ToString(const ResourceRef& ref) {
  return std::string(TypeName(ref.type)) + "/" + ref.name;
}

std::string_view ToString(ConfigError::Code code) {
  switch (code) {
    case Code::kAlreadyExists:
      return "already_exists";
    case Code::kNotFound:
      return "not_found";
    case Code::kDanglingReference:
      return "dangling_reference";
    case Code::kDuplicate:
      return "duplicate";
    case Code::kInvalidValue:
      return "invalid_value";
  }
  return "unknown";
}

bool IsConfigName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

bool IsPathPrefix(std::string_view text) {
  if (text.empty() || text.front() != '/' || text.size() > kMaxPathPrefixLength) return false;
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

tl::expected<void, ConfigError> ValidateResource(const Resource& resource) {
  if (auto valid = ValidateName(RefOf(resource)); !valid) return valid;
  return std::visit([](const auto& r) { return ValidateValues(r); }, resource);
}

std::vector<ResourceRef> AffectedResources(const ReleaseNote& note) {
  std::vector<ResourceRef> refs = note.withdrawn;
  for (const Resource& resource : note.added) refs.push_back(RefOf(resource));
  for (const Resource& resource : note.changed) refs.push_back(RefOf(resource));
  std::sort(refs.begin(), refs.end());
  return refs;
}

tl::expected<void, ConfigError> ValidateNote(const ReleaseNote& note) {
  auto invalid = [](const std::string& message) {
    return tl::make_unexpected(ConfigError{Code::kInvalidValue, {}, message});
  };
  if (!IsConfigName(note.id)) {
    return invalid("id: allowed is " + std::string(kNameAllowed));
  }
  if (!IsText(note.author)) {
    return invalid("author has " + std::to_string(note.author.size()) +
                   " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  if (!IsText(note.summary)) {
    return invalid("summary has " + std::to_string(note.summary.size()) +
                   " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  std::vector<ResourceRef> affected = AffectedResources(note);
  if (affected.empty()) return invalid("the note adds, changes and withdraws nothing");
  auto twice = std::adjacent_find(affected.begin(), affected.end());
  if (twice != affected.end()) {
    return Fail(Code::kDuplicate, *twice, "named more than once in the note");
  }
  for (const auto* list : {&note.added, &note.changed}) {
    for (const Resource& resource : *list) {
      if (auto valid = ValidateResource(resource); !valid) return valid;
    }
  }
  for (const ResourceRef& ref : note.withdrawn) {
    if (auto valid = ValidateName(ref); !valid) return valid;
  }
  return {};
}

const Service* ConfigTable::FindService(std::string_view name) const {
  auto it = m_services.find(name);
  return it == m_services.end() ? nullptr : &it->second;
}

const WorkKind* ConfigTable::FindWorkKind(std::string_view name) const {
  auto it = m_work_kinds.find(name);
  return it == m_work_kinds.end() ? nullptr : &it->second;
}

const Workspace* ConfigTable::FindWorkspaceByKey(std::string_view api_key) const {
  auto name = m_workspaces_by_key.find(api_key);
  return name == m_workspaces_by_key.end() ? nullptr : &m_workspaces.find(name->second)->second;
}

// Prefixes match whole segments only, so that /manuais does not match /manuais-antigos. The
// candidates are therefore the path itself and each leading part that ends at a slash, with and
// without the slash.
const Route* ConfigTable::LongestPrefix(std::string_view host, std::string_view path) const {
  auto of_host = m_prefixes.find(host);
  if (of_host == m_prefixes.end()) return nullptr;
  const auto& prefixes = of_host->second;
  auto find = [&](std::string_view prefix) -> const Route* {
    auto it = prefixes.find(prefix);
    return it == prefixes.end() ? nullptr : &m_routes.find(it->second)->second;
  };
  if (const Route* route = find(path); route != nullptr) return route;
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    if (const Route* route = find(path.substr(0, slash + 1)); route != nullptr) return route;
    if (slash == 0) break;
    if (const Route* route = find(path.substr(0, slash)); route != nullptr) return route;
  }
  return nullptr;
}

const Route* ConfigTable::MatchRoute(std::string_view path, std::string_view host) const {
  const Route* route = host.empty() ? nullptr : LongestPrefix(host, path);
  return route != nullptr ? route : LongestPrefix("", path);
}

tl::expected<void, ConfigError> ConfigTable::Validate() const {
  for (const Resource& resource : Resources()) {
    if (auto valid = ValidateResource(resource); !valid) return valid;
  }
  std::map<std::pair<std::string_view, std::string_view>, std::string_view> prefixes;
  for (const auto& [name, route] : m_routes) {
    ResourceRef ref{ResourceType::kRoute, name};
    if (FindService(route.service) == nullptr) {
      return Fail(Code::kDanglingReference, ref, "service/" + route.service + " does not exist",
                  ResourceRef{ResourceType::kService, route.service});
    }
    if (FindWorkKind(route.work) == nullptr) {
      return Fail(Code::kDanglingReference, ref, "work/" + route.work + " does not exist",
                  ResourceRef{ResourceType::kWorkKind, route.work});
    }
    for (const RouteShare& share : route.shares) {
      if (FindService(share.service) != nullptr) continue;
      return Fail(Code::kDanglingReference, ref, "service/" + share.service + " does not exist",
                  ResourceRef{ResourceType::kService, share.service});
    }
    auto [other, inserted] = prefixes.emplace(
        std::pair<std::string_view, std::string_view>(route.host, route.path_prefix), name);
    if (!inserted) {
      return Fail(Code::kDuplicate, ref,
                  "path_prefix " + route.path_prefix + " is already used by route/" +
                      std::string(other->second),
                  ResourceRef{ResourceType::kRoute, std::string(other->second)});
    }
  }
  return ValidateKeys(m_workspaces);
}

bool ConfigTable::Contains(const ResourceRef& ref) const {
  switch (ref.type) {
    case ResourceType::kService:
      return m_services.contains(ref.name);
    case ResourceType::kWorkKind:
      return m_work_kinds.contains(ref.name);
    case ResourceType::kRoute:
      return m_routes.contains(ref.name);
    case ResourceType::kWorkspace:
      return m_workspaces.contains(ref.name);
  }
  return false;
}

void ConfigTable::Put(const Resource& resource) {
  struct Visitor {
    ConfigTable& table;
    void operator()(const Service& r) const { table.m_services[r.name] = r; }
    void operator()(const WorkKind& r) const { table.m_work_kinds[r.name] = r; }
    void operator()(const Route& r) const {
      table.Erase(RefOf(r));
      table.m_routes[r.name] = r;
      table.m_prefixes[r.host][r.path_prefix] = r.name;
    }
    void operator()(const Workspace& r) const {
      table.Erase(RefOf(r));
      table.m_workspaces[r.name] = r;
      for (const std::string& key : r.api_keys) table.m_workspaces_by_key[key] = r.name;
    }
  };
  std::visit(Visitor{*this}, resource);
}

void ConfigTable::Erase(const ResourceRef& ref) {
  switch (ref.type) {
    case ResourceType::kService:
      m_services.erase(ref.name);
      break;
    case ResourceType::kWorkKind:
      m_work_kinds.erase(ref.name);
      break;
    case ResourceType::kRoute:
      EraseRoute(ref.name);
      break;
    case ResourceType::kWorkspace:
      EraseWorkspace(ref.name);
      break;
  }
}

void ConfigTable::EraseRoute(const std::string& name) {
  auto route = m_routes.find(name);
  if (route == m_routes.end()) return;
  auto& prefixes = m_prefixes[route->second.host];
  auto prefix = prefixes.find(route->second.path_prefix);
  // Another route of the same note may already have taken over the prefix.
  if (prefix != prefixes.end() && prefix->second == name) prefixes.erase(prefix);
  if (prefixes.empty()) m_prefixes.erase(route->second.host);
  m_routes.erase(route);
}

void ConfigTable::EraseWorkspace(const std::string& name) {
  auto workspace = m_workspaces.find(name);
  if (workspace == m_workspaces.end()) return;
  for (const std::string& key : workspace->second.api_keys) {
    auto owner = m_workspaces_by_key.find(key);
    // Another workspace of the same note may already have taken over the key.
    if (owner != m_workspaces_by_key.end() && owner->second == name) {
      m_workspaces_by_key.erase(owner);
    }
  }
  m_workspaces.erase(workspace);
}

tl::expected<ConfigTable, ConfigError> ConfigTable::Apply(const ReleaseNote& note) const {
  if (auto valid = ValidateNote(note); !valid) return tl::make_unexpected(valid.error());
  ConfigTable next = SkipVersion();
  for (const Resource& resource : note.added) {
    ResourceRef ref = RefOf(resource);
    if (Contains(ref)) return Fail(Code::kAlreadyExists, ref, "added, but already exists");
    next.Put(resource);
  }
  for (const Resource& resource : note.changed) {
    ResourceRef ref = RefOf(resource);
    if (!Contains(ref)) return Fail(Code::kNotFound, ref, "changed, but does not exist");
    next.Put(resource);
  }
  for (const ResourceRef& ref : note.withdrawn) {
    if (!Contains(ref)) return Fail(Code::kNotFound, ref, "withdrawn, but does not exist");
    next.Erase(ref);
  }
  if (auto valid = next.Validate(); !valid) return tl::make_unexpected(valid.error());
  return next;
}

ReleaseNote ConfigTable::ChangeSince(const ConfigTable& before) const {
  ReleaseNote note;
  note.id = "from-" + std::to_string(before.version()) + "-to-" + std::to_string(version());
  auto compare = [&note](const auto& old_map, const auto& new_map, ResourceType type) {
    for (const auto& [name, resource] : new_map) {
      auto it = old_map.find(name);
      if (it == old_map.end()) {
        note.added.emplace_back(resource);
      } else if (!(it->second == resource)) {
        note.changed.emplace_back(resource);
      }
    }
    for (const auto& [name, resource] : old_map) {
      if (!new_map.contains(name)) note.withdrawn.push_back({type, name});
    }
  };
  compare(before.m_services, m_services, ResourceType::kService);
  compare(before.m_work_kinds, m_work_kinds, ResourceType::kWorkKind);
  compare(before.m_routes, m_routes, ResourceType::kRoute);
  compare(before.m_workspaces, m_workspaces, ResourceType::kWorkspace);
  return note;
}

ConfigTable ConfigTable::AtVersion(uint64_t version) const {
  ConfigTable table = *this;
  table.m_version = version;
  return table;
}

ConfigTable ConfigTable::SkipVersion() const {
  ConfigTable next = *this;
  ++next.m_version;
  return next;
}

tl::expected<ConfigTable, ConfigError> ConfigTable::FromResources(
    uint64_t version, const std::vector<Resource>& resources) {
  ConfigTable table;
  table.m_version = version;
  for (const Resource& resource : resources) {
    ResourceRef ref = RefOf(resource);
    if (table.Contains(ref)) return Fail(Code::kDuplicate, ref, "listed more than once");
    table.Put(resource);
  }
  if (auto valid = table.Validate(); !valid) return tl::make_unexpected(valid.error());
  return table;
}

std::vector<Resource> ConfigTable::Resources() const {
  std::vector<Resource> resources;
  resources.reserve(m_services.size() + m_work_kinds.size() + m_routes.size() +
                    m_workspaces.size());
  for (const auto& [name, service] : m_services) resources.emplace_back(service);
  for (const auto& [name, work] : m_work_kinds) resources.emplace_back(work);
  for (const auto& [name, route] : m_routes) resources.emplace_back(route);
  for (const auto& [name, workspace] : m_workspaces) resources.emplace_back(workspace);
  return resources;
}

}  // namespace guavatrail
