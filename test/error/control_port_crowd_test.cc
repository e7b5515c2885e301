// Guards against clients without the fleet key that keep nodes out of the control port, or hold its
// memory and descriptors, because they stop in the middle of the handshake.
#include <gtest/gtest.h>

#include <algorithm>

#include "control_fixture.h"
#include "curve_handshake.h"
#include "fake_server.h"

namespace guavatrail {
namespace {

constexpr size_t kMaxPending = 4;

class ControlPortCrowd : public testing::Test {
 protected:
  void SetUp() override {
    m_options.limits.max_connections = kMaxPending;
    m_transport = std::make_unique<ControlTransport>(m_loop, m_options, m_metrics);
    m_transport->SetHandler([this](std::string_view, const pb::ControlMessage&) { ++m_received; });
    ASSERT_TRUE(m_transport->Listen());
  }

  void AddClients(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_clients.push_back(std::make_unique<FakeClient>(m_loop, m_options.port));
    }
  }
  size_t ClosedClients() const {
    return static_cast<size_t>(std::count_if(m_clients.begin(), m_clients.end(),
                                             [](const auto& c) { return c->closed_by_peer(); }));
  }

  std::unique_ptr<test::RawPeer> SendFrom(const std::string& node) {
    auto peer = std::make_unique<test::RawPeer>(node, test::AddressOf(m_options), m_keys,
                                                m_keys.public_key);
    Send(*peer, node);
    return peer;
  }
  static void Send(test::RawPeer& peer, const std::string& node) {
    pb::ControlMessage message;
    message.mutable_version_announce()->set_version(1);
    message.set_sender(node);
    peer.Send(message.SerializeAsString());
  }

  uint64_t Failed(const std::string& reason) {
    return m_metrics.GetCounter("control_handshakes_failed_total", "reason=\"" + reason + "\"")
        .value();
  }
  bool Await(const std::function<bool()>& done) { return test::RunUntil(m_loop, done, 20'000); }

  EventLoop m_loop;
  Metrics m_metrics;
  test::KeyPair m_keys = test::MakeKeyPair();
  TransportOptions m_options = test::MakeTransportOptions("a", m_keys);
  std::unique_ptr<ControlTransport> m_transport;
  std::vector<std::unique_ptr<FakeClient>> m_clients;
  int m_received = 0;
};

TEST_F(ControlPortCrowd, SilentClientsDoNotKeepNodesOut) {
  AddClients(3 * kMaxPending);
  auto peer = SendFrom("b");
  EXPECT_TRUE(Await([&] { return m_received == 1; }));
  EXPECT_GT(Failed("no_room"), 0U);
}

TEST_F(ControlPortCrowd, SilentClientIsClosedAfterTheTimeForAHandshake) {
  AddClients(1);
  EXPECT_TRUE(Await([&] { return ClosedClients() == 1; }));
  EXPECT_EQ(Failed("timeout"), 1U);
}

TEST_F(ControlPortCrowd, ClientThatSendsMoreThanAHandshakeIsClosed) {
  AddClients(1);
  m_clients[0]->Send(std::string(CurveHandshake::kMaxClientBytes + 1, '\xff'));
  EXPECT_TRUE(Await([&] { return ClosedClients() == 1; }));
  EXPECT_EQ(Failed("timeout"), 0U);
}

TEST_F(ControlPortCrowd, NodesAreNotLimited) {
  std::vector<std::unique_ptr<test::RawPeer>> peers;
  for (size_t i = 0; i < 3 * kMaxPending; ++i) {
    peers.push_back(SendFrom("node-" + std::to_string(i)));
  }
  EXPECT_TRUE(Await([&] { return m_received == static_cast<int>(peers.size()); }));
  EXPECT_EQ(Failed("no_room"), 0U);
}

TEST_F(ControlPortCrowd, NodeThatIsConnectedIsNotClosed) {
  auto peer = SendFrom("b");
  ASSERT_TRUE(Await([&] { return m_received == 1; }));
  AddClients(3 * kMaxPending);
  ASSERT_TRUE(Await([&] { return ClosedClients() >= kMaxPending; }));
  Send(*peer, "b");
  EXPECT_TRUE(Await([&] { return m_received == 2; }));
  EXPECT_EQ(m_metrics.GetCounter("control_rejected_peers_total").value(), 0U);
}

}  // namespace
}  // namespace guavatrail
