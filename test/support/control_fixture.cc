#include "control_fixture.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <array>

namespace guavatrail::test {

KeyPair MakeKeyPair() {
  constexpr size_t kZ85Size = 41;
  std::array<char, kZ85Size> public_key{};
  std::array<char, kZ85Size> secret_key{};
  CHECK_EQ(zmq_curve_keypair(public_key.data(), secret_key.data()), 0);
  return {public_key.data(), secret_key.data()};
}

uint16_t FreePort() {
  // Below the ephemeral range: outgoing connections of other tests could take an ephemeral port
  // between this check and its use, or exhaust the range.
  constexpr int kFirst = 10'000;
  constexpr int kCount = 20'000;
  constexpr int kStride = 97;  // Spreads the ports of concurrent test processes.
  static int next = getpid() * kStride;
  for (int attempt = 0; attempt < kCount; ++attempt) {
    auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) return port;
  }
  LOG(FATAL) << "no free TCP port on 127.0.0.1 from port " << kFirst;
  return 0;
}

bool RunUntil(EventLoop& loop, const std::function<bool()>& done, int64_t limit_ms) {
  int64_t end_us = EventLoop::NowUs() + limit_ms * 1000;
  Timer poll(loop, [&] { event_base_loopbreak(loop.base()); });
  while (!done() && EventLoop::NowUs() < end_us) {
    poll.Start(std::chrono::milliseconds(2));
    loop.Run();
  }
  return done();
}

TransportOptions MakeTransportOptions(const std::string& node, const KeyPair& keys) {
  return {node, "127.0.0.1", FreePort(), keys.public_key, keys.secret_key};
}

std::string AddressOf(const TransportOptions& options) {
  return options.ip + ":" + std::to_string(options.port);
}

RawPeer::RawPeer(const std::string& routing_id, const std::string& address, const KeyPair& keys,
                 const std::string& server_key)
    : m_context(zmq_ctx_new()), m_socket(zmq_socket(m_context, ZMQ_DEALER)) {
  int linger = 0;
  zmq_setsockopt(m_socket, ZMQ_LINGER, &linger, sizeof(linger));
  zmq_setsockopt(m_socket, ZMQ_ROUTING_ID, routing_id.data(), routing_id.size());
  zmq_setsockopt(m_socket, ZMQ_CURVE_SERVERKEY, server_key.data(), server_key.size());
  zmq_setsockopt(m_socket, ZMQ_CURVE_PUBLICKEY, keys.public_key.data(), keys.public_key.size());
  zmq_setsockopt(m_socket, ZMQ_CURVE_SECRETKEY, keys.secret_key.data(), keys.secret_key.size());
  CHECK_EQ(zmq_connect(m_socket, ("tcp://" + address).c_str()), 0);
}

RawPeer::~RawPeer() {
  zmq_close(m_socket);
  zmq_ctx_term(m_context);
}

void RawPeer::Send(const std::string& bytes) {
  zmq_send(m_socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT);
}

}  // namespace guavatrail::test
