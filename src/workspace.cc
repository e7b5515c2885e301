#include "workspace.h"

#include <algorithm>

#include "http_headers.h"

namespace guavatrail {

bool IsWorkspaceName(std::string_view text) {
  if (text.empty() || text.size() > kMaxWorkspaceNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  });
}

bool IsApiKey(std::string_view text) {
  if (text.empty() || text.size() > kMaxApiKeyLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool CanBePresented(std::string_view key) {
  return key.size() <= kMaxTableKeyLength && IsFieldValue(key);
}

// The form also rejects NaN.
bool IsQuotaValue(double value) { return value >= 0 && value <= kMaxRatePerS; }

}  // namespace guavatrail
