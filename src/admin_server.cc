#include "admin_server.h"

#include "http_headers.h"

namespace guavatrail {

namespace {

constexpr int kAccepted = 202;
constexpr int kMethodNotAllowed = 405;
constexpr HttpLimits kLimits = {.max_head_bytes = 16'384,
                                .max_body_bytes = 4'096,
                                .read_timeout = std::chrono::milliseconds(60'000),
                                .idle_timeout = std::chrono::milliseconds(60'000)};

}  // namespace

AdminCallbacks MetricsCallbacks(const Metrics& metrics, const BurnRecorder& burn,
                                std::string node) {
  AdminCallbacks callbacks;
  callbacks.metrics_text = [&metrics] { return metrics.Text(); };
  callbacks.burn = [&burn, node = std::move(node)] {
    return nlohmann::json::parse(ToJson(burn.Snapshot(node, EventLoop::NowUs())));
  };
  return callbacks;
}

AdminServer::AdminServer(EventLoop& loop, AdminCallbacks callbacks)
    : m_callbacks(std::move(callbacks)),
      m_listener(loop, [this](auto request) { Handle(std::move(request)); }),
      m_replies(loop) {
  m_listener.SetLimits(kLimits);
}

tl::expected<void, AdminError> AdminServer::Listen(const std::string& ip, uint16_t port) {
  auto listening = m_listener.Listen(ip, port);
  if (!listening) return tl::make_unexpected(AdminError{"admin port: " + listening.error()});
  return {};
}

void AdminServer::Handle(std::unique_ptr<DownstreamRequest> request) {
  switch (request->method()) {
    case EVHTTP_REQ_GET:
      HandleQuery(std::move(request));
      return;
    case EVHTTP_REQ_POST:
      HandleCommand(std::move(request));
      return;
    default:
      ReplyJson(std::move(request), kMethodNotAllowed, {{"error", "use GET or POST"}});
  }
}

void AdminServer::HandleQuery(std::unique_ptr<DownstreamRequest> request) {
  std::string_view path = request->path();
  if (path == "/metrics") {
    const HeaderList headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    m_replies.ReplyIfItFits(std::move(request), headers, m_callbacks.metrics_text());
  } else if (path == "/v1/status") {
    ReplyJson(std::move(request), kHttpOk, m_callbacks.status());
  } else if (path == "/v1/members") {
    ReplyJson(std::move(request), kHttpOk, m_callbacks.members());
  } else if (path == "/v1/burn") {
    ReplyJson(std::move(request), kHttpOk, m_callbacks.burn());
  } else {
    ReplyJson(std::move(request), kHttpNotFound, {{"error", "no such page"}});
  }
}

void AdminServer::HandleCommand(std::unique_ptr<DownstreamRequest> request) {
  if (request->path() != "/v1/drain") {
    ReplyJson(std::move(request), kHttpNotFound, {{"error", "no such command"}});
    return;
  }
  m_callbacks.start_drain();
  ReplyJson(std::move(request), kAccepted, m_callbacks.status());
}

void AdminServer::ReplyJson(std::unique_ptr<DownstreamRequest> request, int status,
                            const nlohmann::json& body) {
  const HeaderList headers = {{"Content-Type", "application/json"}};
  m_replies.Reply(std::move(request), status, headers, body.dump() + "\n");
}

}  // namespace guavatrail
