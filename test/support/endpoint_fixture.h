// Defines an endpoint and a node record for tests of directories, relays and record writers.
#pragma once

#include <cstdint>
#include <string>

#include "endpoint_record.h"

namespace guavatrail {

inline Endpoint MakeEndpoint(const std::string& node, uint64_t incarnation = 1) {
  Endpoint endpoint;
  endpoint.node = node;
  endpoint.incarnation = incarnation;
  endpoint.service = "catalogo";
  endpoint.ip = "10.0.0.1";
  endpoint.peer_port = 7620;
  return endpoint;
}

// The record of "node-1" after the report `sequence` of its server.
inline platform::NodeRecord MakeRecord(uint64_t sequence, bool draining = false) {
  platform::NodeRecord record;
  record.endpoint = MakeEndpoint("node-1");
  record.endpoint.draining = draining;
  record.report.lifetime = {"i-1", 5};
  record.report.sequence = sequence;
  record.report.state = draining ? ServerState::kDraining : ServerState::kReady;
  return record;
}

}  // namespace guavatrail
