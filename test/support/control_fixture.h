// Defines helpers for tests that exchange control messages over the loopback interface.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "control_transport.h"
#include "event_loop.h"
#include "settings.h"

namespace guavatrail::test {

struct KeyPair {
  std::string public_key;
  std::string secret_key;
};
KeyPair MakeKeyPair();

// Returns a TCP port of 127.0.0.1 that was free when checked.
uint16_t FreePort();

// Runs the loop until done() or for at most `limit_ms`. Returns done().
bool RunUntil(EventLoop& loop, const std::function<bool()>& done, int64_t limit_ms);

TransportOptions MakeTransportOptions(const std::string& node, const KeyPair& keys);
std::string AddressOf(const TransportOptions& options);

// A raw ZeroMQ peer that sends messages that no ControlTransport would send.
class RawPeer {
 public:
  // Connects a DEALER socket with this routing id and client keys to the server with key
  // `server_key` at `address`.
  RawPeer(const std::string& routing_id, const std::string& address, const KeyPair& keys,
          const std::string& server_key);
  ~RawPeer();
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;
  void Send(const std::string& bytes);

 private:
  void* m_context;
  void* m_socket;
};

}  // namespace guavatrail::test
