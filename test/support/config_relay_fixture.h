// Defines what the tests of ConfigRelay share: a small table, and a source that is stale.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "config_table.h"
#include "fake_server.h"

namespace guavatrail {

// A table with one service, at `version`.
std::shared_ptr<const ConfigTable> MakeTable(uint64_t version);
// The answer of a source that holds version 1, which the platform confirmed a minute ago.
void SendStaleAnswer(FakeConnection& connection, const std::string& question);

}  // namespace guavatrail
