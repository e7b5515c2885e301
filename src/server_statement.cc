#include "server_statement.h"

#include <sstream>

#include "parse_number.h"
#include "server_notice.h"

namespace guavatrail {

namespace {

constexpr std::string_view kLeaving = "leaving=1;";

// Removes the field `name` with its value, up to ";", from the start of `text`, and returns the
// value; nullopt if the text begins otherwise.
std::optional<std::string_view> TakeField(std::string_view& text, std::string_view name) {
  if (!text.starts_with(name)) return std::nullopt;
  size_t end = text.find(';');
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view value = text.substr(name.size(), end - name.size());
  text.remove_prefix(end + 1);
  return value;
}

}  // namespace

// The id comes last, since it may contain any character.
std::string FormatServerStatement(const ServerStatement& statement) {
  std::ostringstream out;
  out << "started=" << statement.server.started_ms << ';';
  if (statement.limit_per_s) out << "limit=" << std::fixed << *statement.limit_per_s << ';';
  if (statement.is_leaving) out << kLeaving;
  out << "id=" << statement.server.id;
  return out.str();
}

std::optional<ServerStatement> ParseServerStatement(std::string_view text) {
  constexpr std::string_view kId = "id=";
  ServerStatement statement;
  auto started = TakeField(text, "started=");
  auto started_ms = started ? ParseNumber<int64_t>(*started) : std::nullopt;
  if (!started_ms) return std::nullopt;
  statement.server.started_ms = *started_ms;
  if (auto limit = TakeField(text, "limit=")) {
    statement.limit_per_s = ParseRateLimit(*limit);
    if (!statement.limit_per_s) return std::nullopt;
  }
  if (text.starts_with(kLeaving)) {
    statement.is_leaving = true;
    text.remove_prefix(kLeaving.size());
  }
  if (!text.starts_with(kId) || text.size() == kId.size()) return std::nullopt;
  statement.server.id = text.substr(kId.size());
  return statement;
}

}  // namespace guavatrail
