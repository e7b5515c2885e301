// Guards against a connection to the control port that counts as one of a node before its client
// has proved that it has the fleet key, or that is never recognized as one.
#include "curve_handshake.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

using State = CurveHandshake::State;

std::string Command(std::string_view name, size_t size) {
  std::string body = std::string(1, static_cast<char>(name.size())) + std::string(name);
  body.resize(size, 'x');
  return std::string("\x04", 1) + static_cast<char>(size) + body;
}

std::string Greeting() { return std::string(64, 'g') + Command("WELCOME", 168); }

TEST(CurveHandshakeTest, ReadyOfTheServerCompletesIt) {
  CurveHandshake handshake;
  std::string bytes = Greeting() + Command("READY", 60);
  for (char byte : Greeting()) handshake.OnServerBytes({&byte, 1});
  EXPECT_EQ(handshake.state(), State::kInProgress);
  handshake.OnServerBytes(bytes.substr(Greeting().size()));
  EXPECT_EQ(handshake.state(), State::kComplete);
}

TEST(CurveHandshakeTest, ErrorOfTheServerDoesNotCompleteIt) {
  CurveHandshake handshake;
  handshake.OnServerBytes(Greeting() + Command("ERROR", 60));
  handshake.OnServerBytes(Command("READY", 60));
  EXPECT_EQ(handshake.state(), State::kInProgress);
}

TEST(CurveHandshakeTest, ClientThatSendsMoreThanAHandshakeIsRecognized) {
  CurveHandshake handshake;
  handshake.OnClientBytes(CurveHandshake::kMaxClientBytes);
  EXPECT_EQ(handshake.state(), State::kInProgress);
  handshake.OnClientBytes(1);
  EXPECT_EQ(handshake.state(), State::kTooLong);
  handshake.OnServerBytes(Greeting() + Command("READY", 60));
  EXPECT_EQ(handshake.state(), State::kTooLong);
}

TEST(CurveHandshakeTest, MessagesAfterItAreNotLimited) {
  CurveHandshake handshake;
  handshake.OnServerBytes(Greeting() + Command("READY", 60));
  handshake.OnClientBytes(1'000'000);
  EXPECT_EQ(handshake.state(), State::kComplete);
}

}  // namespace
}  // namespace guavatrail
