// Defines the percent-encoding (RFC 3986) of names, for places where some characters have a meaning
// of their own: paths of URIs, values of headers with parameters, and log lines.
#pragma once

#include <string>
#include <string_view>

namespace guavatrail {

// Encodes all characters except a-z, A-Z, 0-9, -, ., _ and ~.
std::string PercentEncode(std::string_view text);
// Characters that are not encoded correctly are kept as they are.
std::string PercentDecode(std::string_view text);

}  // namespace guavatrail
