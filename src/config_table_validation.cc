// Implements the checks of resources, notes and tables.
#include <algorithm>
#include <cmath>

#include "config_table.h"
#include "http_headers.h"

namespace guavatrail {

namespace {

using Code = ConfigError::Code;

constexpr std::string_view kNameAllowed = "a name of 1 to 63 characters a-z, 0-9 and -";
constexpr std::string_view kHeaderNameAllowed =
    "a name of 1 to 255 bytes without control characters that neither begins nor ends with a space";

constexpr std::string_view kWorkspaceNameAllowed =
    "a name of 1 to 63 characters a-z, A-Z, 0-9, ., _ and -";

bool IsText(std::string_view text) { return text.size() <= kMaxTextLength; }

// Weights count relative to each other only, so that their size is not limited.
bool IsWeight(double weight) { return std::isfinite(weight) && weight >= 0; }

tl::expected<void, ConfigError> ValidateRange(const ResourceRef& ref, const std::string& field,
                                              int64_t value, int64_t min, int64_t max) {
  if (value >= min && value <= max) return {};
  return MakeConfigError(Code::kInvalidValue, ref,
                         field + " is " + std::to_string(value) + ", allowed is an integer from " +
                             std::to_string(min) + " to " + std::to_string(max));
}

tl::expected<void, ConfigError> ValidateValues(const Service& service) {
  ResourceRef ref{ResourceType::kService, service.name};
  if (!IsText(service.owner)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "owner has " + std::to_string(service.owner.size()) +
                               " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  // The negated form also rejects NaN.
  if (!(service.objective > 0.0 && service.objective < 1.0)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "objective is " + std::to_string(service.objective) +
                               ", allowed is a number between 0 and 1");
  }
  if (!service.health_path.empty() && !IsPathPrefix(service.health_path)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "health_path is \"" + service.health_path + "\", allowed is a path");
  }
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const WorkKind& work) {
  ResourceRef ref{ResourceType::kWorkKind, work.name};
  if (auto valid = ValidateRange(ref, "deadline_ms", work.deadline_ms, 1, kMaxDeadlineMs); !valid)
    return valid;
  if (auto valid = ValidateRange(ref, "importance", work.importance, 0, kMaxImportance); !valid)
    return valid;
  if (auto valid = ValidateRange(ref, "attempts", work.attempts, 1, kMaxAttempts); !valid)
    return valid;
  if (auto valid = ValidateRange(ref, "objective_ms", work.objective_ms, 0, kMaxDeadlineMs); !valid)
    return valid;
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const Route& route) {
  ResourceRef ref{ResourceType::kRoute, route.name};
  if (!CanBeginPath(route.path_prefix) || route.path_prefix.size() > kMaxTablePrefixLength) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "path_prefix: allowed is a path of at most " +
                               std::to_string(kMaxTablePrefixLength) +
                               " bytes that starts with / and has no space, ? or #");
  }
  if (!IsHeaderName(route.service)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "service: allowed is " + std::string(kHeaderNameAllowed));
  }
  if (!IsConfigName(route.work)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "work: allowed is " + std::string(kNameAllowed));
  }
  if (route.host.size() > kMaxHostLength) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "host has " + std::to_string(route.host.size()) +
                               " bytes, allowed are at most " + std::to_string(kMaxHostLength));
  }
  if (route.shares.size() > kMaxShares) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "has " + std::to_string(route.shares.size()) +
                               " shares, allowed are at most " + std::to_string(kMaxShares));
  }
  if (route.label.size() > kMaxLabelLength) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "label has " + std::to_string(route.label.size()) +
                               " bytes, allowed are at most " + std::to_string(kMaxLabelLength));
  }
  for (const RouteShare& share : route.shares) {
    if (!IsHeaderName(share.service) || !IsWeight(share.weight)) {
      return MakeConfigError(Code::kInvalidValue, ref,
                             "shares: a share has weight " + std::to_string(share.weight) +
                                 "; allowed are a number from 0 on and, as service, " +
                                 std::string(kHeaderNameAllowed));
    }
  }
  return {};
}

