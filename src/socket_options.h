// Defines functions that set options of TCP sockets.
#pragma once

#include <event2/util.h>

namespace guavatrail {

// Errors are ignored: the options only improve how a socket behaves, and requests work without
// them.
void SetSocketOption(evutil_socket_t fd, int level, int option, int value);
// Without Nagle's algorithm, which delays later writes until the first one is acknowledged.
void DisableNagle(evutil_socket_t fd);
// Bounds the bytes that the kernel takes beyond those on their way to the peer. Without the limit
// it holds several megabytes for a peer that does not read.
void LimitUnsentBytes(evutil_socket_t fd, int bytes);
// Bounds the bytes that wait in the socket, unread, at any time. Raises the window of a connection
// whose listening socket had a smaller buffer. The kernel may accept somewhat more than `bytes`.
void SetReceiveBuffer(evutil_socket_t fd, int bytes);

}  // namespace guavatrail
