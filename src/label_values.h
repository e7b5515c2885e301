// Defines LabelValues, which limits the number of values of a metric's label. Names that clients
// choose would otherwise add metrics without end.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace guavatrail {

class LabelValues {
 public:
  static constexpr std::string_view kOther = "other";

  explicit LabelValues(size_t max_values) : m_max_values(max_values) {}

  // `value` if it is one of the first values asked for, and kOther for all further ones.
  std::string_view Of(std::string_view value) {
    if (m_values.contains(value)) return value;
    if (m_values.size() >= m_max_values) return kOther;
    m_values.emplace(value);
    return value;
  }

 private:
  size_t m_max_values;
  std::set<std::string, std::less<>> m_values;
};

}  // namespace guavatrail
