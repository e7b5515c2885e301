#include "release_note.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "toml_value.h"

namespace guavatrail {

namespace {

constexpr std::string_view kNameAllowed = "a name of 1 to 63 characters a-z, 0-9 and -";
constexpr std::string_view kWorkspaceNameAllowed =
    "a name of 1 to 63 characters a-z, A-Z, 0-9, ., _ and -";
constexpr std::string_view kTextAllowed = "text of at most 1000 bytes";
constexpr std::string_view kPathAllowed =
    "a path of at most 255 visible ASCII characters that starts with \"/\" and has no \"?\" or "
    "\"#\"";
constexpr std::string_view kTypeAllowed = "one of \"service\" \"work\" \"route\" \"workspace\"";
constexpr std::string_view kHostAllowed =
    "a host name of at most 253 characters a-z, 0-9, - and ., or nothing";
constexpr std::string_view kArrayAllowed = "an array of tables";
constexpr std::string_view kApiKeysAllowed =
    "an array of texts of 1 to 255 visible ASCII characters";
constexpr std::string_view kQuotaAllowed = "a number from 0 to 1e9";

bool IsText(std::string_view text) { return text.size() <= kMaxTextLength; }

bool IsHost(std::string_view text) {
  return text.size() <= kMaxHostLength && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
         });
}

// Reads the keys of one TOML table and keeps the first error. Finish() reports keys that were not
// read as unknown.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string_view prefix, std::string_view file)
      : m_table(table), m_prefix(prefix), m_file(file) {}

  template <typename Allows>
  void Text(std::string_view key, std::string& out, std::string_view allowed, Allows allows) {
    const toml::node* node = Get(key, true, allowed);
    if (node == nullptr) return;
    auto value = node->value_exact<std::string>();
    if (!value || !allows(*value)) return Refuse(key, *node, allowed);
    out = std::move(*value);
  }

  // Leaves `out` unchanged when the key is absent.
  template <typename Allows>
  void OptionalText(std::string_view key, std::string& out, std::string_view allowed,
                    Allows allows) {
    if (m_table.contains(key)) {
      Text(key, out, allowed, allows);
    } else {
      m_known.emplace_back(key);
    }
  }

  template <typename Integer>
  void Number(std::string_view key, bool required, int64_t min, int64_t max, Integer& out) {
    std::string allowed = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const toml::node* node = Get(key, required, allowed);
    if (node == nullptr) return;
    auto value = node->value_exact<int64_t>();
    if (!value || *value < min || *value > max) return Refuse(key, *node, allowed);
    out = static_cast<Integer>(*value);
  }

  void Fraction(std::string_view key, double& out) {
    constexpr std::string_view kAllowed = "a number between 0 and 1";
    const toml::node* node = Get(key, false, kAllowed);
    if (node == nullptr) return;
    auto value = node->value<double>();
    if (!value || !(*value > 0.0 && *value < 1.0)) return Refuse(key, *node, kAllowed);
    out = *value;
  }

  void Flag(std::string_view key, bool& out, bool required = true) {
    constexpr std::string_view kAllowed = "true or false";
    const toml::node* node = Get(key, required, kAllowed);
    if (node == nullptr) return;
    auto value = node->value_exact<bool>();
    if (!value) return Refuse(key, *node, kAllowed);
    out = *value;
  }

  // Leaves `out` unchanged when the key is absent.
  void OptionalFlag(std::string_view key, std::optional<bool>& out) {
    bool value = false;
    Flag(key, value, false);
    if (m_table.contains(key)) out = value;
  }

  // A rate or a burst. Leaves `out` unchanged when the key is absent.
  void QuotaValue(std::string_view key, double& out) {
    const toml::node* node = Get(key, false, kQuotaAllowed);
    if (node == nullptr) return;
    auto value = node->value<double>();
    if (!value || !IsQuotaValue(*value)) return Refuse(key, *node, kQuotaAllowed);
    out = *value;
  }

  void ApiKeys(std::string_view key, std::vector<std::string>& out) {
    const toml::node* node = Get(key, true, kApiKeysAllowed);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) return Refuse(key, *node, kApiKeysAllowed);
    for (const toml::node& element : *array) {
      auto value = element.value_exact<std::string>();
      if (!value || !IsApiKey(*value)) return Refuse(key, element, kApiKeysAllowed);
      out.push_back(std::move(*value));
    }
  }

  // Sets `is_first` to whether the value is `first` rather than `second`. Leaves it unchanged when
  // the key is absent.
  void OneOfTwo(std::string_view key, std::string_view first, std::string_view second,
                bool& is_first) {
    std::string allowed = "one of \"" + std::string(first) + "\" \"" + std::string(second) + "\"";
    const toml::node* node = Get(key, false, allowed);
    if (node == nullptr) return;
    auto value = node->value_exact<std::string>();
    if (!value || (*value != first && *value != second)) return Refuse(key, *node, allowed);
    is_first = *value == first;
  }

  // The tables of an optional array of tables.
  std::vector<const toml::table*> Tables(std::string_view key) {
    std::vector<const toml::table*> tables;
    const toml::node* node = Get(key, false, kArrayAllowed);
    if (node == nullptr) return tables;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Refuse(key, *node, kArrayAllowed);
      return tables;
    }
    for (const toml::node& element : *array) {
      if (element.is_table()) {
        tables.push_back(element.as_table());
      } else {
        Refuse(key, element, kArrayAllowed);
      }
    }
    return tables;
  }

  void Fail(int64_t line, const std::string& text) {
    if (!m_error) m_error = NoteError{m_file + ":" + std::to_string(line) + ": " + text};
  }

  // Records an error of a nested table.
  void AddNestedError(const NoteError& error) {
    if (!m_error) m_error = error;
  }

  const std::string& file() const { return m_file; }

  std::optional<NoteError> Finish() {
    for (const auto& [key, node] : m_table) {
      if (std::find(m_known.begin(), m_known.end(), key.str()) != m_known.end()) continue;
      std::string allowed;
      for (const std::string& known : m_known) allowed += (allowed.empty() ? "" : ", ") + known;
      Fail(key.source().begin.line,
           "unknown key " + m_prefix + std::string(key.str()) + ", allowed are " + allowed);
    }
    return m_error;
  }

 private:
  const toml::node* Get(std::string_view key, bool required, std::string_view allowed) {
    m_known.emplace_back(key);
    const toml::node* node = m_table.get(key);
    if (node == nullptr && required) {
      Fail(std::max<int64_t>(1, m_table.source().begin.line),
           m_prefix + std::string(key) + ": missing, required is " + std::string(allowed));
    }
    return node;
  }

  void Refuse(std::string_view key, const toml::node& node, std::string_view allowed) {
    Fail(node.source().begin.line, m_prefix + std::string(key) + ": found " +
                                       DescribeTomlValue(node) + ", allowed is " +
                                       std::string(allowed));
  }

  const toml::table& m_table;
  std::string m_prefix;
  std::string m_file;
  std::vector<std::string> m_known;
  std::optional<NoteError> m_error;
};

