#include "caller_identity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "percent_encoding.h"

namespace guavatrail {

namespace {

constexpr std::string_view kImportance = ";importance=";
constexpr std::string_view kWeight = ";weight=";
constexpr char kUnknownWorkspace[] = "unknown";

// Removes `name` and the number that follows from the start of `text`; a negative value if there is
// no such number.
int64_t TakeNumber(std::string_view& text, std::string_view name) {
  if (!text.starts_with(name)) return -1;
  int64_t value = -1;
  const char* begin = text.data() + name.size();
  auto [end, error] = std::from_chars(begin, text.data() + text.size(), value);
  if (error != std::errc()) return -1;
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return value;
}

}  // namespace

std::string_view ToString(IdentityError error) {
  switch (error) {
    case IdentityError::kNoKey:
      return "no_api_key";
    case IdentityError::kUnknownKey:
      return "unknown_api_key";
    case IdentityError::kSeveralKeys:
      return "several_api_keys";
  }
  return "unknown_api_key";
}

tl::expected<const Workspace*, IdentityError> IdentifyCaller(const ConfigTable& table,
                                                             const Route& route,
                                                             const HeaderList& headers,
                                                             std::string_view api_key_header) {
  if (!table.requires_api_keys()) return nullptr;
  auto is_key = [&](const auto& header) { return IsSameHeaderName(header.first, api_key_header); };
  auto key = std::find_if(headers.begin(), headers.end(), is_key);
  const Workspace* workspace =
      key == headers.end() ? nullptr : table.FindWorkspaceByKey(key->second);
  // Of two keys, another reader of the request might see the other one.
  bool has_several = key != headers.end() && std::any_of(key + 1, headers.end(), is_key);
  if (route.is_public) return has_several ? nullptr : workspace;
  if (has_several) return tl::make_unexpected(IdentityError::kSeveralKeys);
  if (key == headers.end()) return tl::make_unexpected(IdentityError::kNoKey);
  if (workspace == nullptr) return tl::make_unexpected(IdentityError::kUnknownKey);
  return workspace;
}

WorkspaceTag TagOf(const Workspace* workspace) {
  if (workspace == nullptr) return {};
  double weight = workspace->rate_per_s > 0 ? workspace->rate_per_s : 1;
  return {workspace->name, workspace->importance, weight};
}

std::string FormatWorkspaceTag(const WorkspaceTag& tag) {
  auto weight = std::max<int64_t>(1, std::llround(tag.weight));
  return PercentEncode(tag.name) + std::string(kImportance) + std::to_string(tag.importance) +
         std::string(kWeight) + std::to_string(weight);
}

WorkspaceTag ParseWorkspaceTag(std::string_view text) {
  std::string_view encoded = text.substr(0, text.find(';'));
  text.remove_prefix(encoded.size());
  std::string name = PercentDecode(encoded);
  int64_t importance = TakeNumber(text, kImportance);
  int64_t weight = TakeNumber(text, kWeight);
  bool is_valid = IsHeaderName(name) && PercentEncode(name) == encoded && importance >= 0 &&
                  importance <= kMaxImportance && weight > 0 && text.empty();
  if (!is_valid) return {};
  return {std::move(name), static_cast<int>(importance), static_cast<double>(weight)};
}

WorkspaceTag WorkspaceTagIn(const HeaderList& headers) {
  const std::string* text = FindHeader(headers, kWorkspaceHeader);
  if (text == nullptr) return {};
  WorkspaceTag tag = ParseWorkspaceTag(*text);
  if (tag.name.empty()) tag.name = kUnknownWorkspace;
  return tag;
}

}  // namespace guavatrail
