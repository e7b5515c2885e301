// Defines OpenUpstreamSocket, which opens the socket of a connection to a node or server.
#pragma once

#include <event2/util.h>

#include <cstdint>
#include <string>

namespace guavatrail {

struct UpstreamSocketOptions {
  std::string ip;
  uint16_t port = 0;
  std::string local_ip;          // Source address; empty: chosen by the system.
  int receive_buffer_bytes = 0;  // 0: chosen by the system.
};

// Returns a non-blocking socket that connects in the background. Returns -1 and logs the error if
// connecting fails immediately.
evutil_socket_t OpenUpstreamSocket(const UpstreamSocketOptions& options);

}  // namespace guavatrail
