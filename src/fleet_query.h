// Defines queries of all nodes of a mesh through their admin ports.
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

// No contact answered.
struct FleetError {
  std::string message;
};

// Timeout of a request to one node.
inline constexpr std::chrono::milliseconds kAdminTimeout{1000};

// Returns the members known to the first of `contacts` that answers.
tl::expected<std::vector<MemberInfo>, FleetError> QueryMembers(
    EventLoop& loop, std::span<const AdminAddress> contacts);

// Queries each member for its version in force. Without `version`, reports on the highest version
// that any member returned.
ProgressReport QueryProgress(EventLoop& loop, std::span<const MemberInfo> members,
                             std::optional<uint64_t> version);

// Repeats QueryProgress until the version is in force on all nodes or `wait` has passed.
tl::expected<ProgressReport, FleetError> WaitForProgress(EventLoop& loop,
                                                         std::span<const AdminAddress> contacts,
                                                         std::optional<uint64_t> version,
                                                         std::chrono::seconds wait);

}  // namespace guavatrail
