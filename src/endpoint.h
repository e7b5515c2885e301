// Defines Endpoint, a backend server on which calls can be placed, and EndpointList, an indexed set
// of endpoints.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

enum class MemberState { kAlive, kSuspect, kDead, kLeft };

// A backend server, reached through the peer port of its node.
struct Endpoint {
  std::string node;
  uint64_t incarnation = 0;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string ip;
  uint16_t peer_port = 0;
  uint16_t admin_port = 0;
  int slots = 0;
  double link_mbps = 0;  // Link rate of the node's VM; 0: unknown.
  bool draining = false;
  MemberState state = MemberState::kAlive;
  uint64_t config_version = 0;
  // Version of the server's software; empty: not stated, or rollouts are off.
  std::string version;
  // The version is on trial, so that entry nodes limit its share of the calls; see canary_share.h.
  bool is_canary = false;
};

// All known endpoints, indexed by service and by node name. Immutable once shared.
class EndpointList {
 public:
  EndpointList() = default;
  explicit EndpointList(std::vector<Endpoint> endpoints) : m_endpoints(std::move(endpoints)) {
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      m_by_service[m_endpoints[i].service].push_back(i);
      m_by_node[m_endpoints[i].node] = i;
    }
  }

  const std::vector<Endpoint>& all() const { return m_endpoints; }

  // Null when the node is unknown.
  const Endpoint* FindNode(std::string_view node) const {
    auto it = m_by_node.find(node);
    return it == m_by_node.end() ? nullptr : &m_endpoints[it->second];
  }

  // Indices into all() of the endpoints of `service`, in every state.
  const std::vector<size_t>& OfService(std::string_view service) const {
    static const std::vector<size_t> kNone;
    auto it = m_by_service.find(service);
    return it == m_by_service.end() ? kNone : it->second;
  }

 private:
  std::vector<Endpoint> m_endpoints;
  std::map<std::string, std::vector<size_t>, std::less<>> m_by_service;
  std::map<std::string, size_t, std::less<>> m_by_node;
};

}  // namespace guavatrail
