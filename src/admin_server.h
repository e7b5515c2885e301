// Defines AdminServer, the HTTP port on which operators read a node's state and ask it to drain.
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

// What the server reads and asks of the node.
struct AdminHooks {
  std::function<std::string()> metrics_text;
  std::function<nlohmann::json()> status;
  std::function<nlohmann::json()> members;
  std::function<nlohmann::json()> burn;
  std::function<void()> start_drain;
};

// Hooks that tell the metrics and the burn of the node; the others are empty. Both are used as long
// as the hooks are.
AdminHooks MeasureHooks(const Metrics& metrics, const BurnRecorder& burn, std::string node);

struct AdminError {
  std::string message;
};

class AdminServer {
 public:
  AdminServer(EventLoop& loop, AdminHooks hooks);
  ~AdminServer();

  tl::expected<void, AdminError> Listen(const std::string& ip, uint16_t port);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
