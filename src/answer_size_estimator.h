// Defines AnswerSizeEstimator, the typical size of the answers of each kind of work.
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
      // Kinds change with the configuration; those that are gone need no entry.
      if (m_bytes.size() >= kMaxKinds) m_bytes.clear();
      m_bytes.emplace(std::string(kind), static_cast<double>(bytes));
      return;
    }
    it->second += kWeight * (static_cast<double>(bytes) - it->second);
  }

  // 0 while it is not known.
  int64_t TypicalBytes(std::string_view kind) const {
    auto it = m_bytes.find(kind);
    return it == m_bytes.end() ? 0 : static_cast<int64_t>(it->second);
  }

 private:
  static constexpr size_t kMaxKinds = 64;
  static constexpr double kWeight = 0.1;  // Of the newest answer.

  std::map<std::string, double, std::less<>> m_bytes;
};

}  // namespace guavatrail
