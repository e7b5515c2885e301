// Defines AnswerSizeEstimator, which estimates the typical answer size of each work kind.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavatrail {

class AnswerSizeEstimator {
 public:
  void Add(std::string_view kind, uint64_t bytes) {
    auto it = m_bytes.find(kind);
    if (it == m_bytes.end()) {
      // Kinds change with the configuration; clearing drops the entries of removed kinds.
      if (m_bytes.size() >= kMaxKinds) m_bytes.clear();
      m_bytes.emplace(std::string(kind), static_cast<double>(bytes));
      return;
    }
    it->second += kWeight * (static_cast<double>(bytes) - it->second);
  }

  // 0 if no answer of the kind was recorded.
  int64_t TypicalBytes(std::string_view kind) const {
    auto it = m_bytes.find(kind);
    return it == m_bytes.end() ? 0 : static_cast<int64_t>(it->second);
  }

 private:
  static constexpr size_t kMaxKinds = 64;
  static constexpr double kWeight = 0.1;  // Of the newest sample in the moving average.

  std::map<std::string, double, std::less<>> m_bytes;
};

}  // namespace guavatrail
