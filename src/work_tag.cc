#include "work_tag.h"

#include <vector>

#include "config_table.h"

namespace guavatrail {

namespace {

constexpr std::string_view kImportance = "importance=";
constexpr size_t kFieldCount = 4;

std::string_view ModeName(RunMode mode) {
  switch (mode) {
    case RunMode::kRepeatable:
      return "repeatable";
    case RunMode::kOnce:
      return "once";
    case RunMode::kKeyed:
      return "keyed";
  }
  return "once";
}

std::optional<RunMode> ParseMode(std::string_view text) {
  for (RunMode mode : {RunMode::kRepeatable, RunMode::kOnce, RunMode::kKeyed}) {
    if (text == ModeName(mode)) return mode;
  }
  return std::nullopt;
}

std::vector<std::string_view> SplitFields(std::string_view text) {
  std::vector<std::string_view> fields;
  for (size_t end = text.find(';'); end != std::string_view::npos; end = text.find(';')) {
    fields.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  fields.push_back(text);
  return fields;
}

}  // namespace

std::string FormatWorkTag(const WorkTag& tag) {
  std::string text = tag.name + ";" + std::string(kImportance) + std::to_string(tag.importance);
  text.append(tag.is_short ? ";short;" : ";long;").append(ModeName(tag.mode));
  return text;
}

std::optional<WorkTag> ParseWorkTag(std::string_view text) {
  std::vector<std::string_view> fields = SplitFields(text);
  if (fields.size() != kFieldCount || !IsConfigName(fields[0])) return std::nullopt;
  std::string_view importance = fields[1];
  if (!importance.starts_with(kImportance)) return std::nullopt;
  importance.remove_prefix(kImportance.size());
  if (importance.size() != 1 || importance[0] < '0' || importance[0] > '3') return std::nullopt;
  if (fields[2] != "short" && fields[2] != "long") return std::nullopt;
  std::optional<RunMode> mode = ParseMode(fields[3]);
  if (!mode) return std::nullopt;
  return WorkTag{std::string(fields[0]), importance[0] - '0', fields[2] == "short", *mode};
}

}  // namespace guavatrail
