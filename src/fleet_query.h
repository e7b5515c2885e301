// Defines queries over all nodes of a mesh through their admin ports.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "admin_client.h"
#include "event_loop.h"
#include "progress.h"

namespace guavatrail {

// No node could be asked.
struct FleetError {
  std::string message;
};

// Time allowed for each node's answer.
inline constexpr std::chrono::milliseconds kAdminTimeout{1000};

// The members as known by the first of `contacts` that answers.
tl::expected<std::vector<KnownNode>, FleetError> QueryMembers(
    EventLoop& loop, std::span<const AdminAddress> contacts);

// Asks each member for its version in force. Without `version`, the highest version that a node
// answered is taken.
ProgressReport QueryProgress(EventLoop& loop, std::span<const KnownNode> members,
                             std::optional<uint64_t> version);

// Repeats QueryProgress until all nodes have the version or `wait` has passed.
tl::expected<ProgressReport, FleetError> WaitForProgress(EventLoop& loop,
                                                         std::span<const AdminAddress> contacts,
                                                         std::optional<uint64_t> version,
                                                         std::chrono::seconds wait);

}  // namespace guavatrail