Service ReadService(TableReader& reader) {
  Service service;
  reader.Text("name", service.name, kNameAllowed, IsConfigName);
  reader.Text("owner", service.owner, kTextAllowed, IsText);
  reader.Fraction("objective", service.objective);
  return service;
}

WorkKind ReadWorkKind(TableReader& reader) {
  WorkKind work;
  bool key_required = true;
  reader.Text("name", work.name, kNameAllowed, IsConfigName);
  reader.Number("deadline_ms", true, 1, kMaxDeadlineMs, work.deadline_ms);
  reader.Flag("idempotent", work.idempotent);
  reader.Number("importance", false, 0, kMaxImportance, work.importance);
  reader.OneOfTwo("length", "short", "long", work.is_short);
  reader.OneOfTwo("key", "required", "per_request", key_required);
  work.key = key_required ? KeyMode::kRequired : KeyMode::kPerRequest;
  reader.Number("attempts", false, 1, kMaxAttempts, work.attempts);
  reader.Number("objective_ms", false, 0, kMaxDeadlineMs, work.objective_ms);
  return work;
}

Route ReadRoute(TableReader& reader) {
  Route route;
  reader.Text("name", route.name, kNameAllowed, IsConfigName);
  reader.Text("path_prefix", route.path_prefix, kPathAllowed, IsPathPrefix);
  reader.Text("service", route.service, kNameAllowed, IsConfigName);
  reader.Text("work", route.work, kNameAllowed, IsConfigName);
  reader.OptionalText("host", route.host, kHostAllowed, IsHost);
  reader.Flag("public", route.is_public, false);
  for (const toml::table* table : reader.Tables("shares")) {
    TableReader share_reader(*table, "shares.", reader.file());
    RouteShare share;
    share_reader.Text("service", share.service, kNameAllowed, IsConfigName);
    share_reader.Number("weight", true, 0, kMaxWeight, share.weight);
    if (auto error = share_reader.Finish()) reader.AddNestedError(*error);
    route.shares.push_back(std::move(share));
  }
  return route;
}

