// Defines helpers for tests of ConfigRelay: a small table, the endpoints of a node and its source,
// and the answer of a stale source.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "config_table.h"
#include "endpoint.h"
#include "fake_server.h"

namespace guavatrail {

// Creates a table with one service.
std::shared_ptr<const ConfigTable> MakeTable(uint64_t version);
// The endpoints of the node "node-1" in "braga", whose link is slow, and of "node-2", a source in
// the same data centre whose peer port is `source_port`.
std::shared_ptr<const EndpointList> MakeSourceEndpoints(uint16_t source_port);
// Sends the answer of a source at version 1 whose last confirmation by the platform is a minute
// old.
void SendStaleAnswer(FakeConnection& connection, const std::string& request);

}  // namespace guavatrail
