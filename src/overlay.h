// Defines Overlay, which arranges members on hash rings to determine the connections between them,
// and rendezvous hashing, which assigns nodes to a task without coordination.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

// SipHash-2-4 of `text` under a key derived from `domain`; identical in every process. Different
// domains give independent hashes.
uint64_t StableHash(uint64_t domain, std::string_view text);

// Members on K rings, each ordered by a different hash of the name. A node connects to its
// successor on each ring; random rings form an expander graph with a diameter of about
// log(members). Immutable; rebuilt when the members change.
class Overlay {
 public:
  Overlay() = default;
  // `names` are the alive and suspect members, in any order and without duplicates. Suspect members
  // are included so that a suspicion alone changes no connection.
  Overlay(std::vector<std::string> names, int rings);

  // Distinct other nodes after or before `name` on the rings; empty when it is not a member.
  std::vector<std::string> Successors(std::string_view name) const;
  std::vector<std::string> Predecessors(std::string_view name) const;
  // Successors and predecessors without duplicates.
  std::vector<std::string> Neighbours(std::string_view name) const;
  size_t size() const { return m_names.size(); }

 private:
  std::vector<std::string> AtOffset(std::string_view name, size_t offset) const;

  // Sorted.
  std::vector<std::string> m_names;
  // For each ring, the indices of the names in ring order, and the inverse permutation.
  std::vector<std::vector<uint32_t>> m_rings;
  std::vector<std::vector<uint32_t>> m_positions;
};

// The `count` names with the highest rendezvous hash for `task`, highest first. Adding or removing
// one name replaces at most one element of the result.
std::vector<std::string> RendezvousTop(std::string_view task, std::vector<std::string> names,
                                       size_t count);

}  // namespace guavatrail
