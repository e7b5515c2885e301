#include "local_bodies.h"

#include <sodium.h>

#include <array>

namespace guavatrail {

std::string LocalBodies::Offer(const SharedBody& body) {
  std::erase_if(m_bodies, [](const auto& entry) { return entry.second.expired(); });
  std::array<unsigned char, 16> random{};
  randombytes_buf(random.data(), random.size());
  std::array<char, 2 * random.size() + 1> token{};
  sodium_bin2hex(token.data(), token.size(), random.data(), random.size());
  m_bodies[token.data()] = body;
  return token.data();
}

SharedBody LocalBodies::Take(std::string_view token) {
  auto it = m_bodies.find(token);
  if (it == m_bodies.end()) return nullptr;
  SharedBody body = it->second.lock();
  m_bodies.erase(it);
  return body;
}

}  // namespace guavatrail