tl::expected<void, ConfigError> ValidateValues(const Workspace& workspace) {
  ResourceRef ref{ResourceType::kWorkspace, workspace.name};
  if (workspace.api_keys.size() > kMaxApiKeys) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "api_keys has " + std::to_string(workspace.api_keys.size()) +
                               " keys, allowed are at most " + std::to_string(kMaxApiKeys));
  }
  for (const std::string& key : workspace.api_keys) {
    if (CanBePresented(key)) continue;
    return MakeConfigError(Code::kInvalidValue, ref,
                           "api_keys: a key has " + std::to_string(key.size()) +
                               " bytes, allowed are 1 to " + std::to_string(kMaxTableKeyLength) +
                               " that a header can carry unchanged");
  }
  if (auto valid = ValidateRange(ref, "importance", workspace.importance, 0, kMaxImportance);
      !valid)
    return valid;
  if (!IsQuotaValue(workspace.rate_per_s)) {
    return MakeConfigError(Code::kInvalidValue, ref,
                           "rate_per_s is " + std::to_string(workspace.rate_per_s) +
                               ", allowed is a number from 0 to 1e9");
  }
  if (!IsQuotaValue(workspace.burst)) {
    return MakeConfigError(
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
      return MakeConfigError(
          Code::kDuplicate, {ResourceType::kWorkspace, name},
          "api_keys: a key is already used by workspace/" + std::string(other->second),
          ResourceRef{ResourceType::kWorkspace, std::string(other->second)});
    }
  }
  return {};
}

// Names of services and workspaces are sent in headers; the others are identifiers.
tl::expected<void, ConfigError> ValidateName(const ResourceRef& ref) {
  bool is_in_header = ref.type == ResourceType::kService || ref.type == ResourceType::kWorkspace;
  if (is_in_header ? IsHeaderName(ref.name) : IsConfigName(ref.name)) return {};
  return MakeConfigError(
      Code::kInvalidValue, ref,
      "allowed is " + std::string(is_in_header ? kHeaderNameAllowed : kNameAllowed));
}

tl::expected<void, ConfigError> ValidateNoteName(const ResourceRef& ref) {
  bool is_workspace = ref.type == ResourceType::kWorkspace;
  if (is_workspace ? IsWorkspaceName(ref.name) : IsConfigName(ref.name)) return {};
  return MakeConfigError(
      Code::kInvalidValue, ref,
      "allowed is " + std::string(is_workspace ? kWorkspaceNameAllowed : kNameAllowed));
}

// The rules that a resource of a note must meet beyond those of a table.
tl::expected<void, ConfigError> ValidateNoteValues(const Resource& resource) {
  struct Visitor {
    bool operator()(const Service&) const { return true; }
    bool operator()(const WorkKind&) const { return true; }
    bool operator()(const Route& r) const {
      bool has_names = std::all_of(r.shares.begin(), r.shares.end(), [](const RouteShare& share) {
        return IsConfigName(share.service) && share.weight <= kMaxWeight;
      });
      return has_names && r.shares.size() <= kMaxNoteShares && IsConfigName(r.service) &&
             IsPathPrefix(r.path_prefix) && r.label.empty();
    }
    bool operator()(const Workspace& r) const {
      return r.api_keys.size() <= kMaxNoteApiKeys &&
             std::all_of(r.api_keys.begin(), r.api_keys.end(), IsApiKey);
    }
  };
  ResourceRef ref = RefOf(resource);
  if (auto valid = ValidateNoteName(ref); !valid) return valid;
  if (std::visit(Visitor{}, resource)) return {};
  return MakeConfigError(Code::kInvalidValue, ref,
                         "allowed are services with " + std::string(kNameAllowed) + ", at most " +
                             std::to_string(kMaxNoteShares) + " shares with weights up to " +
                             std::to_string(kMaxWeight) + ", a path_prefix of at most " +
                             std::to_string(kMaxPathPrefixLength) +
                             " visible ASCII characters, and at most " +
                             std::to_string(kMaxNoteApiKeys) + " keys of at most " +
                             std::to_string(kMaxApiKeyLength) + " such characters");
}

}  // namespace

