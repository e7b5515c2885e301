#include "overlay.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <numeric>

namespace guavatrail {

namespace {

// Domains of StableHash. Ring i uses kRingDomain + i.
constexpr uint64_t kRendezvousDomain = 1;
constexpr uint64_t kRingDomain = 1000;

void AddDistinct(std::vector<std::string>& to, const std::vector<std::string>& from) {
  for (const std::string& name : from) {
    if (std::find(to.begin(), to.end(), name) == to.end()) to.push_back(name);
  }
}

}  // namespace

uint64_t StableHash(uint64_t domain, std::string_view text) {
  std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
  std::memcpy(key.data(), &domain, sizeof(domain));
  std::array<unsigned char, crypto_shorthash_BYTES> out{};
  crypto_shorthash(out.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   key.data());
  uint64_t hash = 0;
  std::memcpy(&hash, out.data(), sizeof(hash));
  return hash;
}

Overlay::Overlay(std::vector<std::string> names, int rings) : m_names(std::move(names)) {
  std::sort(m_names.begin(), m_names.end());
  std::vector<uint64_t> hashes(m_names.size());
  for (int ring = 0; ring < rings; ++ring) {
    for (size_t i = 0; i < m_names.size(); ++i) {
      hashes[i] = StableHash(kRingDomain + static_cast<uint64_t>(ring), m_names[i]);
    }
    std::vector<uint32_t> order(m_names.size());
    std::iota(order.begin(), order.end(), 0);
    // The stable sort breaks ties between equal hashes by name.
    std::stable_sort(order.begin(), order.end(),
                     [&](uint32_t a, uint32_t b) { return hashes[a] < hashes[b]; });
    std::vector<uint32_t> positions(m_names.size());
    for (uint32_t i = 0; i < order.size(); ++i) positions[order[i]] = i;
    m_rings.push_back(std::move(order));
    m_positions.push_back(std::move(positions));
  }
}

std::vector<std::string> Overlay::AtOffset(std::string_view name, size_t offset) const {
  std::vector<std::string> result;
  auto found = std::lower_bound(m_names.begin(), m_names.end(), name);
  if (found == m_names.end() || *found != name || m_names.size() < 2) return result;
  auto index = static_cast<size_t>(found - m_names.begin());
  for (size_t ring = 0; ring < m_rings.size(); ++ring) {
    size_t position = (m_positions[ring][index] + offset) % m_names.size();
    AddDistinct(result, {m_names[m_rings[ring][position]]});
  }
  return result;
}

std::vector<std::string> Overlay::Successors(std::string_view name) const {
  return AtOffset(name, 1);
}

std::vector<std::string> Overlay::Predecessors(std::string_view name) const {
  return m_names.empty() ? std::vector<std::string>{} : AtOffset(name, m_names.size() - 1);
}

std::vector<std::string> Overlay::Neighbours(std::string_view name) const {
  std::vector<std::string> result = Successors(name);
  AddDistinct(result, Predecessors(name));
  return result;
}

std::vector<std::string> RendezvousTop(std::string_view task, std::vector<std::string> names,
                                       size_t count) {
  std::vector<std::pair<uint64_t, std::string>> scored;
  scored.reserve(names.size());
  std::string text;
  for (std::string& name : names) {
    text.assign(task).append(1, '\n').append(name);
    scored.emplace_back(StableHash(kRendezvousDomain, text), std::move(name));
  }
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(count), scored.end(),
                    std::greater<>());
  std::vector<std::string> result;
  for (size_t i = 0; i < count; ++i) result.push_back(std::move(scored[i].second));
  return result;
}

}  // namespace guavatrail
