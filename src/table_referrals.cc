#include "table_referrals.h"

#include <algorithm>

namespace guavatrail {

// The links of the askers may be much thinner, so a fast link needs many tables under way to be
// used.
size_t TableReferrals::MaxBytes() const {
  constexpr double kBytesPerMbit = 1e6 / 8;
  if (m_link_mbps <= 0) return m_options.unknown_link_bytes;
  std::chrono::duration<double> time = m_options.link_time;
  return static_cast<size_t>(m_link_mbps * kBytesPerMbit * time.count());
}

void TableReferrals::OnTransferStarted(size_t bytes) {
  ++m_tables;
  m_bytes += bytes;
}

void TableReferrals::OnTransferEnded(size_t bytes) {
  --m_tables;
  m_bytes -= bytes;
}

void TableReferrals::AddHolder(std::string_view node, double link_mbps) {
  if (link_mbps < m_options.min_link_share * m_link_mbps) return;
  bool is_known = std::any_of(m_holders.begin(), m_holders.end(),
                              [&](const Holder& holder) { return holder.node == node; });
  if (node.empty() || is_known || m_holders.size() >= m_options.max_holders) return;
  m_holders.push_back({.node = std::string(node)});
}

void TableReferrals::OnReferral(std::string_view node) {
  for (Holder& holder : m_holders) {
    if (holder.node == node) ++holder.referrals;
  }
}

// A holder that has left costs its asker one question; the asker then comes back here.
TableReferrals::Answer TableReferrals::Decide(std::string_view asker, size_t bytes) const {
  if (m_tables < m_options.min_tables || m_bytes + bytes <= MaxBytes()) {
    return SendTable{};
  }
  const Holder* best = nullptr;
  for (const Holder& holder : m_holders) {
    if (holder.node == asker) continue;
    if (best == nullptr || holder.referrals < best->referrals) best = &holder;
  }
  if (best == nullptr) return RetryLater{};
  return Referral{best->node};
}

}  // namespace guavatrail