Workspace ReadWorkspace(TableReader& reader) {
  Workspace workspace;
  reader.Text("name", workspace.name, kWorkspaceNameAllowed, IsWorkspaceName);
  reader.ApiKeys("api_keys", workspace.api_keys);
  reader.Number("importance", false, 0, kMaxImportance, workspace.importance);
  reader.QuotaValue("rate_per_s", workspace.rate_per_s);
  reader.QuotaValue("burst", workspace.burst);
  return workspace;
}

std::optional<ResourceType> TypeOf(std::string_view text) {
  if (text == "service") return ResourceType::kService;
  if (text == "work") return ResourceType::kWorkKind;
  if (text == "route") return ResourceType::kRoute;
  if (text == "workspace") return ResourceType::kWorkspace;
  return std::nullopt;
}

std::optional<ResourceType> ReadType(TableReader& reader) {
  std::string type;
  reader.Text("type", type, kTypeAllowed, [](std::string_view t) { return TypeOf(t).has_value(); });
  return TypeOf(type);
}

tl::expected<Resource, NoteError> ReadResource(const toml::table& table, std::string_view prefix,
                                               std::string_view file) {
  TableReader reader(table, prefix, file);
  std::optional<ResourceType> type = ReadType(reader);
  Resource resource;
  if (type == ResourceType::kService) {
    resource = ReadService(reader);
  } else if (type == ResourceType::kWorkKind) {
    resource = ReadWorkKind(reader);
  } else if (type == ResourceType::kRoute) {
    resource = ReadRoute(reader);
  } else if (type == ResourceType::kWorkspace) {
    resource = ReadWorkspace(reader);
  }
  if (auto error = reader.Finish()) return tl::make_unexpected(*error);
  return resource;
}

tl::expected<ResourceRef, NoteError> ReadWithdrawn(const toml::table& table,
                                                   std::string_view file) {
  TableReader reader(table, "withdraw.", file);
  std::optional<ResourceType> type = ReadType(reader);
  ResourceRef ref;
  if (type == ResourceType::kWorkspace) {
    reader.Text("name", ref.name, kWorkspaceNameAllowed, IsWorkspaceName);
  } else {
    reader.Text("name", ref.name, kNameAllowed, IsConfigName);
  }
  if (auto error = reader.Finish()) return tl::make_unexpected(*error);
  ref.type = *type;
  return ref;
}

tl::expected<ReleaseNote, NoteError> ReadNote(const toml::table& root, std::string_view file) {
  ReleaseNote note;
  TableReader reader(root, "", file);
  reader.Text("id", note.id, kNameAllowed, IsConfigName);
  reader.Text("author", note.author, kTextAllowed, IsText);
  reader.Text("summary", note.summary, kTextAllowed, IsText);
  reader.OptionalFlag("requires_api_keys", note.requires_api_keys);
  auto added = reader.Tables("add");
  auto changed = reader.Tables("change");
  auto withdrawn = reader.Tables("withdraw");
  if (auto error = reader.Finish()) return tl::make_unexpected(*error);
  for (const toml::table* table : added) {
    auto resource = ReadResource(*table, "add.", file);
    if (!resource) return tl::make_unexpected(resource.error());
    note.added.push_back(std::move(*resource));
  }
  for (const toml::table* table : changed) {
    auto resource = ReadResource(*table, "change.", file);
    if (!resource) return tl::make_unexpected(resource.error());
    note.changed.push_back(std::move(*resource));
  }
  for (const toml::table* table : withdrawn) {
    auto ref = ReadWithdrawn(*table, file);
    if (!ref) return tl::make_unexpected(ref.error());
    note.withdrawn.push_back(std::move(*ref));
  }
  return note;
}

}  // namespace

tl::expected<ReleaseNote, NoteError> ParseReleaseNote(std::string_view text,
                                                      std::string_view file) {
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    return tl::make_unexpected(NoteError{std::string(file) + ":" +
                                         std::to_string(error.source().begin.line) + ": " +
                                         std::string(error.description())});
  }
  auto note = ReadNote(root, file);
  if (!note) return note;
  if (auto valid = ValidateNote(*note); !valid) {
    return tl::make_unexpected(NoteError{std::string(file) + ":1: " + valid.error().message});
  }
  return note;
}

tl::expected<ReleaseNote, NoteError> LoadReleaseNote(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return tl::make_unexpected(NoteError{path + ": cannot be read"});
  std::ostringstream text;
  text << in.rdbuf();
  return ParseReleaseNote(text.str(), path);
}

}  // namespace guavatrail
