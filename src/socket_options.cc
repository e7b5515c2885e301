#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace guavatrail {

void SetSocketOption(evutil_socket_t fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void SetKeepAlive(evutil_socket_t fd, const KeepAlive& options) {
  SetSocketOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, options.idle_s);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, options.interval_s);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPCNT, options.probes);
}

void DisableNagle(evutil_socket_t fd) { SetSocketOption(fd, IPPROTO_TCP, TCP_NODELAY, 1); }

void LimitUnsentBytes(evutil_socket_t fd, int bytes) {
  SetSocketOption(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

// The kernel limits the window to the buffer that the listening socket had, whatever the size of
// the buffer is later, so the window is set too.
void SetReceiveBuffer(evutil_socket_t fd, int bytes) {
  SetSocketOption(fd, SOL_SOCKET, SO_RCVBUF, bytes);
  SetSocketOption(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, bytes);
}

}  // namespace guavatrail
