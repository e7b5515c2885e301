#include "failure_rate.h"

#include <cmath>

namespace guavatrail {

void FailureRate::OnSuccess() {
  m_share -= m_options.sample_weight * m_share;
  m_consecutive_breaks = 0;
}

void FailureRate::OnFailure() {
  m_share += m_options.sample_weight * (1 - m_share);
  m_consecutive_breaks = 0;
}

void FailureRate::OnBrokenConnection() {
  m_share += m_options.sample_weight * (1 - m_share);
  ++m_consecutive_breaks;
}

int FailureRate::percent() const { return static_cast<int>(std::lround(100 * m_share)); }

}  // namespace guavatrail
