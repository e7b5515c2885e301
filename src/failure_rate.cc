#include "failure_rate.h"

#include <cmath>

namespace guavatrail {

void FailureRate::OnSuccess() {
  m_share -= m_options.newest * m_share;
  m_breaks_in_a_row = 0;
}

void FailureRate::OnFailure() {
  m_share += m_options.newest * (1 - m_share);
  m_breaks_in_a_row = 0;
}

void FailureRate::OnBrokenConnection() {
  m_share += m_options.newest * (1 - m_share);
  ++m_breaks_in_a_row;
}

int FailureRate::percent() const { return static_cast<int>(std::lround(100 * m_share)); }

}  // namespace guavatrail
