// Guards against a peer without the fleet key, or a malformed or oversized message, that has an
// effect on the node or blocks later messages.
#include <gtest/gtest.h>

#include "control_fixture.h"

namespace guavatrail {
namespace {

class ControlTransportErrors : public testing::Test {
 protected:
  void SetUp() override {
    transport.SetHandler(
        [this](std::string_view, const pb::ControlMessage&) { ++received_messages; });
    ASSERT_TRUE(transport.Listen());
  }
  uint64_t Count(std::string_view name) { return metrics.GetCounter(name).value(); }
  std::string Valid(const std::string& sender) {
    pb::ControlMessage message;
    message.mutable_version_announce()->set_version(1);
    message.set_sender(sender);
    return message.SerializeAsString();
  }
  bool Await(const std::function<bool()>& done) { return test::RunUntil(loop, done, 5000); }

  EventLoop loop;
  Metrics metrics;
  test::KeyPair keys = test::MakeKeyPair();
  TransportOptions options = test::MakeTransportOptions("a", keys);
  ControlTransport transport{loop, options, metrics};
  int received_messages = 0;
};

TEST_F(ControlTransportErrors, UnknownClientKey) {
  test::RawPeer peer("b", test::AddressOf(options), test::MakeKeyPair(), keys.public_key);
  peer.Send(Valid("b"));
  EXPECT_TRUE(Await([&] { return Count("control_rejected_peers_total") > 0; }));
  EXPECT_EQ(received_messages, 0);
}

TEST_F(ControlTransportErrors, WrongServerKey) {
  test::RawPeer peer("b", test::AddressOf(options), keys, test::MakeKeyPair().public_key);
  peer.Send(Valid("b"));
  EXPECT_TRUE(Await([&] { return Count("control_rejected_peers_total") > 0; }));
  EXPECT_EQ(received_messages, 0);
}

TEST_F(ControlTransportErrors, MalformedAndOversizedMessagesAreDropped) {
  test::RawPeer peer("b", test::AddressOf(options), keys, keys.public_key);
  pb::ControlMessage no_body;
  no_body.set_sender("b");
  peer.Send("\xff\xff\xff");
  peer.Send("");
  peer.Send(no_body.SerializeAsString());
  peer.Send(std::string(kMaxControlMessageBytes + 1, 'x'));
  peer.Send(Valid("c"));
  peer.Send(Valid("b"));
  ASSERT_TRUE(Await([&] { return received_messages > 0; }));
  EXPECT_EQ(received_messages, 1);
  EXPECT_EQ(Count("control_undecodable_total"), 3U);
  EXPECT_EQ(Count("control_oversized_total"), 1U);
  EXPECT_EQ(Count("control_misaddressed_total"), 1U);
}

TEST_F(ControlTransportErrors, FarOversizedMessageClosesOnlyItsConnection) {
  test::RawPeer large("b", test::AddressOf(options), keys, keys.public_key);
  test::RawPeer other("c", test::AddressOf(options), keys, keys.public_key);
  large.Send(std::string(2 * kMaxControlMessageBytes, 'x'));
  EXPECT_TRUE(Await([&] { return Count("control_disconnects_total") > 0; }));
  other.Send(Valid("c"));
  EXPECT_TRUE(Await([&] { return received_messages == 1; }));
}

TEST_F(ControlTransportErrors, OwnOversizedMessageIsNotSent) {
  pb::ControlMessage message;
  message.mutable_notes_reply()->set_snapshot_bytes(std::string(kMaxControlMessageBytes, 'x'));
  transport.Connect("b", "127.0.0.1:1");
  EXPECT_FALSE(transport.Send("b", message));
  EXPECT_EQ(Count("control_oversized_total"), 1U);
}

TEST_F(ControlTransportErrors, InvalidKeyIsAnError) {
  TransportOptions bad = test::MakeTransportOptions("b", {"not-a-key", "not-a-key"});
  ControlTransport other(loop, bad, metrics);
  EXPECT_FALSE(other.Listen());
}

TEST_F(ControlTransportErrors, PortInUseIsAnError) {
  ControlTransport other(loop, options, metrics);
  EXPECT_FALSE(other.Listen());
}

}  // namespace
}  // namespace guavatrail
