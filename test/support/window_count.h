// Defines MostWithin, which checks rates in tests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>

namespace guavatrail {

// The most of the ascending `times_us` within any window of `window_us` that begins at one of them
// from `from_us` on.
inline int MostWithin(std::span<const int64_t> times_us, int64_t window_us, int64_t from_us) {
  int most = 0;
  for (auto first = times_us.begin(); first != times_us.end(); ++first) {
    if (*first < from_us) continue;
    auto last = std::upper_bound(first, times_us.end(), *first + window_us);
    most = std::max(most, static_cast<int>(last - first));
  }
  return most;
}

}  // namespace guavatrail
