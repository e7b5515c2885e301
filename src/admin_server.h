// Defines AdminServer, the HTTP server through which operators query and drain a node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

#include "burn.h"
#include "event_loop.h"
#include "metrics.h"

namespace guavatrail {

// Callbacks that implement the admin endpoints.
struct AdminCallbacks {
  std::function<std::string()> metrics_text;
  std::function<nlohmann::json()> status;
  std::function<nlohmann::json()> members;
  std::function<nlohmann::json()> burn;
  std::function<void()> start_drain;
};

// Returns callbacks with metrics_text and burn set and the others empty. `metrics` and `burn` must
// outlive the callbacks.
AdminCallbacks MetricsCallbacks(const Metrics& metrics, const BurnRecorder& burn, std::string node);

struct AdminError {
  std::string message;
};

class AdminServer {
 public:
  AdminServer(EventLoop& loop, AdminCallbacks callbacks);
  ~AdminServer();

  tl::expected<void, AdminError> Listen(const std::string& ip, uint16_t port);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
