// Guards against a mesh that starts slowly because the few nodes that read the configuration from
// the platform send it to all others themselves: at the first start, and after all lost power.
#include "table_referrals.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace guavatrail {
namespace {

constexpr size_t kTableBytes = 400'000;
constexpr double kLinkMbps = 42;

template <typename T>
bool Is(const TableReferrals::Answer& answer) {
  return std::holds_alternative<T>(answer);
}

std::string NodeIn(const TableReferrals::Answer& answer) {
  const auto* other = std::get_if<TableReferrals::Referral>(&answer);
  return other == nullptr ? "" : other->node;
}

TEST(TableReferrals, SmallTablesAreSentAtOnce) {
  TableReferrals referrals;
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(Is<TableReferrals::SendTable>(referrals.Decide("node-9", 5'000)));
    referrals.OnTransferStarted(5'000);
  }
}

// Askers on thin links take long for each table, however fast the link of their source is.
TEST(TableReferrals, AFastLinkSendsManyTablesAtATime) {
  for (auto [mbps, tables] : {std::pair(140.0, 4), std::pair(70.0, 2), std::pair(7.0, 2)}) {
    TableReferrals referrals;
    referrals.SetLinkMbps(mbps);
    int sent = 0;
    while (Is<TableReferrals::SendTable>(referrals.Decide("node-9", kTableBytes))) {
      referrals.OnTransferStarted(kTableBytes);
      ++sent;
    }
    EXPECT_EQ(sent, tables) << mbps;
  }
}

TEST(TableReferrals, AskersComeBackWhileNobodyHoldsTheTable) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
  referrals.OnTransferEnded(kTableBytes);
  EXPECT_TRUE(Is<TableReferrals::SendTable>(referrals.Decide("node-9", kTableBytes)));
}

TEST(TableReferrals, AskersAreSpreadOverThoseWhoHoldIt) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  for (const char* node : {"node-1", "node-2", "node-1"}) referrals.AddHolder(node, kLinkMbps);
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-1");
  referrals.OnReferral("node-1");
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-2");
  referrals.OnReferral("node-2");
  EXPECT_EQ(NodeIn(referrals.Decide("node-1", kTableBytes)), "node-2");
}

TEST(TableReferrals, AHolderWithAMuchThinnerLinkIsNotNamed) {
  TableReferrals referrals;
  referrals.SetLinkMbps(kLinkMbps);
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  referrals.AddHolder("node-1", 0.4 * kLinkMbps);
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
  referrals.AddHolder("node-2", 0.6 * kLinkMbps);
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-2");
}

TEST(TableReferrals, HoldersOfAnEarlierTableAreNotNamed) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  referrals.AddHolder("node-1", kLinkMbps);
  referrals.OnTableChanged();
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
}

// Nodes that all start at time 0, of which the first kSources hold the table then. Links are shared
// evenly by what is sent on them.
class StartingMesh {
 public:
  static constexpr size_t kSources = 5;
  static constexpr int kTickMs = 10;

  StartingMesh(size_t nodes, size_t table_bytes, bool refers)
      : m_table_bytes(table_bytes), m_nodes(nodes) {
    for (size_t i = 0; i < nodes; ++i) {
      if (!refers)
        m_nodes[i].referrals = TableReferrals({.unknown_link_bytes = nodes * table_bytes});
      m_nodes[i].has_table = i < kSources;
      m_nodes[i].source = m_nodes[i].target = i % kSources;
    }
  }

  // Time until the last node has the table, in ms.
  int Run() {
    int ms = 0;
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), [](auto& n) { return n.has_table; })) {
      ms += kTickMs;
      for (size_t i = 0; i < m_nodes.size(); ++i) Ask(i, ms);
      for (Node& node : m_nodes) Send(node);
    }
    return ms;
  }

 private:
  static constexpr double kLinkBytesPerTick = kLinkMbps * 1e6 / 8 / 1000 * kTickMs;
  static constexpr int kPauseMs = 50;

  struct Transfer {
    size_t to = 0;
    double left = 0;
  };
  struct Node {
    TableReferrals referrals;
    std::vector<Transfer> sending;
    bool has_table = false;
    bool is_receiving = false;
    size_t source = 0;
    size_t target = 0;
    int next_ms = 0;
  };

  void Ask(size_t number, int now_ms) {
    Node& asker = m_nodes[number];
    if (asker.has_table || asker.is_receiving || now_ms < asker.next_ms) return;
    Node& target = m_nodes[asker.target];
    auto answer = target.referrals.Decide(std::to_string(number), m_table_bytes);
    if (Is<TableReferrals::SendTable>(answer)) {
      target.referrals.OnTransferStarted(m_table_bytes);
      target.sending.push_back({number, static_cast<double>(m_table_bytes)});
      asker.is_receiving = true;
    } else if (std::string node = NodeIn(answer); !node.empty()) {
      target.referrals.OnReferral(node);
      asker.target = std::stoul(node);
    } else {
      asker.target = asker.source;
      asker.next_ms = now_ms + kPauseMs;
    }
  }

  void Send(Node& node) {
    double share = kLinkBytesPerTick / static_cast<double>(node.sending.size());
    for (Transfer& transfer : node.sending) {
      transfer.left -= share;
      if (transfer.left > 0) continue;
      node.referrals.OnTransferEnded(m_table_bytes);
      Node& receiver = m_nodes[transfer.to];
      receiver.has_table = true;
      node.referrals.AddHolder(std::to_string(transfer.to), kLinkMbps);
      // Its next question names the version that it has.
      m_nodes[receiver.source].referrals.AddHolder(std::to_string(transfer.to), kLinkMbps);
    }
    std::erase_if(node.sending, [](const Transfer& transfer) { return transfer.left <= 0; });
  }

  size_t m_table_bytes;
  std::vector<Node> m_nodes;
};

TEST(TableReferrals, AMeshThatStartsHasItsTableWithinASecond) {
  EXPECT_LE(StartingMesh(300, kTableBytes, true).Run(), 1'000);
  EXPECT_LE(StartingMesh(1'000, kTableBytes, true).Run(), 1'500);
  // What it would take otherwise.
  EXPECT_GE(StartingMesh(300, kTableBytes, false).Run(), 4'000);
}

}  // namespace
}  // namespace guavatrail
