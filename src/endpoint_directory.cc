#include "endpoint_directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace guavatrail {

void EndpointDirectory::Put(Endpoint endpoint, StoreRevision revision) {
  auto it = m_entries.find(endpoint.node);
  bool is_known = it != m_entries.end() && it->second.gone_since_us < 0;
  if (is_known && !(it->second.revision < revision)) {
    it->second.is_in_sync = true;
    return;
  }
  if (it != m_entries.end() && it->second.revision.era < revision.era) {
    const Endpoint& known = it->second.endpoint;
    endpoint.draining |= known.draining && known.incarnation == endpoint.incarnation;
  }
  m_log.RecordChange(endpoint.node);
  Entry& entry = m_entries[endpoint.node];
  entry = {std::move(endpoint), revision, -1, true};
  m_list.reset();
}

void EndpointDirectory::PutLocal(Endpoint endpoint) {
  Entry& entry = m_entries[endpoint.node];
  entry.endpoint = std::move(endpoint);
  entry.gone_since_us = -1;
  m_list.reset();
}

// The removal is logged even if the entry is unknown or already removed here, since a node that
// requests changes may still have the entry.
void EndpointDirectory::Remove(std::string_view node, int64_t now_us) {
  m_log.RecordChange(std::string(node));
  auto it = m_entries.find(node);
  if (it == m_entries.end() || it->second.gone_since_us >= 0) return;
  it->second.gone_since_us = now_us;
}

void EndpointDirectory::BeginFullSync() {
  for (auto& [node, entry] : m_entries) entry.is_in_sync = false;
}

void EndpointDirectory::FinishFullSync(int64_t now_us) {
  for (auto& [node, entry] : m_entries) {
    if (!entry.is_in_sync && entry.gone_since_us < 0) Remove(node, now_us);
    entry.is_in_sync = true;
  }
  m_log.RecordFullSync();
}

void EndpointDirectory::CommitRevision(StoreRevision revision) { m_log.CommitRevision(revision); }

void EndpointDirectory::Apply(const EndpointUpdate& update, int64_t now_us) {
  if (!(revision() < update.revision)) return;
  if (update.revision.era != revision().era && !update.is_whole) return;
  if (update.is_whole) BeginFullSync();
  for (const EndpointEntry& entry : update.entries) {
    if (entry.is_gone) {
      Remove(entry.endpoint.node, now_us);
    } else {
      Put(entry.endpoint, entry.revision);
    }
  }
  if (update.is_whole) FinishFullSync(now_us);
  CommitRevision(update.revision);
}

EndpointEntry EndpointDirectory::StateOf(const std::string& node, const Entry* entry) {
  EndpointEntry state;
  state.is_gone = entry == nullptr || entry->gone_since_us >= 0;
  if (state.is_gone) {
    state.endpoint.node = node;
  } else {
    state.endpoint = entry->endpoint;
    state.revision = entry->revision;
  }
  return state;
}

// The log holds only the names of changed entries, and an update carries their current state, so
// that updates may arrive in any order.
std::optional<EndpointUpdate> EndpointDirectory::UpdateSince(StoreRevision known) const {
  if (!(known < revision())) return std::nullopt;
  EndpointUpdate update{.revision = revision()};
  std::optional<std::vector<std::string>> changed = m_log.ChangedSince(known);
  if (!changed) {
    update.is_whole = true;
    for (const auto& [node, entry] : m_entries) {
      if (entry.gone_since_us < 0) update.entries.push_back(StateOf(node, &entry));
    }
    return update;
  }
  for (const std::string& node : *changed) {
    auto it = m_entries.find(node);
    update.entries.push_back(StateOf(node, it == m_entries.end() ? nullptr : &it->second));
  }
  return update;
}

bool EndpointDirectory::RemoveExpired(int64_t now_us) {
  size_t before = m_entries.size();
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    return entry.gone_since_us >= 0 && now_us - entry.gone_since_us >= m_options.removal_grace_us;
  });
  if (m_entries.size() == before) return false;
  m_list.reset();
  return true;
}

std::optional<int64_t> EndpointDirectory::NextExpiryUs() const {
  std::optional<int64_t> next;
  for (const auto& [node, entry] : m_entries) {
    if (entry.gone_since_us < 0) continue;
    int64_t end_us = entry.gone_since_us + m_options.removal_grace_us;
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
      // The VM of this entry is lost, and its address has been assigned to a newer one.
      bool is_superseded = !endpoint.ip.empty() &&
                           endpoint.incarnation < newest[Address(endpoint.ip, endpoint.peer_port)];
      if (!is_superseded) endpoints.push_back(endpoint);
    }
    m_list = std::make_shared<const EndpointList>(std::move(endpoints));
  }
  return m_list;
}

}  // namespace guavatrail
