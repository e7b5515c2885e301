// Defines ProgressReport, the rollout state of one configuration version on each node, derived from
// member records and the answers of the nodes.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

enum class NodeProgress {
  kInForce,      // The node answered and serves this version or a later one.
  kBehind,       // The node answered and serves an older version or none yet.
  kUnreachable,  // No answer; membership considers the node suspect or dead.
  kUnknown,      // No answer, although membership considers the node alive.
};

std::string_view ToString(NodeProgress progress);

// A member record of a node.
struct MemberInfo {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string state;  // alive, suspect, dead or left
  bool draining = false;
  std::string admin_ip;
  uint16_t admin_port = 0;
  uint64_t recorded_version = 0;
};

// Parses the answer to GET /v1/members; skips entries without a name.
std::vector<MemberInfo> ParseMembers(const nlohmann::json& members);

struct NodeStatus {
  std::string name;
  std::string data_centre;
  NodeProgress progress = NodeProgress::kUnknown;
  // The version in force that the node reported, or the one in its record if it did not answer.
  uint64_t version = 0;
};

struct ProgressReport {
  uint64_t version = 0;
  std::vector<NodeStatus> nodes;

  size_t Count(NodeProgress progress) const;
  bool IsComplete() const { return Count(NodeProgress::kInForce) == nodes.size(); }
};

// `answers[i]` is the version in force that nodes[i] reported, or nullopt if it did not answer.
// Omits nodes that have left.
ProgressReport MakeProgressReport(uint64_t version, std::span<const MemberInfo> nodes,
                                  std::span<const std::optional<uint64_t>> answers);

nlohmann::json ToJson(const ProgressReport& report);

}  // namespace guavatrail
