// Defines ServiceTimeEstimate, a running estimate of the typical service time that is robust
// against a few very long requests.
#pragma once

#include <algorithm>
#include <cstdint>

namespace guavatrail {

class ServiceTimeEstimate {
 public:
  // Adds a measured service time in microseconds.
  void Add(int64_t service_us) {
    auto sample = static_cast<double>(std::max<int64_t>(service_us, 1));
    // A straggler counts as at most kClip times the estimate. If all work becomes slower, the
    // estimate still follows, since each sample can raise it by (kClip - 1) / kWindow.
    if (m_samples > 0) sample = std::min(sample, kClip * m_estimate_us);
    m_samples = std::min(m_samples + 1, kWindow);
    m_estimate_us += (sample - m_estimate_us) / m_samples;
  }

  // 0 before the first sample.
  int64_t typical_us() const { return static_cast<int64_t>(m_estimate_us); }

  // typical_us(), but 0 until there are enough samples that their spread hardly matters in a
  // comparison with other servers.
  int64_t stable_us() const { return m_samples < kMinStableSamples ? 0 : typical_us(); }

  // Whether a request that has run for `elapsed_us` is a straggler whose end cannot be predicted.
  bool IsStraggler(int64_t elapsed_us) const {
    return m_samples > 0 && static_cast<double>(elapsed_us) > kClip * m_estimate_us;
  }

 private:
  static constexpr double kClip = 4.0;
  static constexpr int kWindow = 16;
  static constexpr int kMinStableSamples = 8;

  double m_estimate_us = 0;
  int m_samples = 0;
};

}  // namespace guavatrail
