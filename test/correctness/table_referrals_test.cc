// Guards against a mesh that starts slowly because the few nodes that read the configuration from
// the platform send it to all other nodes themselves, at the first start or after a power failure
// that stopped all nodes.
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

TEST(TableReferralsTest, SmallTablesAreSentAtOnce) {
  TableReferrals referrals;
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(Is<TableReferrals::SendTable>(referrals.Decide("node-9", 5'000)));
    referrals.OnTransferStarted(5'000);
  }
}

// A requester on a slow link takes long for a table even if the link of the sender is fast, so a
// sender on a fast link sends more tables at a time.
TEST(TableReferralsTest, FastLinkSendsMoreTablesAtATime) {
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

TEST(TableReferralsTest, RequestersRetryWhileThereIsNoHolder) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
  referrals.OnTransferEnded(kTableBytes);
  EXPECT_TRUE(Is<TableReferrals::SendTable>(referrals.Decide("node-9", kTableBytes)));
}

TEST(TableReferralsTest, ReferralsAreSpreadOverTheHolders) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  for (const char* node : {"node-1", "node-2", "node-1"}) referrals.AddHolder(node, kLinkMbps);
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-1");
  referrals.OnReferral("node-1");
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-2");
  referrals.OnReferral("node-2");
  EXPECT_EQ(NodeIn(referrals.Decide("node-1", kTableBytes)), "node-2");
}

TEST(TableReferralsTest, DoesNotReferToAMuchSlowerLink) {
  TableReferrals referrals;
  referrals.SetLinkMbps(kLinkMbps);
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  referrals.AddHolder("node-1", 0.4 * kLinkMbps);
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
  referrals.AddHolder("node-2", 0.6 * kLinkMbps);
  EXPECT_EQ(NodeIn(referrals.Decide("node-9", kTableBytes)), "node-2");
}

TEST(TableReferralsTest, DoesNotReferToHoldersOfAnEarlierTable) {
  TableReferrals referrals;
  for (int i = 0; i < 2; ++i) referrals.OnTransferStarted(kTableBytes);
  referrals.AddHolder("node-1", kLinkMbps);
  referrals.OnTableChanged();
  EXPECT_TRUE(Is<TableReferrals::RetryLater>(referrals.Decide("node-9", kTableBytes)));
}

// Model of a mesh whose nodes all start at time 0, when only the first kSources have the table. The
// transfers of a node share its link evenly.
class StartingMesh {
 public:
  static constexpr size_t kSources = 5;
  static constexpr int kTickMs = 10;

  StartingMesh(size_t nodes, size_t table_bytes, bool uses_referrals)
      : m_table_bytes(table_bytes), m_nodes(nodes) {
    for (size_t i = 0; i < nodes; ++i) {
      if (!uses_referrals)
        m_nodes[i].referrals = TableReferrals({.unknown_link_bytes = nodes * table_bytes});
      m_nodes[i].has_table = i < kSources;
      m_nodes[i].source = m_nodes[i].target = i % kSources;
    }
  }

  // Returns the time in ms until the last node has the table.
  int Run() {
    int ms = 0;
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), [](auto& n) { return n.has_table; })) {
      ms += kTickMs;
      for (size_t i = 0; i < m_nodes.size(); ++i) SendRequest(i, ms);
      for (Node& node : m_nodes) Send(node);
    }
    return ms;
  }

 private:
  static constexpr double kLinkBytesPerTick = kLinkMbps * 1e6 / 8 / 1000 * kTickMs;
  static constexpr int kPauseMs = 50;

  struct Transfer {
    size_t to = 0;
    double remaining_bytes = 0;
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

  void SendRequest(size_t number, int now_ms) {
    Node& requester = m_nodes[number];
    if (requester.has_table || requester.is_receiving || now_ms < requester.next_ms) return;
    Node& target = m_nodes[requester.target];
    auto answer = target.referrals.Decide(std::to_string(number), m_table_bytes);
    if (Is<TableReferrals::SendTable>(answer)) {
      target.referrals.OnTransferStarted(m_table_bytes);
      target.sending.push_back({number, static_cast<double>(m_table_bytes)});
      requester.is_receiving = true;
    } else if (std::string node = NodeIn(answer); !node.empty()) {
      target.referrals.OnReferral(node);
      requester.target = std::stoul(node);
    } else {
      requester.target = requester.source;
      requester.next_ms = now_ms + kPauseMs;
    }
  }

  void Send(Node& node) {
    double share = kLinkBytesPerTick / static_cast<double>(node.sending.size());
    for (Transfer& transfer : node.sending) {
      transfer.remaining_bytes -= share;
      if (transfer.remaining_bytes > 0) continue;
      node.referrals.OnTransferEnded(m_table_bytes);
      Node& receiver = m_nodes[transfer.to];
      receiver.has_table = true;
      node.referrals.AddHolder(std::to_string(transfer.to), kLinkMbps);
      // The receiver's next request names its table version, which makes it a holder at its source.
      m_nodes[receiver.source].referrals.AddHolder(std::to_string(transfer.to), kLinkMbps);
    }
    std::erase_if(node.sending,
                  [](const Transfer& transfer) { return transfer.remaining_bytes <= 0; });
  }

  size_t m_table_bytes;
  std::vector<Node> m_nodes;
};

TEST(TableReferralsTest, StartingMeshHasItsTableWithinASecond) {
  EXPECT_LE(StartingMesh(300, kTableBytes, true).Run(), 1'000);
  EXPECT_LE(StartingMesh(1'000, kTableBytes, true).Run(), 1'500);
  // The time without referrals.
  EXPECT_GE(StartingMesh(300, kTableBytes, false).Run(), 4'000);
}

}  // namespace
}  // namespace guavatrail
