// Defines OrderKey, which identifies one order at one incarnation of one serving node, and its text
// form `gt1.<node>.<incarnation>.<serial>.<tag>`.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

struct OrderKey {
  std::string node;
  uint64_t incarnation = 0;
  uint64_t serial = 0;
  // Keyed hash of the other fields, 32 hexadecimal digits.
  std::string tag;
  bool operator==(const OrderKey&) const = default;
};

std::string ToString(const OrderKey& key);
// Returns nullopt if the text does not have the form of an order key. Does not verify the tag.
std::optional<OrderKey> ParseOrderKey(std::string_view text);

// Creates and verifies the keys of one incarnation of a node. The secret is random and never leaves
// the process, so that callers cannot forge serials that were not issued.
class OrderKeyMaker {
 public:
  OrderKeyMaker(std::string node, uint64_t incarnation);

  OrderKey Make(uint64_t serial) const;
  // Whether this object created `key`.
  bool IsAuthentic(const OrderKey& key) const;
  uint64_t incarnation() const { return m_incarnation; }

 private:
  std::string TagOf(std::string_view node, uint64_t incarnation, uint64_t serial) const;

  std::string m_node;
  uint64_t m_incarnation;
  std::array<unsigned char, 32> m_secret;
};

}  // namespace guavatrail
