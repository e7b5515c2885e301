#include "coordinator_selector.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace guavatrail {

namespace {

// A candidate before the current one is tried once in this time while it does not reply.
constexpr int64_t kRetryUs = 1'000'000;

// The key is fixed so that all nodes compute the same ranks.
uint64_t RankOf(std::string_view node) {
  static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kKey{};
  std::array<unsigned char, crypto_shorthash_BYTES> digest{};
  crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(node.data()), node.size(),
                   kKey.data());
  uint64_t rank = 0;
  for (unsigned char byte : digest) rank = (rank << 8U) | byte;
  return rank;
}

}  // namespace

size_t CoordinatorSelector::IndexOf(std::string_view node) const {
  auto it = std::find_if(m_candidates.begin(), m_candidates.end(),
                         [node](const Candidate& candidate) { return candidate.node == node; });
  return static_cast<size_t>(it - m_candidates.begin());
}

void CoordinatorSelector::SetEndpoints(const EndpointList& endpoints) {
  struct Rank {
    double negated_link_mbps;
    uint64_t hash;
    const Endpoint* endpoint;
    bool operator<(const Rank& other) const {
      return std::tie(negated_link_mbps, hash) < std::tie(other.negated_link_mbps, other.hash);
    }
  };
  std::vector<Rank> ranks;
  for (const Endpoint& endpoint : endpoints.all()) {
    if (endpoint.draining || endpoint.state != MemberState::kAlive) continue;
    ranks.push_back({-endpoint.link_mbps, RankOf(endpoint.node), &endpoint});
  }
  std::sort(ranks.begin(), ranks.end());
  std::string former(current());
  std::vector<Candidate> next;
  std::set<std::string_view> data_centres;
  while (next.size() < kCandidates && !ranks.empty()) {
    auto best = std::find_if(ranks.begin(), ranks.end(), [&](const Rank& rank) {
      return !data_centres.contains(rank.endpoint->data_centre);
    });
    if (best == ranks.end()) best = ranks.begin();
    const std::string& node = best->endpoint->node;
    data_centres.insert(best->endpoint->data_centre);
    ranks.erase(best);
    size_t index = IndexOf(node);
    bool is_known = index < m_candidates.size();
    next.push_back(is_known ? m_candidates[index] : Candidate{.node = node});
  }
  m_candidates = std::move(next);
  // A current coordinator that is still a candidate is kept until a better one has replied.
  size_t index = IndexOf(former);
  m_current = index < m_candidates.size() ? index : 0;
}

std::vector<std::string> CoordinatorSelector::Targets(int64_t now_us) {
  std::vector<std::string> targets;
  for (size_t i = 0; i < m_candidates.size() && i <= m_current; ++i) {
    Candidate& candidate = m_candidates[i];
    bool replies = now_us - candidate.replied_us < kRetryUs;
    bool is_due = i == m_current || replies || now_us - candidate.tried_us >= kRetryUs;
    if (!is_due) continue;
    candidate.tried_us = now_us;
    targets.push_back(candidate.node);
  }
  return targets;
}

void CoordinatorSelector::OnReply(std::string_view node, int64_t now_us) {
  size_t index = IndexOf(node);
  if (index < m_candidates.size()) m_candidates[index].replied_us = now_us;
}

void CoordinatorSelector::Follow(std::string_view node) {
  size_t index = IndexOf(node);
  if (index < m_candidates.size()) m_current = index;
}

bool CoordinatorSelector::OnSilence(std::string_view node, int64_t sent_us) {
  size_t index = IndexOf(node);
  // A reply to a later report shows that only the message was lost.
  if (index >= m_candidates.size() || m_candidates[index].replied_us >= sent_us) return false;
  m_candidates[index].replied_us = kNever;
  if (index != m_current) return false;
  // After the last candidate the first one is due again, at the time of the next report.
  m_current = (m_current + 1) % m_candidates.size();
  return m_current != 0;
}

}  // namespace guavatrail
