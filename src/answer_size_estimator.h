// Defines AnswerSizeEstimator, which estimates the typical answer size of each work kind.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavatrail {

// Only complete answers are to be added: the announced length of one that breaks off may be any
// number.
class AnswerSizeEstimator {
 public:
  void Add(std::string_view kind, uint64_t bytes) {
    auto it = m_sizes.find(kind);
    if (it == m_sizes.end()) {
      // Kinds change with the configuration; clearing drops the entries of removed kinds.
      if (m_sizes.size() >= kMaxKinds) m_sizes.clear();
      it = m_sizes.emplace(std::string(kind), Size{}).first;
    }
    Size& size = it->second;
    ++size.samples;
    // The mean of the first samples, so that a single one does not count for long.
    double weight = std::max(kWeight, 1.0 / static_cast<double>(size.samples));
    size.bytes += weight * (static_cast<double>(bytes) - size.bytes);
  }

  // 0 if no answer of the kind was recorded.
  int64_t TypicalBytes(std::string_view kind) const {
    auto it = m_sizes.find(kind);
    return it == m_sizes.end() ? 0 : static_cast<int64_t>(it->second.bytes);
  }

 private:
  struct Size {
    double bytes = 0;
    uint64_t samples = 0;
  };

  static constexpr size_t kMaxKinds = 64;
  static constexpr double kWeight = 0.1;  // Of the newest sample in the moving average.

  std::map<std::string, Size, std::less<>> m_sizes;
};

}  // namespace guavatrail
