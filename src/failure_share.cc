#include "failure_share.h"

#include <cmath>

namespace guavatrail {

void FailureShare::Succeeded() {
  m_share -= m_options.sample_weight * m_share;
  m_consecutive_breaks = 0;
}

void FailureShare::Failed() {
  m_share += m_options.sample_weight * (1 - m_share);
  m_consecutive_breaks = 0;
}

void FailureShare::Broke() {
  m_share += m_options.sample_weight * (1 - m_share);
  ++m_consecutive_breaks;
}

int FailureShare::percent() const { return static_cast<int>(std::lround(100 * m_share)); }

}  // namespace guavatrail
