// Guards against control messages that are lost, attributed to the wrong node, or stuck after a
// reconnect.
#include <gtest/gtest.h>

#include "control_fixture.h"

namespace guavatrail {
namespace {

using test::AddressOf;
using test::MakeTransportOptions;
using test::RunUntil;

struct Node {
  Node(EventLoop& loop, const TransportOptions& options) : transport(loop, options, metrics) {
    transport.SetHandler([this](std::string_view from, const pb::ControlMessage& message) {
      senders.emplace_back(from);
      versions.push_back(message.version_announce().version());
    });
  }
  Metrics metrics;
  ControlTransport transport;
  std::vector<std::string> senders;
  std::vector<uint64_t> versions;
};

pb::ControlMessage Announce(uint64_t version) {
  pb::ControlMessage message;
  message.mutable_version_announce()->set_version(version);
  return message;
}

class ControlTransportTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(a.transport.Listen());
    ASSERT_TRUE(b.transport.Listen());
  }
  EventLoop loop;
  test::KeyPair keys = test::MakeKeyPair();
  TransportOptions a_options = MakeTransportOptions("a", keys);
  TransportOptions b_options = MakeTransportOptions("b", keys);
  Node a{loop, a_options};
  Node b{loop, b_options};
};

TEST_F(ControlTransportTest, BidirectionalOverOneConnection) {
  a.transport.Connect("b", AddressOf(b_options));
  constexpr uint64_t kMessages = 20;
  for (uint64_t i = 1; i <= kMessages; ++i) ASSERT_TRUE(a.transport.Send("b", Announce(i)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return b.versions.size() == kMessages; }, 5000));
  for (uint64_t i = 1; i <= kMessages; ++i) EXPECT_EQ(b.versions[i - 1], i);
  EXPECT_EQ(b.senders[0], "a");
  ASSERT_TRUE(b.transport.Send("a", Announce(99)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return a.versions.size() == 1; }, 5000));
  EXPECT_EQ(a.senders[0], "b");
  EXPECT_FALSE(b.transport.Send("unknown", Announce(1)));
}

TEST_F(ControlTransportTest, ContactAnswersUnderItsOwnName) {
  a.transport.ConnectContact(AddressOf(b_options));
  ASSERT_TRUE(a.transport.Send(AddressOf(b_options), Announce(1)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return b.versions.size() == 1; }, 5000));
  ASSERT_TRUE(b.transport.Send("a", Announce(2)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return a.versions.size() == 1; }, 5000));
  EXPECT_EQ(a.senders[0], "b");
}

TEST_F(ControlTransportTest, ReconnectTakesOverTheRoute) {
  a.transport.Connect("b", AddressOf(b_options));
  ASSERT_TRUE(a.transport.Send("b", Announce(1)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return b.versions.size() == 1; }, 5000));
  a.transport.Reconnect("b");
  ASSERT_TRUE(a.transport.Send("b", Announce(2)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return b.versions.size() == 2; }, 5000));
  ASSERT_TRUE(b.transport.Send("a", Announce(3)));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return a.versions.size() == 1; }, 5000));
}

TEST_F(ControlTransportTest, DropsMessagesForAnotherNode) {
  a.transport.Connect("c", AddressOf(b_options));
  ASSERT_TRUE(a.transport.Send("c", Announce(1)));
  ASSERT_TRUE(RunUntil(
      loop, [&] { return b.metrics.GetCounter("control_misaddressed_total").value() == 1; }, 5000));
  EXPECT_TRUE(b.versions.empty());
  // A second connection under the same name takes over the route. It is opened only now, since
  // opening it earlier could lose the message on the first connection.
  a.transport.Connect("b", AddressOf(b_options));
  ASSERT_TRUE(a.transport.Send("b", Announce(2)));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return b.versions.size() == 1; }, 5000));
}

}  // namespace
}  // namespace guavatrail
