// Defines Workspace, a customer of the mesh whose requests carry an API key of its own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

// The quota allows `rate_per_s` requests a second and bursts of `burst` requests over all nodes
// together.
struct Workspace {
  std::string name;
  std::vector<std::string> api_keys;
  int importance = 1;     // 0 (refused first under overload) to 3; before that of the work kind.
  double rate_per_s = 0;  // 0: no quota.
  double burst = 0;       // In requests.
  bool operator==(const Workspace&) const = default;
};

inline constexpr size_t kMaxWorkspaceNameLength = 63;
inline constexpr size_t kMaxApiKeyLength = 255;
inline constexpr size_t kMaxTableKeyLength = 8'192;
inline constexpr size_t kMaxApiKeys = 100'000;
inline constexpr double kMaxRatePerS = 1e9;

// A name in a note: 1 to 63 characters a-z, A-Z, 0-9, ., _ and -.
bool IsWorkspaceName(std::string_view text);
// A key in a note: 1 to 255 visible ASCII characters.
bool IsApiKey(std::string_view text);
// Whether a request can carry `key`: 1 to 8192 bytes that a header can carry unchanged.
bool CanBePresented(std::string_view key);
// Whether `value` is a rate or a burst: a number from 0 to kMaxRatePerS.
bool IsQuotaValue(double value);

}  // namespace guavatrail
