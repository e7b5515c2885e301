// Defines how far a version has travelled: the state of each node against one version of the
// configuration, from member records and the nodes' own answers.
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
  kUnreachable,  // No answer, and membership holds the node for suspect or dead.
  kUnknown,      // No answer, although membership holds the node for alive.
};

std::string_view ToString(NodeProgress progress);

// A node as membership knows it.
struct KnownNode {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string state;  // alive, suspect, dead or left
  bool draining = false;
  std::string admin_ip;
  uint16_t admin_port = 0;
  uint64_t recorded_version = 0;
};

// Reads the answer of GET /v1/members; entries without a name are skipped.
std::vector<KnownNode> ParseMembers(const nlohmann::json& members);

struct NodeReport {
  std::string name;
  std::string data_centre;
  NodeProgress progress = NodeProgress::kUnknown;
  // The version in force that the node answered, or else the one in its record.
  uint64_t version = 0;
};

struct ProgressReport {
  uint64_t version = 0;
  std::vector<NodeReport> nodes;

  size_t Count(NodeProgress progress) const;
  bool IsComplete() const { return Count(NodeProgress::kInForce) == nodes.size(); }
};

// `answers[i]` is the version in force that nodes[i] answered, or nullopt without an answer. Nodes
// that have left are not part of the report.
ProgressReport MakeProgressReport(uint64_t version, std::span<const KnownNode> nodes,
                                  std::span<const std::optional<uint64_t>> answers);

nlohmann::json ToJson(const ProgressReport& report);

}  // namespace guavatrail
