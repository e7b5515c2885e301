#include "http_headers.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "parse_number.h"

namespace guavatrail {

namespace {

constexpr std::string_view kNodeHeaderPrefix = "X-Guavatrail-";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::array<std::string_view, 11> kConnectionHeaders = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "TE",
                                                                 "Proxy-Authorization",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Expect"};

std::string_view Trim(std::string_view text) {
  size_t start = text.find_first_not_of(" \t");
  if (start == std::string_view::npos) return {};
  return text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

// Header names that the Connection headers list as hop-by-hop.
std::vector<std::string_view> DeclaredHopByHop(const HeaderList& headers) {
  std::vector<std::string_view> names;
  for (const auto& [name, value] : headers) {
    if (!IsSameHeaderName(name, "Connection")) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      size_t comma = std::min(rest.find(','), rest.size());
      names.push_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

}  // namespace

bool IsSameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (IsSameHeaderName(key, name)) return &value;
  }
  return nullptr;
}

bool IsFieldValue(std::string_view text) {
  if (text.empty() || text.front() == ' ' || text.back() == ' ') return false;
  return std::none_of(text.begin(), text.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  });
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string_view HostWithoutPort(std::string_view authority) {
  size_t address_end = authority.starts_with('[') ? authority.find(']') : 0;
  if (address_end == std::string_view::npos) return authority;
  return authority.substr(0, authority.find(':', address_end));
}

std::string_view HeaderValue(const HeaderList& headers, std::string_view name) {
  const std::string* text = FindHeader(headers, name);
  return text == nullptr ? std::string_view() : *text;
}

int64_t HeaderNumber(const HeaderList& headers, std::string_view name) {
  return std::max<int64_t>(0, ParseNumber<int64_t>(HeaderValue(headers, name)).value_or(0));
}

void RemoveHeader(HeaderList& headers, std::string_view name) {
  std::erase_if(headers, [&](const auto& header) { return IsSameHeaderName(header.first, name); });
}

void SetHeader(HeaderList& headers, std::string_view name, std::string_view value) {
  RemoveHeader(headers, name);
  headers.emplace_back(name, value);
}

bool HasOutcome(const HeaderList& headers, std::string_view outcome) {
  return HeaderValue(headers, kOutcomeHeader) == outcome;
}

void SetRetryAfter(HeaderList& headers, int64_t retry_after_ms) {
  constexpr int64_t kMsPerSecond = 1000;
  int64_t seconds = (retry_after_ms + kMsPerSecond - 1) / kMsPerSecond;
  SetHeader(headers, "Retry-After", std::to_string(std::max<int64_t>(1, seconds)));
  SetHeader(headers, kRetryAfterMsHeader, std::to_string(retry_after_ms));
}

void SetFractionalRetryAfter(HeaderList& headers, int64_t retry_after_ms) {
  constexpr double kMsPerSecond = 1000.0;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(retry_after_ms) / kMsPerSecond);
  SetHeader(headers, "Retry-After", text.data());
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  std::vector<std::string_view> declared = DeclaredHopByHop(headers);
  HeaderList list;
  list.reserve(headers.size());
  for (const auto& header : headers) {
    auto is_name = [&](std::string_view name) { return IsSameHeaderName(header.first, name); };
    if (std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), is_name)) continue;
    if (std::any_of(declared.begin(), declared.end(), is_name)) continue;
    list.push_back(header);
  }
  return list;
}

void RemoveNodeHeaders(HeaderList& headers) {
  std::erase_if(headers, [](const auto& header) {
    return IsSameHeaderName(std::string_view(header.first).substr(0, kNodeHeaderPrefix.size()),
                            kNodeHeaderPrefix);
  });
}

bool HasBody(int status) {
  return status >= kHttpOk && status != kNoContent && status != kNotModified;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case kHttpOk:
      return "OK";
    case kHttpBadRequest:
      return "Bad Request";
    case kHttpUnauthorized:
      return "Unauthorized";
    case kHttpNotFound:
      return "Not Found";
    case kHttpRequestTimeout:
      return "Request Timeout";
    case kHttpConflict:
      return "Conflict";
    case kHttpGone:
      return "Gone";
    case kHttpContentTooLarge:
      return "Content Too Large";
    case kHttpPreconditionRequired:
      return "Precondition Required";
    case kHttpTooManyRequests:
      return "Too Many Requests";
    case kHttpHeadersTooLarge:
      return "Request Header Fields Too Large";
    case kHttpInternalError:
      return "Internal Server Error";
    case kHttpNotImplemented:
      return "Not Implemented";
    case kHttpBadGateway:
      return "Bad Gateway";
    case kHttpServiceUnavailable:
      return "Service Unavailable";
    case kHttpGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace guavatrail