bool IsConfigName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

bool IsHeaderName(std::string_view text) {
  return text.size() <= kMaxHeaderNameLength && IsFieldValue(text);
}

bool CanBeginPath(std::string_view text) {
  return IsFieldValue(text) && text.front() == '/' &&
         text.find_first_of(" ?#") == std::string_view::npos;
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

tl::expected<void, ConfigError> ValidateChange(const ReleaseNote& change) {
  auto invalid = [](const std::string& message) {
    return tl::make_unexpected(ConfigError{Code::kInvalidValue, {}, message});
  };
  if (!IsConfigName(change.id)) {
    return invalid("id: allowed is " + std::string(kNameAllowed));
  }
  if (!IsText(change.author)) {
    return invalid("author has " + std::to_string(change.author.size()) +
                   " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  if (!IsText(change.summary)) {
    return invalid("summary has " + std::to_string(change.summary.size()) +
                   " bytes, allowed are at most " + std::to_string(kMaxTextLength));
  }
  std::vector<ResourceRef> affected = AffectedResources(change);
  if (affected.empty() && !change.requires_api_keys) {
    return invalid("the note adds, changes and withdraws nothing");
  }
  auto twice = std::adjacent_find(affected.begin(), affected.end());
  if (twice != affected.end()) {
    return MakeConfigError(Code::kDuplicate, *twice, "named more than once in the note");
  }
  for (const auto* list : {&change.added, &change.changed}) {
    for (const Resource& resource : *list) {
      if (auto valid = ValidateResource(resource); !valid) return valid;
    }
  }
  for (const ResourceRef& ref : change.withdrawn) {
    if (auto valid = ValidateName(ref); !valid) return valid;
  }
  return {};
}

tl::expected<void, ConfigError> ValidateNote(const ReleaseNote& note) {
  if (auto valid = ValidateChange(note); !valid) return valid;
  for (const auto* list : {&note.added, &note.changed}) {
    for (const Resource& resource : *list) {
      if (auto valid = ValidateNoteValues(resource); !valid) return valid;
    }
  }
  for (const ResourceRef& ref : note.withdrawn) {
    if (auto valid = ValidateNoteName(ref); !valid) return valid;
  }
  return {};
}

tl::expected<void, ConfigError> ConfigTable::Validate() const {
  for (const Resource& resource : Resources()) {
    if (auto valid = ValidateResource(resource); !valid) return valid;
  }
  std::map<std::pair<std::string_view, std::string_view>, std::string_view> prefixes;
  for (const auto& [name, route] : m_routes) {
    ResourceRef ref{ResourceType::kRoute, name};
    if (FindService(route.service) == nullptr) {
      return MakeConfigError(Code::kDanglingReference, ref,
                             "service/" + route.service + " does not exist",
                             ResourceRef{ResourceType::kService, route.service});
    }
    if (FindWorkKind(route.work) == nullptr) {
      return MakeConfigError(Code::kDanglingReference, ref,
                             "work/" + route.work + " does not exist",
                             ResourceRef{ResourceType::kWorkKind, route.work});
    }
    for (const RouteShare& share : route.shares) {
      if (FindService(share.service) != nullptr) continue;
      return MakeConfigError(Code::kDanglingReference, ref,
                             "service/" + share.service + " does not exist",
                             ResourceRef{ResourceType::kService, share.service});
    }
    auto [other, inserted] = prefixes.emplace(
        std::pair<std::string_view, std::string_view>(route.host, route.path_prefix), name);
    if (!inserted) {
      return MakeConfigError(Code::kDuplicate, ref,
                             "path_prefix " + route.path_prefix + " is already used by route/" +
                                 std::string(other->second),
                             ResourceRef{ResourceType::kRoute, std::string(other->second)});
    }
  }
  if (!m_requires_api_keys && !m_workspaces.empty()) {
    return MakeConfigError(
        Code::kInvalidValue, {ResourceType::kWorkspace, m_workspaces.begin()->first},
        "requires_api_keys is false, allowed is true while there are workspaces");
  }
  return ValidateKeys(m_workspaces);
}

}  // namespace guavatrail
