#include "endpoint_directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace guavatrail {

void EndpointDirectory::Put(Endpoint endpoint) {
  Entry& entry = m_entries[endpoint.node];
  entry = {std::move(endpoint), -1, true};
  m_list.reset();
}

void EndpointDirectory::Remove(std::string_view node, int64_t now_us) {
  auto it = m_entries.find(node);
  if (it != m_entries.end() && it->second.gone_since_us < 0) it->second.gone_since_us = now_us;
}

void EndpointDirectory::StartReading() {
  for (auto& [node, entry] : m_entries) entry.is_read = false;
}

void EndpointDirectory::FinishReading(int64_t now_us) {
  for (auto& [node, entry] : m_entries) {
    if (!entry.is_read && entry.gone_since_us < 0) entry.gone_since_us = now_us;
    entry.is_read = true;
  }
}

bool EndpointDirectory::Expire(int64_t now_us) {
  size_t before = m_entries.size();
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    return entry.gone_since_us >= 0 && now_us - entry.gone_since_us >= m_options.lapse_grace_us;
  });
  if (m_entries.size() == before) return false;
  m_list.reset();
  return true;
}

std::optional<int64_t> EndpointDirectory::NextExpiryUs() const {
  std::optional<int64_t> next;
  for (const auto& [node, entry] : m_entries) {
    if (entry.gone_since_us < 0) continue;
    int64_t end_us = entry.gone_since_us + m_options.lapse_grace_us;
    next = next ? std::min(*next, end_us) : end_us;
  }
  return next;
}

std::shared_ptr<const EndpointList> EndpointDirectory::list() const {
  if (m_list == nullptr) {
    using Address = std::pair<std::string_view, uint16_t>;
    std::map<Address, uint64_t> newest;
    for (const auto& [node, entry] : m_entries) {
      uint64_t& incarnation = newest[Address(entry.endpoint.ip, entry.endpoint.peer_port)];
      incarnation = std::max(incarnation, entry.endpoint.incarnation);
    }
    std::vector<Endpoint> endpoints;
    endpoints.reserve(m_entries.size());
    for (const auto& [node, entry] : m_entries) {
      const Endpoint& endpoint = entry.endpoint;
      // The VM is lost for good and its address has passed on.
      bool is_superseded = !endpoint.ip.empty() &&
                           endpoint.incarnation < newest[Address(endpoint.ip, endpoint.peer_port)];
      if (!is_superseded) endpoints.push_back(endpoint);
    }
    m_list = std::make_shared<const EndpointList>(std::move(endpoints));
  }
  return m_list;
}

}  // namespace guavatrail
