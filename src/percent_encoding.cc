#include "percent_encoding.h"

#include <event2/http.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>

namespace guavatrail {

namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  if (std::all_of(text.begin(), text.end(), IsUnreserved)) return std::string(text);
  char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  CHECK(encoded != nullptr) << "out of memory";
  std::string result = encoded;
  std::free(encoded);
  return result;
}

std::string PercentDecode(std::string_view text) {
  if (text.find('%') == std::string_view::npos) return std::string(text);
  size_t size = 0;
  char* decoded = evhttp_uridecode(std::string(text).c_str(), 0, &size);
  CHECK(decoded != nullptr) << "out of memory";
  std::string result(decoded, size);
  std::free(decoded);
  return result;
}

}  // namespace guavatrail
