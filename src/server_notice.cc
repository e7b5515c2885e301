#include "server_notice.h"

#include <charconv>
#include <cmath>

namespace guavatrail {

namespace {

constexpr std::string_view kLeaving = "1";

}  // namespace

std::optional<double> ParseRateLimit(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  auto [parsed, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  bool is_number = error == std::errc() && parsed == end && std::isfinite(value);
  if (!is_number || std::signbit(value)) return std::nullopt;
  return value;
}

ServerNotice ParseServerNotice(const ExternalProtocol& protocol, const HeaderList& headers) {
  ServerNotice notice;
  if (!protocol.server_limit_header.empty()) {
    const std::string* text = FindHeader(headers, protocol.server_limit_header);
    if (text != nullptr) notice.limit_per_s = ParseRateLimit(*text);
    notice.has_invalid_limit = text != nullptr && !notice.limit_per_s;
  }
  if (!protocol.server_leaving_header.empty()) {
    notice.is_leaving = HeaderValue(headers, protocol.server_leaving_header) == kLeaving;
  }
  return notice;
}

}  // namespace guavatrail
