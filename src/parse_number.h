// Defines ParseNumber, which reads a whole text as an integer.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace guavatrail {

// nullopt unless all of `text` is a decimal integer that fits `Integer`.
template <typename Integer>
std::optional<Integer> ParseNumber(std::string_view text) {
  Integer value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace guavatrail
