#include "upstream_socket.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "socket_options.h"

namespace guavatrail {

namespace {

// TCP detects a dead connection within about 3 s, by keep-alive probes or unacknowledged data.
constexpr KeepAlive kKeepAlive = {.idle_s = 1, .interval_s = 1, .probes = 2};
constexpr unsigned kUserTimeoutMs = 3'000;
// Bytes of a request that the kernel takes beyond what is on its way.
constexpr int kKernelUnsentBytes = 131'072;

void PrepareSocket(evutil_socket_t fd) {
  DisableNagle(fd);
  SetKeepAlive(fd, kKeepAlive);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  LimitUnsentBytes(fd, kKernelUnsentBytes);
}

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Binds and connects a non-blocking socket. Returns false and sets errno if it fails immediately.
bool StartConnect(evutil_socket_t fd, const UpstreamSocketOptions& options) {
  PrepareSocket(fd);
  // Set before connecting, since the window depends on it.
  if (options.receive_buffer_bytes > 0) SetReceiveBuffer(fd, options.receive_buffer_bytes);
  if (!options.local_ip.empty()) {
    sockaddr_in local = AddressOf(options.local_ip, 0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0) return false;
  }
  sockaddr_in remote = AddressOf(options.ip, options.port);
  return connect(fd, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) == 0 ||
         errno == EINPROGRESS;
}

}  // namespace

evutil_socket_t OpenUpstreamSocket(const UpstreamSocketOptions& options) {
  evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && StartConnect(fd, options)) return fd;
  LOG_EVERY_N(WARNING, 100) << "event=connect_failed address=" << options.ip << ":" << options.port
                            << " error=\"" << std::strerror(errno) << "\"";
  if (fd >= 0) evutil_closesocket(fd);
  return -1;
}

}  // namespace guavatrail
