#include "crash_containment.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace guavatrail {

namespace {

// Quarantines that were lost would have ended by then.
constexpr int64_t kContainmentUs = 300'000'000;

// Rendezvous hashing: nodes that join or leave change the shards of few requests. The key is fixed
// so that all nodes compute the same ranks.
uint64_t RankOf(std::string_view fingerprint, std::string_view node) {
  static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kKey{};
  std::string text(fingerprint);
  text += '/';
  text += node;
  std::array<unsigned char, crypto_shorthash_BYTES> digest{};
  crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   kKey.data());
  uint64_t rank = 0;
  for (unsigned char byte : digest) rank = (rank << 8U) | byte;
  return rank;
}

}  // namespace

void CrashContainment::Start(int64_t now_us) {
  if (m_has_started) return;
  m_has_started = true;
  m_end_us = now_us + kContainmentUs;
}

void CrashContainment::End() {
  m_has_started = true;
  m_end_us = 0;
  m_answered.clear();
  m_crashed_here.clear();
}

bool CrashContainment::IsContained(std::string_view fingerprint, int64_t now_us) const {
  return IsActive(now_us) && !m_answered.contains(fingerprint);
}

void CrashContainment::Add(Fingerprints& fingerprints, std::string_view fingerprint) {
  if (fingerprints.size() < kMaxRequests) fingerprints.emplace(fingerprint);
}

void CrashContainment::OnAnswered(std::string_view fingerprint, int64_t now_us) {
  if (!IsActive(now_us)) return;
  Add(m_answered, fingerprint);
  if (auto it = m_crashed_here.find(fingerprint); it != m_crashed_here.end()) {
    m_crashed_here.erase(it);
  }
}

void CrashContainment::OnCrashHere(std::string_view fingerprint, int64_t now_us) {
  if (IsContained(fingerprint, now_us)) Add(m_crashed_here, fingerprint);
}

Shard ShardOf(std::string_view fingerprint, const EndpointList& endpoints,
              std::string_view service) {
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  for (const Endpoint& endpoint : endpoints.all()) {
    bool is_wanted = service.empty() || endpoint.service == service;
    if (!is_wanted || endpoint.draining) continue;
    ranked.emplace_back(RankOf(fingerprint, endpoint.node), endpoint.node);
  }
  std::sort(ranked.begin(), ranked.end());
  Shard shard;
  for (const auto& [rank, node] : ranked) {
    bool is_inside = shard.nodes.size() < CrashContainment::kShardNodes;
    (is_inside ? shard.nodes : shard.other_nodes).emplace_back(node);
  }
  return shard;
}

}  // namespace guavatrail
