#include "fake_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <optional>
#include <stdexcept>

namespace guavatrail {

namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

std::string HeaderOf(std::string_view message, std::string_view name) {
  size_t end = message.find("\r\n\r\n");
  size_t line = message.find("\r\n");
  while (line != std::string_view::npos && line < end) {
    line += 2;
    size_t next = message.find("\r\n", line);
    std::string_view text = message.substr(line, next - line);
    if (text.size() > name.size() && text[name.size()] == ':' &&
        strncasecmp(text.data(), name.data(), name.size()) == 0) {
      std::string_view value = text.substr(name.size() + 1);
      while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
      return std::string(value);
    }
    line = next;
  }
  return "";
}

// Returns a socket that is bound to the port, or -1 if the port is in use.
int BindLoopback(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(static_cast<uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

// Joins the chunks of `text`. Returns nullopt if the last chunk is missing.
std::optional<std::string> JoinChunks(std::string_view text) {
  std::string body;
  while (true) {
    size_t line = text.find("\r\n");
    if (line == std::string_view::npos) return std::nullopt;
    size_t size = std::stoul(std::string(text.substr(0, line)), nullptr, 16);
    if (text.size() < line + 2 + size + 2) return std::nullopt;
    if (size == 0) return body;
    body.append(text.substr(line + 2, size));
    text.remove_prefix(line + 2 + size + 2);
  }
}

std::optional<std::string> WholeBody(std::string_view message) {
  size_t end = message.find("\r\n\r\n");
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view rest = message.substr(end + 4);
  if (HeaderOf(message, "Transfer-Encoding") == "chunked") return JoinChunks(rest);
  std::string length = HeaderOf(message, "Content-Length");
  if (length.empty() && message.starts_with("HTTP/")) {
    bool has_no_body = message.find(" 304 ") < end || message.find(" 204 ") < end;
    return has_no_body ? std::optional<std::string>("") : std::nullopt;
  }
  size_t size = length.empty() ? 0 : std::stoul(length);
  if (rest.size() < size) return std::nullopt;
  return std::string(rest.substr(0, size));
}

}  // namespace

FakeConnection::FakeConnection(EventLoop& loop, int fd, int number)
    : m_bev(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)), m_number(number) {
  bufferevent_setcb(m_bev, &OnRead, &OnWrite, &OnEvent, this);
  bufferevent_enable(m_bev, EV_READ | EV_WRITE);
}

FakeConnection::~FakeConnection() {
  if (m_bev != nullptr) bufferevent_free(m_bev);
}

void FakeConnection::Send(std::string_view bytes) {
  if (m_bev != nullptr) bufferevent_write(m_bev, bytes.data(), bytes.size());
}

void FakeConnection::Reset() {
  if (m_bev == nullptr) return;
  linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(m_bev), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  bufferevent_free(m_bev);
  m_bev = nullptr;
}

void FakeConnection::Close() {
  m_closing = true;
  if (m_bev != nullptr && unsent_bytes() == 0) OnWrite(m_bev, this);
}

void FakeConnection::StopReading() { bufferevent_disable(m_bev, EV_READ); }

size_t FakeConnection::unsent_bytes() const {
  return m_bev == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(m_bev));
}

void FakeConnection::OnRead(bufferevent* bev, void* arg) {
  auto* self = static_cast<FakeConnection*>(arg);
  evbuffer* input = bufferevent_get_input(bev);
  while (self->m_bev != nullptr) {
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    std::optional<std::string> body = WholeBody(text);
    if (!body) return;
    text.resize(text.find("\r\n\r\n") + 4 + body->size());
    evbuffer_drain(input, text.size());
    self->m_on_request(*self, text);
  }
}

void FakeConnection::OnWrite(bufferevent* bev, void* arg) {
  auto* self = static_cast<FakeConnection*>(arg);
  if (!self->m_closing) return;
  self->m_bev = nullptr;
  bufferevent_free(bev);
}

void FakeConnection::OnEvent(bufferevent* bev, short what, void* arg) {
  auto* self = static_cast<FakeConnection*>(arg);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  self->m_peer_closed = true;
  self->m_bev = nullptr;
  bufferevent_free(bev);
}

FakeServer::FakeServer(EventLoop& loop, Handler handler, uint16_t port)
    : m_loop(loop), m_handler(std::move(handler)) {
  // As in the programs: a write to a closed connection must fail instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  Listen(port);
}

void FakeServer::Listen(uint16_t port) {
  sockaddr_in address = Loopback(port);
  m_listener = evconnlistener_new_bind(m_loop.base(), &OnAccept, this,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                       reinterpret_cast<sockaddr*>(&address), sizeof(address));
  CHECK(m_listener != nullptr) << "FakeServer: cannot listen on 127.0.0.1:" << port;
  m_port = PortOf(evconnlistener_get_fd(m_listener));
}

