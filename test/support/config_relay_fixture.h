// Defines helpers for tests of ConfigRelay: a small table, and the answer of a stale source.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "config_table.h"
#include "fake_server.h"

namespace guavatrail {

// Creates a table with one service.
std::shared_ptr<const ConfigTable> MakeTable(uint64_t version);
// Sends the answer of a source at version 1 whose last confirmation by the platform is a minute
// old.
void SendStaleAnswer(FakeConnection& connection, const std::string& request);

}  // namespace guavatrail
