#include "failure_share.h"

#include <cmath>

namespace guavatrail {

void FailureShare::Succeeded() {
  m_share -= m_options.newest * m_share;
  m_breaks_in_a_row = 0;
}

void FailureShare::Failed() {
  m_share += m_options.newest * (1 - m_share);
  m_breaks_in_a_row = 0;
}

void FailureShare::Broke() {
  m_share += m_options.newest * (1 - m_share);
  ++m_breaks_in_a_row;
}

int FailureShare::percent() const { return static_cast<int>(std::lround(100 * m_share)); }

}  // namespace guavatrail