void FakeServer::Crash() {
  evconnlistener_free(m_listener);
  m_listener = nullptr;
  for (auto& connection : m_connections) connection->Reset();
}

void FakeServer::Restart() { Listen(m_port); }

FakeConnection* FakeServer::Find(int number) {
  auto it = std::find_if(m_connections.begin(), m_connections.end(),
                         [number](const auto& c) { return c->number() == number; });
  return it == m_connections.end() ? nullptr : it->get();
}

FakeServer::~FakeServer() {
  if (m_listener != nullptr) evconnlistener_free(m_listener);
}

void FakeServer::OnAccept(evconnlistener*, int fd, sockaddr*, int, void* arg) {
  auto* self = static_cast<FakeServer*>(arg);
  self->m_connections.push_back(
      std::make_unique<FakeConnection>(self->m_loop, fd, self->connections() + 1));
  self->m_connections.back()->m_on_request = [self](FakeConnection& connection,
                                                    const std::string& request) {
    ++self->m_requests;
    self->m_handler(connection, request);
  };
}

uint16_t UnusedPort() {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  CHECK(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

uint16_t FreeFixedPort() {
  // Each process takes its ports from blocks of its own, which it claims by holding the first port
  // of the block. A port of a node that is down would otherwise seem free to another process.
  constexpr int kFirstPort = 20'000;
  constexpr int kBlockPorts = 100;
  constexpr int kBlocks = 120;
  static int block = getpid() % kBlocks;
  static int next = kBlockPorts;
  for (int i = 0; i < kBlocks * kBlockPorts; ++i) {
    if (next == kBlockPorts) {
      block = (block + 1) % kBlocks;
      // Stays open until the process ends.
      if (BindLoopback(kFirstPort + block * kBlockPorts) < 0) continue;
      next = 1;
    }
    int port = kFirstPort + block * kBlockPorts + next++;
    int fd = BindLoopback(port);
    if (fd < 0) continue;
    close(fd);
    return static_cast<uint16_t>(port);
  }
  return 0;
}

std::string MakeAnswer(int status, std::string_view body, std::string_view headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  text.append(headers);
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

FakeClient::FakeClient(EventLoop& loop, uint16_t port)
    : m_bev(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  sockaddr_in address = Loopback(port);
  bufferevent_setcb(m_bev, &OnRead, nullptr, &OnEvent, this);
  bufferevent_enable(m_bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect(m_bev, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

FakeClient::~FakeClient() { Close(); }

void FakeClient::Close() {
  if (m_bev != nullptr) bufferevent_free(m_bev);
  m_bev = nullptr;
}

void FakeClient::Send(std::string_view bytes) {
  if (m_bev != nullptr) bufferevent_write(m_bev, bytes.data(), bytes.size());
}

void FakeClient::SendBlocking(std::string_view bytes) {
  ssize_t sent = send(bufferevent_getfd(m_bev), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(bytes.size())) throw std::runtime_error("short write");
}

void FakeClient::CloseSending() { shutdown(bufferevent_getfd(m_bev), SHUT_WR); }

void FakeClient::PauseReading() { bufferevent_disable(m_bev, EV_READ); }
void FakeClient::ResumeReading() { bufferevent_enable(m_bev, EV_READ); }

void FakeClient::OnRead(bufferevent* bev, void* arg) {
  auto* self = static_cast<FakeClient*>(arg);
  evbuffer* input = bufferevent_get_input(bev);
  size_t old = self->m_received.size();
  self->m_received.resize(old + evbuffer_get_length(input));
  evbuffer_remove(input, self->m_received.data() + old, self->m_received.size() - old);
}

void FakeClient::OnEvent(bufferevent*, short what, void* arg) {
  auto* self = static_cast<FakeClient*>(arg);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  self->m_closed = true;
  self->m_reset = (what & BEV_EVENT_ERROR) != 0 && errno == ECONNRESET;
}

bool FakeClient::HasCompleteAnswer() const { return WholeBody(m_received).has_value(); }

int FakeClient::status() const {
  size_t space = m_received.find(' ');
  return m_received.find("\r\n\r\n") == std::string::npos ? 0 : std::stoi(m_received.substr(space));
}

std::string FakeClient::header(std::string_view name) const { return HeaderOf(m_received, name); }

std::string FakeClient::body() const { return WholeBody(m_received).value_or(""); }

std::string HeaderIn(std::string_view request, std::string_view name) {
  std::string start = "\r\n" + std::string(name) + ": ";
  size_t at = request.find(start);
  if (at == std::string_view::npos) return "";
  at += start.size();
  return std::string(request.substr(at, request.find("\r\n", at) - at));
}

std::string MakeRequest(const std::string& method, const std::string& path,
                        const std::string& headers, const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers;
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace guavatrail
