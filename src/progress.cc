#include "progress.h"

#include <glog/logging.h>

#include <algorithm>

namespace guavatrail {

namespace {

NodeProgress Classify(uint64_t version, const MemberInfo& node,
                      const std::optional<uint64_t>& answer) {
  if (answer.has_value()) {
    return *answer >= version ? NodeProgress::kInForce : NodeProgress::kBehind;
  }
  // The recorded version does not count: the node may have restarted since then and serve no
  // version yet.
  return node.state == "alive" ? NodeProgress::kUnknown : NodeProgress::kUnreachable;
}

}  // namespace

std::string_view ToString(NodeProgress progress) {
  switch (progress) {
    case NodeProgress::kInForce:
      return "in_force";
    case NodeProgress::kBehind:
      return "behind";
    case NodeProgress::kUnreachable:
      return "unreachable";
    case NodeProgress::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::vector<MemberInfo> ParseMembers(const nlohmann::json& members) {
  std::vector<MemberInfo> nodes;
  if (!members.is_array()) return nodes;
  for (const nlohmann::json& entry : members) {
    if (!entry.is_object() || !entry.contains("name")) continue;
    MemberInfo node;
    node.name = entry.value("name", "");
    node.service = entry.value("service", "");
    node.data_centre = entry.value("data_centre", "");
    node.state = entry.value("state", "");
    node.draining = entry.value("draining", false);
    node.admin_ip = entry.value("ip", "");
    node.admin_port = entry.value("admin_port", uint16_t{0});
    node.recorded_version = entry.value("config_version", uint64_t{0});
    nodes.push_back(std::move(node));
  }
  return nodes;
}

size_t ProgressReport::Count(NodeProgress progress) const {
  return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const NodeStatus& node) {
    return node.progress == progress;
  }));
}

ProgressReport MakeProgressReport(uint64_t version, std::span<const MemberInfo> nodes,
                                  std::span<const std::optional<uint64_t>> answers) {
  CHECK_EQ(nodes.size(), answers.size());
  ProgressReport report;
  report.version = version;
  for (size_t i = 0; i < nodes.size(); ++i) {
    if (nodes[i].state == "left") continue;
    NodeStatus node;
    node.name = nodes[i].name;
    node.data_centre = nodes[i].data_centre;
    node.progress = Classify(version, nodes[i], answers[i]);
    node.version = answers[i].value_or(nodes[i].recorded_version);
    report.nodes.push_back(std::move(node));
  }
  return report;
}

nlohmann::json ToJson(const ProgressReport& report) {
  nlohmann::json nodes = nlohmann::json::array();
  for (const NodeStatus& node : report.nodes) {
    nodes.push_back({{"name", node.name},
                     {"data_centre", node.data_centre},
                     {"progress", ToString(node.progress)},
                     {"version", node.version}});
  }
  return {{"version", report.version},
          {"in_force", report.Count(NodeProgress::kInForce)},
          {"behind", report.Count(NodeProgress::kBehind)},
          {"unreachable", report.Count(NodeProgress::kUnreachable)},
          {"unknown", report.Count(NodeProgress::kUnknown)},
          {"complete", report.IsComplete()},
          {"nodes", nodes}};
}

}  // namespace guavatrail
