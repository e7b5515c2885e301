// Defines functions that set options of TCP sockets.
#pragma once

#include <event2/util.h>

namespace guavatrail {

// Errors are ignored: the options only improve how a socket behaves, and requests work without
// them.
void SetSocketOption(evutil_socket_t fd, int level, int option, int value);
// How TCP detects a peer that has vanished without closing the connection.
struct KeepAlive {
  int idle_s;      // Time without bytes before the first probe.
  int interval_s;  // Between two probes.
  int probes;      // Without an answer, after which the connection is closed.
};
void SetKeepAlive(evutil_socket_t fd, const KeepAlive& options);
// Without Nagle's algorithm, which delays later writes until the first one is acknowledged.
void DisableNagle(evutil_socket_t fd);
// Bounds the bytes that the kernel takes beyond those on their way to the peer. Without the limit
// it holds several megabytes for a peer that does not read.
void LimitUnsentBytes(evutil_socket_t fd, int bytes);
// Bounds the bytes that wait in the socket, unread, at any time. Raises the window of a connection
// whose listening socket had a smaller buffer. The kernel may accept somewhat more than `bytes`.
void SetReceiveBuffer(evutil_socket_t fd, int bytes);

}  // namespace guavatrail
