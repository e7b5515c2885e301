#include "connect_probe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

namespace guavatrail {

ConnectProbe::ConnectProbe(EventLoop& loop, const std::string& ip, uint16_t port,
                           std::chrono::milliseconds timeout, Handler handler)
    : m_handler(std::move(handler)),
      m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      m_timer(loop, [this] { Finish(); }) {
  m_timer.Start(timeout);
  if (m_fd < 0) return;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  int result = connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result == 0 || errno != EINPROGRESS) {
    OnConnect(result == 0 ? 0 : errno);
    return;
  }
  m_event.reset(event_new(loop.base(), m_fd, EV_WRITE, &ConnectProbe::OnWritable, this));
  event_add(m_event.get(), nullptr);
}

ConnectProbe::~ConnectProbe() {
  m_event.reset();
  if (m_fd >= 0) evutil_closesocket(m_fd);
}

void ConnectProbe::OnWritable(evutil_socket_t fd, short /*what*/, void* arg) {
  int error = 0;
  socklen_t length = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0) error = errno;
  static_cast<ConnectProbe*>(arg)->OnConnect(error);
}

// The handler is called from the timer, since this may run in the constructor.
void ConnectProbe::OnConnect(int error) {
  if (error == 0) m_result = Result::kConnected;
  if (error == ECONNREFUSED || error == ECONNRESET) m_result = Result::kRefused;
  m_timer.Start(std::chrono::milliseconds(0));
}

// Moves the handler out, since it may destroy the probe.
void ConnectProbe::Finish() {
  Handler handler = std::move(m_handler);
  handler(m_result);
}

}  // namespace guavatrail
