// Defines the header by which the time left for a request travels with it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

// The longest deadline that is accepted, in milliseconds (one day).
inline constexpr int64_t kMaxDeadlineMs = 86'400'000;

// Parses the remaining milliseconds of an X-Guavatrail-Deadline-Ms header: decimal digits only.
// Values above kMaxDeadlineMs are cut to it; nullopt when the text is not a number.
std::optional<int64_t> ParseDeadlineMs(std::string_view text);

// The header value for the time from `now_us` to `deadline_us`; "0" when the deadline has passed.
// Rounded down, so that no part of a chain sees more time than its caller has.
std::string FormatDeadlineMs(int64_t deadline_us, int64_t now_us);

}  // namespace guavatrail
