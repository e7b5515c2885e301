#include "rollout_state.h"

#include <algorithm>

namespace guavatrail {

namespace {

// Whether a server of the service is listed for which `predicate` holds, apart from that of `node`.
template <typename Predicate>
bool AnyOther(std::string_view node, std::string_view service, const EndpointList& endpoints,
              Predicate predicate) {
  const std::vector<size_t>& indices = endpoints.OfService(service);
  return std::any_of(indices.begin(), indices.end(), [&](size_t index) {
    const Endpoint& endpoint = endpoints.all()[index];
    return endpoint.node != node && !endpoint.draining && predicate(endpoint);
  });
}

// The role of a version that no known rollout concerns. If it differs from that of the servers in
// use, it may be that of a rollout of which this node has not learned yet.
ServerRole DefaultRole(std::string_view node, std::string_view service, std::string_view version,
                       const EndpointList& endpoints) {
  bool is_in_use = AnyOther(node, service, endpoints, [&](const Endpoint& endpoint) {
    return !endpoint.is_canary && endpoint.version == version;
  });
  if (is_in_use) return ServerRole::kRegular;
  const Endpoint* own = endpoints.FindNode(node);
  bool was_regular = own != nullptr && own->version == version && !own->is_canary && !own->draining;
  if (was_regular) return ServerRole::kRegular;
  bool has_other = AnyOther(node, service, endpoints, [&](const Endpoint& endpoint) {
    return !endpoint.is_canary && !endpoint.version.empty() && endpoint.version != version;
  });
  return has_other ? ServerRole::kCanary : ServerRole::kRegular;
}

}  // namespace

std::string_view ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kRunning:
      return "running";
    case RolloutPhase::kOpening:
      return "opening";
    case RolloutPhase::kClosing:
      return "closing";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::optional<RolloutPhase> ToPhase(int64_t number) {
  bool is_phase = number >= static_cast<int64_t>(RolloutPhase::kRunning) &&
                  number <= static_cast<int64_t>(RolloutPhase::kRolledBack);
  return is_phase ? std::optional(static_cast<RolloutPhase>(number)) : std::nullopt;
}

bool IsVerdict(RolloutPhase phase) { return phase >= RolloutPhase::kClosing; }

RolloutPhase Merge(RolloutPhase known, RolloutPhase learned) {
  bool are_opposite =
      IsVerdict(known) && IsVerdict(learned) &&
      (known == RolloutPhase::kRolledBack) != (learned == RolloutPhase::kRolledBack);
  return are_opposite ? known : std::max(known, learned);
}

std::string_view ToString(ServerRole role) {
  switch (role) {
    case ServerRole::kRegular:
      return "regular";
    case ServerRole::kCanary:
      return "canary";
    case ServerRole::kRejected:
      return "rejected";
    case ServerRole::kSuperseded:
      return "superseded";
  }
  return "unknown";
}

bool HasServerOf(std::string_view service, std::string_view version,
                 const EndpointList& endpoints) {
  return AnyOther("", service, endpoints,
                  [&](const Endpoint& endpoint) { return endpoint.version == version; });
}

ServerRole RoleOf(std::string_view node, std::string_view service, std::string_view version,
                  const std::optional<RolloutProgress>& progress, const EndpointList& endpoints) {
  if (version.empty()) return ServerRole::kRegular;
  if (!progress) return DefaultRole(node, service, version, endpoints);
  bool is_target = version == progress->target;
  switch (progress->phase) {
    case RolloutPhase::kRunning: {
      if (!is_target) return DefaultRole(node, service, version, endpoints);
      // The first servers of a service have none beside them that could get the other calls.
      bool has_other = AnyOther(node, service, endpoints,
                                [&](const Endpoint& other) { return other.version != version; });
      return has_other ? ServerRole::kCanary : ServerRole::kRegular;
    }
    case RolloutPhase::kOpening:
      return ServerRole::kRegular;
    case RolloutPhase::kRolledBack:
      return is_target ? ServerRole::kRejected : DefaultRole(node, service, version, endpoints);
    case RolloutPhase::kClosing:
    case RolloutPhase::kCompleted:
      break;
  }
  // A server of an old version is still needed if those of the new one are gone.
  bool is_superseded = !is_target && HasServerOf(service, progress->target, endpoints);
  return is_superseded ? ServerRole::kSuperseded : ServerRole::kRegular;
}

}  // namespace guavatrail
