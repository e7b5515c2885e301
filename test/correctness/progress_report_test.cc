// Guards against a progress report that counts a silent or restarted node as up to date.
#include <gtest/gtest.h>

#include "progress.h"

namespace guavatrail {
namespace {

MemberInfo MakeNode(const std::string& name, const std::string& state, uint64_t recorded) {
  MemberInfo node;
  node.name = name;
  node.state = state;
  node.recorded_version = recorded;
  return node;
}

TEST(ProgressReportTest, ClassifiesEachNode) {
  std::vector<MemberInfo> nodes{
      MakeNode("a", "alive", 3), MakeNode("b", "alive", 7), MakeNode("c", "dead", 7),
      MakeNode("d", "alive", 7), MakeNode("e", "left", 7),
  };
  std::vector<std::optional<uint64_t>> answers{7, 6, std::nullopt, std::nullopt, std::nullopt};
  ProgressReport report = MakeProgressReport(7, nodes, answers);
  ASSERT_EQ(report.nodes.size(), 4u);
  EXPECT_EQ(report.nodes[0].progress, NodeProgress::kInForce);
  EXPECT_EQ(report.nodes[1].progress, NodeProgress::kBehind);
  EXPECT_EQ(report.nodes[2].progress, NodeProgress::kUnreachable);
  EXPECT_EQ(report.nodes[3].progress, NodeProgress::kUnknown);
  EXPECT_FALSE(report.IsComplete());
}

TEST(ProgressReportTest, ParsesMembersAndSkipsInvalidEntries) {
  auto json = nlohmann::json::parse(
      R"([{"name":"a","state":"alive","ip":"127.0.0.1","admin_port":9,"config_version":4}, 5, {}])");
  std::vector<MemberInfo> nodes = ParseMembers(json);
  ASSERT_EQ(nodes.size(), 1u);
  EXPECT_EQ(nodes[0].admin_port, 9);
  EXPECT_EQ(nodes[0].recorded_version, 4u);
}

}  // namespace
}  // namespace guavatrail
