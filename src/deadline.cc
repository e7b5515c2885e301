#include "deadline.h"

#include <algorithm>
#include <charconv>

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
constexpr size_t kMaxDigits = 18;  // Fits int64_t.

}  // namespace

std::optional<int64_t> ParseDeadlineMs(std::string_view text) {
  if (text.empty() || text.size() > kMaxDigits) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; })) {
    return std::nullopt;
  }
  int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::min(value, kMaxDeadlineMs);
}

std::string FormatDeadlineMs(int64_t deadline_us, int64_t now_us) {
  return std::to_string(std::max<int64_t>(0, (deadline_us - now_us) / kUsPerMs));
}

}  // namespace guavatrail
