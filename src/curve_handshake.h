// Defines CurveHandshake, which follows the handshake of a ZeroMQ connection with the CURVE
// mechanism (ZeroMQ RFCs 23 and 26) from outside of libzmq. Performs no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace guavatrail {

class CurveHandshake {
 public:
  enum class State {
    kInProgress,
    kComplete,  // The server has accepted the key of the client.
    kTooLong,   // The client has sent more than a handshake takes.
  };

  // The largest number of bytes that a client sends before the handshake is complete: the greeting,
  // HELLO, and INITIATE with a routing id of 255 bytes.
  static constexpr size_t kMaxClientBytes = 1024;

  void OnClientBytes(size_t bytes);
  void OnServerBytes(std::string_view bytes);
  State state() const { return m_state; }

 private:
  State m_state = State::kInProgress;
  size_t m_client_bytes = 0;
  std::string m_server_bytes;  // The first bytes, up to the name of the second command.
};

}  // namespace guavatrail
