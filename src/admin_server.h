// Defines AdminServer, the HTTP server through which operators query and drain a node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "burn.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_listener.h"
#include "metrics.h"
#include "pending_replies.h"
#include "port_budget.h"
#include "request_memory.h"

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

  // Must be called before Listen().
  void SetPortLimits(const PortLimits& limits) { m_listener.SetPortLimits(limits); }
  // See HttpListener.
  void SetMemory(std::shared_ptr<RequestMemory> memory) { m_listener.SetMemory(std::move(memory)); }
  void SetMetrics(Metrics& metrics) { m_listener.SetMetrics(metrics, "admin"); }

  tl::expected<void, AdminError> Listen(const std::string& ip, uint16_t port);

 private:
  void Handle(std::unique_ptr<DownstreamRequest> request);
  void HandleQuery(std::unique_ptr<DownstreamRequest> request);
  void HandleCommand(std::unique_ptr<DownstreamRequest> request);
  void ReplyJson(std::unique_ptr<DownstreamRequest> request, int status,
                 const nlohmann::json& body);

  AdminCallbacks m_callbacks;
  HttpListener m_listener;
  PendingReplies m_replies;
};

}  // namespace guavatrail
