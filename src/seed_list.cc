#include "seed_list.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace guavatrail {

namespace {

// Accepts only an IPv4 address with a port: anything else could cause a DNS lookup.
bool IsAddress(const std::string& text) {
  size_t colon = text.find(':');
  if (colon == std::string::npos) return false;
  in_addr ip{};
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) == 1 && parsed.ec == std::errc() &&
         parsed.ptr == end && port != 0;
}

}  // namespace

std::string SeedKey(std::string_view data_centre) {
  return std::string(kSeedPrefix) + std::string(data_centre);
}

std::string EncodeSeeds(const std::vector<std::string>& addresses) {
  return nlohmann::json{{"addresses", addresses}}.dump();
}

std::vector<std::string> DecodeSeeds(std::string_view value) {
  std::vector<std::string> addresses;
  nlohmann::json json = nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("addresses") || !json["addresses"].is_array()) {
    return addresses;
  }
  for (const nlohmann::json& item : json["addresses"]) {
    if (addresses.size() >= kMaxSeeds) break;
    if (item.is_string() && IsAddress(item.get<std::string>())) addresses.push_back(item);
  }
  return addresses;
}

std::optional<std::vector<std::string>> AddSeed(
    const std::vector<std::string>& current, const std::string& own,
    const std::function<bool(const std::string&)>& is_dead) {
  if (std::find(current.begin(), current.end(), own) != current.end()) return std::nullopt;
  std::vector<std::string> next = current;
  auto dead = std::find_if(next.begin(), next.end(), is_dead);
  if (dead != next.end()) {
    *dead = own;
  } else if (next.size() < kMaxSeeds) {
    next.push_back(own);
  } else {
    return std::nullopt;
  }
  return next;
}

}  // namespace guavatrail
