// Defines RandomSource, a seedable random number generator that is passed to decision modules.
#pragma once

#include <cstdint>
#include <random>

namespace guavatrail {

class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : m_engine(seed) {}

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_engine);
  }
  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }
  uint64_t Next() { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace guavatrail
