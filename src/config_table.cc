#include "config_table.h"

#include <algorithm>

#include "http_headers.h"

namespace guavatrail {

namespace {

using Code = ConfigError::Code;

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

tl::unexpected<ConfigError> MakeConfigError(ConfigError::Code code, const ResourceRef& resource,
                                            std::string_view problem,
                                            std::optional<ResourceRef> related) {
  return tl::make_unexpected(ConfigError{
      code, resource, ToString(resource) + ": " + std::string(problem), std::move(related)});
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

std::vector<ResourceRef> AffectedResources(const ReleaseNote& note) {
  std::vector<ResourceRef> refs = note.withdrawn;
  for (const Resource& resource : note.added) refs.push_back(RefOf(resource));
  for (const Resource& resource : note.changed) refs.push_back(RefOf(resource));
  std::sort(refs.begin(), refs.end());
  return refs;
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

const Route* ConfigTable::MatchRoute(std::string_view path, std::string_view authority) const {
  if (const Route* route = LongestPrefix(authority, path); route != nullptr) return route;
  std::string_view host = HostWithoutPort(authority);
  const Route* route = host == authority ? nullptr : LongestPrefix(host, path);
  return route != nullptr ? route : LongestPrefix("", path);
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
  return ApplyChange(note);
}

tl::expected<ConfigTable, ConfigError> ConfigTable::ApplyChange(const ReleaseNote& change) const {
  if (auto valid = ValidateChange(change); !valid) return tl::make_unexpected(valid.error());
  ConfigTable next = SkipVersion();
  for (const Resource& resource : change.added) {
    ResourceRef ref = RefOf(resource);
    if (Contains(ref))
      return MakeConfigError(Code::kAlreadyExists, ref, "added, but already exists");
    next.Put(resource);
  }
  for (const Resource& resource : change.changed) {
    ResourceRef ref = RefOf(resource);
    if (!Contains(ref)) return MakeConfigError(Code::kNotFound, ref, "changed, but does not exist");
    next.Put(resource);
  }
  for (const ResourceRef& ref : change.withdrawn) {
    if (!Contains(ref))
      return MakeConfigError(Code::kNotFound, ref, "withdrawn, but does not exist");
    next.Erase(ref);
  }
  next.m_requires_api_keys =
      change.requires_api_keys.value_or(m_requires_api_keys || !next.m_workspaces.empty());
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
  bool implied = before.m_requires_api_keys || !m_workspaces.empty();
  if (m_requires_api_keys != implied) note.requires_api_keys = m_requires_api_keys;
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
    if (table.Contains(ref)) return MakeConfigError(Code::kDuplicate, ref, "listed more than once");
    table.Put(resource);
  }
  table.m_requires_api_keys = !table.m_workspaces.empty();
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
