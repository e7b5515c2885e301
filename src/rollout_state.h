// Defines RolloutPhase, how far the rollout of a server version has come, RolloutProgress, what a
// node knows of the rollout of its service, and ServerRole, what that means for its backend server.
// Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "endpoint.h"

namespace guavatrail {

// Of the name of a server version, in bytes.
inline constexpr size_t kMaxVersionLength = 128;

// The values are sent between nodes.
enum class RolloutPhase {
  kRunning = 1,     // The version gets a small share of the calls.
  kOpening = 2,     // It gets its full share beside the old servers. Can still be rolled back.
  kClosing = 3,     // The verdict is `completed`; the old servers get no new work.
  kCompleted = 4,   // The verdict has been written.
  kRolledBack = 5,  // The verdict is `rolled back`; the version gets no work.
};

std::string_view ToString(RolloutPhase phase);
// nullopt if `number` is not the value of a phase.
std::optional<RolloutPhase> ToPhase(int64_t number);
// Whether the phase is final, apart from the step from kClosing to kCompleted.
bool IsVerdict(RolloutPhase phase);

struct RolloutProgress {
  std::string target;  // The version to which the operator wants to change.
  RolloutPhase phase = RolloutPhase::kRunning;
  bool operator==(const RolloutProgress&) const = default;
};

// What the two phases together say of one rollout, of which `known` was learned first. A verdict is
// never replaced by its opposite.
RolloutPhase Merge(RolloutPhase known, RolloutPhase learned);

enum class ServerRole {
  kRegular,
  kCanary,      // On trial: gets a small share of the calls.
  kRejected,    // Its version has been rolled back: gets no work.
  kSuperseded,  // Servers of the new version have taken over: gets no work.
};

std::string_view ToString(ServerRole role);
inline bool GetsWork(ServerRole role) {
  return role == ServerRole::kRegular || role == ServerRole::kCanary;
}

// The role of the server of `version` beside `node`; `progress` is nullopt if the node knows of no
// rollout of its service. A server that states no version is regular.
ServerRole RoleOf(std::string_view node, std::string_view service, std::string_view version,
                  const std::optional<RolloutProgress>& progress, const EndpointList& endpoints);

// Whether a server of this version is listed that takes new work.
bool HasServerOf(std::string_view service, std::string_view version, const EndpointList& endpoints);

}  // namespace guavatrail
