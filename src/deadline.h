// Defines the X-Guavatrail-Deadline-Ms header, which carries the remaining time of a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

// Upper bound of the remaining time in milliseconds (one day).
inline constexpr int64_t kMaxRemainingMs = 86'400'000;

// Parses the remaining milliseconds of an X-Guavatrail-Deadline-Ms header: decimal digits only.
// Values above kMaxRemainingMs are clamped to it; nullopt if the text is not a number.
std::optional<int64_t> ParseDeadlineMs(std::string_view text);

// The header value for the time from `now_us` to `deadline_us`; "0" if the deadline has passed.
// Rounded down, so that no hop sees more remaining time than its caller.
std::string FormatDeadlineMs(int64_t deadline_us, int64_t now_us);

}  // namespace guavatrail
