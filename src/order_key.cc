#include "order_key.h"

#include <glog/logging.h>
#include <sodium.h>

#include <vector>

#include "parse_number.h"

namespace guavatrail {

namespace {

constexpr std::string_view kFormat = "gt1";
constexpr size_t kFieldCount = 5;
constexpr size_t kTagBytes = crypto_generichash_BYTES_MIN;
constexpr size_t kMaxKeyLength = 160;

std::string SignedPart(std::string_view node, uint64_t incarnation, uint64_t serial) {
  std::string text(kFormat);
  text.append(".").append(node);
  text.append(".").append(std::to_string(incarnation));
  text.append(".").append(std::to_string(serial));
  return text;
}

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> fields;
  size_t start = 0;
  for (size_t dot = text.find('.'); dot != std::string_view::npos; dot = text.find('.', start)) {
    fields.push_back(text.substr(start, dot - start));
    start = dot + 1;
  }
  fields.push_back(text.substr(start));
  return fields;
}

// Accepts only the format of std::to_string, so that each key has exactly one text form.
std::optional<uint64_t> ParseCanonicalNumber(std::string_view text) {
  if (text.size() > 1 && text.front() == '0') return std::nullopt;
  return ParseNumber<uint64_t>(text);
}

bool IsTag(std::string_view text) {
  return text.size() == 2 * kTagBytes &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::string ToString(const OrderKey& key) {
  return SignedPart(key.node, key.incarnation, key.serial) + "." + key.tag;
}

std::optional<OrderKey> ParseOrderKey(std::string_view text) {
  if (text.size() > kMaxKeyLength) return std::nullopt;
  std::vector<std::string_view> fields = Split(text);
  if (fields.size() != kFieldCount || fields[0] != kFormat || fields[1].empty()) {
    return std::nullopt;
  }
  std::optional<uint64_t> incarnation = ParseCanonicalNumber(fields[2]);
  std::optional<uint64_t> serial = ParseCanonicalNumber(fields[3]);
  if (!incarnation || !serial || !IsTag(fields[4])) return std::nullopt;
  return OrderKey{std::string(fields[1]), *incarnation, *serial, std::string(fields[4])};
}

OrderKeyMaker::OrderKeyMaker(std::string node, uint64_t incarnation)
    : m_node(std::move(node)), m_incarnation(incarnation) {
  CHECK(sodium_init() >= 0) << "sodium_init failed";
  randombytes_buf(m_secret.data(), m_secret.size());
}

std::string OrderKeyMaker::TagOf(std::string_view node, uint64_t incarnation,
                                 uint64_t serial) const {
  std::string text = SignedPart(node, incarnation, serial);
  std::array<unsigned char, kTagBytes> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), m_secret.data(), m_secret.size());
  std::array<char, 2 * kTagBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return hex.data();
}

OrderKey OrderKeyMaker::Make(uint64_t serial) const {
  return {m_node, m_incarnation, serial, TagOf(m_node, m_incarnation, serial)};
}

bool OrderKeyMaker::IsAuthentic(const OrderKey& key) const {
  if (key.node != m_node || key.incarnation != m_incarnation) return false;
  std::string tag = TagOf(key.node, key.incarnation, key.serial);
  return tag.size() == key.tag.size() && sodium_memcmp(tag.data(), key.tag.data(), tag.size()) == 0;
}

}  // namespace guavatrail
