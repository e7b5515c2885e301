// Defines CrashDetector, which tells a crash of the backend server from other causes for which a
// request breaks off, such as a lost answer or a connection that the server closes when it is full.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connect_probe.h"
#include "server_registry.h"

namespace guavatrail {

struct RunningRequest {
  uint64_t id = 0;
  int64_t start_us = 0;
  std::string fingerprint;
  std::string family;     // Its family fingerprint.
  bool is_trial = false;  // A trial of its quarantine.
};

// A server has crashed if a request breaks off, no other request goes on running, and nothing
// listens at its address any more.
class CrashDetector {
 public:
  // The requests that were running and have not been answered.
  using Handler =
      std::function<void(const ServerLifetime& server, const std::vector<RunningRequest>& running)>;

  CrashDetector(EventLoop& loop, std::string ip, uint16_t port,
                std::function<bool(uint64_t id)> is_running, Handler handler);

  bool is_checking() const { return m_probe != nullptr; }
  // A request to `server` has broken off. `running` are all that were running, including it.
  void OnBrokenOff(const ServerLifetime& server, std::vector<RunningRequest> running);
  // The server has answered a request, which may have been running when another broke off.
  void OnAnswered(uint64_t id);

 private:
  void OnProbed(ConnectProbe::Result result);

  EventLoop& m_loop;
  std::string m_ip;
  uint16_t m_port;
  std::function<bool(uint64_t)> m_is_running;
  Handler m_handler;
  ServerLifetime m_server;
  std::vector<RunningRequest> m_running;  // When the first request broke off.
  std::unique_ptr<ConnectProbe> m_probe;
};

}  // namespace guavatrail
