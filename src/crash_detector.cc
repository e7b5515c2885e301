#include "crash_detector.h"

#include <glog/logging.h>

#include <algorithm>

namespace guavatrail {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{500};

}  // namespace

CrashDetector::CrashDetector(EventLoop& loop, std::string ip, uint16_t port,
                             std::function<bool(uint64_t id)> is_running, Handler handler)
    : m_loop(loop),
      m_ip(std::move(ip)),
      m_port(port),
      m_is_running(std::move(is_running)),
      m_handler(std::move(handler)) {}

// All requests break off when the server crashes; the first one starts the check.
void CrashDetector::OnBrokenOff(const ServerLifetime& server, std::vector<RunningRequest> running) {
  if (is_checking()) return;
  m_server = server;
  m_running = std::move(running);
  m_probe =
      std::make_unique<ConnectProbe>(m_loop, m_ip, m_port, kProbeTimeout,
                                     [this](ConnectProbe::Result result) { OnProbed(result); });
}

void CrashDetector::OnAnswered(uint64_t id) {
  std::erase_if(m_running, [id](const RunningRequest& request) { return request.id == id; });
}

void CrashDetector::OnProbed(ConnectProbe::Result result) {
  std::unique_ptr<ConnectProbe> probe = std::move(m_probe);
  std::vector<RunningRequest> running = std::move(m_running);
  m_running.clear();
  auto still_running = std::count_if(running.begin(), running.end(), [this](const auto& request) {
    return m_is_running(request.id);
  });
  bool is_refused = result == ConnectProbe::Result::kRefused;
  if (!is_refused || still_running > 0) {
    LOG(INFO) << "event=no_server_crash server=" << m_server.id << " running=" << running.size()
              << " still_running=" << still_running << " connection_refused=" << is_refused;
    return;
  }
  LOG(WARNING) << "event=server_crashed server=" << m_server.id
               << " started_ms=" << m_server.started_ms << " running=" << running.size();
  m_handler(m_server, running);
}

}  // namespace guavatrail
