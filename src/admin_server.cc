#include "admin_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glog/logging.h>

#include <string_view>

namespace guavatrail {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kMaxBodyBytes = 4096;
constexpr int kMaxHeadBytes = 16'384;
// A client that neither sends nor reads for this time is disconnected.
constexpr int kTimeoutS = 60;

void Reply(evhttp_request* req, int status, const char* content_type, std::string_view body) {
  evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", content_type);
  evbuffer* out = evhttp_request_get_output_buffer(req);
  evbuffer_add(out, body.data(), body.size());
  evhttp_send_reply(req, status, nullptr, nullptr);
}

void ReplyJson(evhttp_request* req, int status, const nlohmann::json& body) {
  Reply(req, status, "application/json", body.dump() + "\n");
}

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

struct AdminServer::Impl {
  AdminCallbacks callbacks;
  struct HttpDeleter {
    void operator()(evhttp* http) const { evhttp_free(http); }
  };
  std::unique_ptr<evhttp, HttpDeleter> http;

  void Handle(evhttp_request* req);
  void HandleQuery(evhttp_request* req, std::string_view path);
  void HandleCommand(evhttp_request* req, std::string_view path);
};

void AdminServer::Impl::Handle(evhttp_request* req) {
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
  std::string_view view = path == nullptr ? "" : path;
  switch (evhttp_request_get_command(req)) {
    case EVHTTP_REQ_GET:
      HandleQuery(req, view);
      return;
    case EVHTTP_REQ_POST:
      HandleCommand(req, view);
      return;
    default:
      ReplyJson(req, kMethodNotAllowed, {{"error", "use GET or POST"}});
  }
}

void AdminServer::Impl::HandleQuery(evhttp_request* req, std::string_view path) {
  if (path == "/metrics") {
    Reply(req, kOk, "text/plain; version=0.0.4", callbacks.metrics_text());
  } else if (path == "/v1/status") {
    ReplyJson(req, kOk, callbacks.status());
  } else if (path == "/v1/members") {
    ReplyJson(req, kOk, callbacks.members());
  } else if (path == "/v1/burn") {
    ReplyJson(req, kOk, callbacks.burn());
  } else {
    ReplyJson(req, kNotFound, {{"error", "no such page"}});
  }
}

void AdminServer::Impl::HandleCommand(evhttp_request* req, std::string_view path) {
  if (path != "/v1/drain") {
    ReplyJson(req, kNotFound, {{"error", "no such command"}});
    return;
  }
  callbacks.start_drain();
  ReplyJson(req, kAccepted, callbacks.status());
}

AdminServer::AdminServer(EventLoop& loop, AdminCallbacks callbacks)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->callbacks = std::move(callbacks);
  m_impl->http.reset(evhttp_new(loop.base()));
  CHECK(m_impl->http != nullptr) << "evhttp_new failed";
  evhttp_set_max_body_size(m_impl->http.get(), kMaxBodyBytes);
  evhttp_set_max_headers_size(m_impl->http.get(), kMaxHeadBytes);
  evhttp_set_timeout(m_impl->http.get(), kTimeoutS);
  auto handler = [](evhttp_request* req, void* arg) { static_cast<Impl*>(arg)->Handle(req); };
  evhttp_set_gencb(m_impl->http.get(), handler, m_impl.get());
}

AdminServer::~AdminServer() = default;

tl::expected<void, AdminError> AdminServer::Listen(const std::string& ip, uint16_t port) {
  if (evhttp_bind_socket(m_impl->http.get(), ip.c_str(), port) != 0) {
    return tl::make_unexpected(
        AdminError{"cannot listen on admin address " + ip + ":" + std::to_string(port)});
  }
  return {};
}

}  // namespace guavatrail
