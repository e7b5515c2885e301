#include "admin_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glog/logging.h>

#include <functional>
#include <memory>

#include "parse_number.h"

namespace guavatrail {

namespace {

constexpr size_t kMaxOpenRequests = 64;
constexpr int kMultipleChoices = 300;

AdminReply ParseReply(evhttp_request* req) {
  if (req == nullptr || evhttp_request_get_response_code(req) == 0) {
    return tl::make_unexpected(AdminClientError{"no answer"});
  }
  int status = evhttp_request_get_response_code(req);
  if (status >= kMultipleChoices) {
    return tl::make_unexpected(AdminClientError{"answered with status " + std::to_string(status)});
  }
  evbuffer* input = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) return tl::make_unexpected(AdminClientError{"answer is not JSON"});
  return json;
}

// Sends the same request to a list of addresses with bounded concurrency.
class Batch {
 public:
  Batch(EventLoop& loop, const std::vector<AdminAddress>& addresses, evhttp_cmd_type method,
        std::string path, std::chrono::milliseconds timeout)
      : m_loop(loop),
        m_addresses(addresses),
        m_method(method),
        m_path(std::move(path)),
        m_timeout(timeout),
        m_replies(addresses.size(),
                  AdminReply(tl::make_unexpected(AdminClientError{"request was not sent"}))) {}

  std::vector<AdminReply> Run() {
    StartMore();
    if (m_open > 0) m_loop.Run();
    return std::move(m_replies);
  }

 private:
  struct Request {
    Batch* batch;
    size_t index;
    evhttp_connection* connection;
  };

  void StartMore() {
    while (m_open < kMaxOpenRequests && m_next < m_addresses.size()) Start(m_next++);
  }

  void Start(size_t index) {
    const AdminAddress& address = m_addresses[index];
    evhttp_connection* connection =
        evhttp_connection_base_new(m_loop.base(), nullptr, address.ip.c_str(), address.port);
    CHECK(connection != nullptr) << "evhttp_connection_base_new failed";
    timeval timeout{};
    timeout.tv_sec = m_timeout.count() / 1000;
    timeout.tv_usec = m_timeout.count() % 1000 * 1000;
    evhttp_connection_set_timeout_tv(connection, &timeout);
    auto* request = new Request{this, index, connection};
    evhttp_request* req = evhttp_request_new(&Batch::OnDone, request);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Host", address.ip.c_str());
    evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
    ++m_open;
    evhttp_make_request(connection, req, m_method, m_path.c_str());
  }

  static void OnDone(evhttp_request* req, void* arg) {
    std::unique_ptr<Request> request(static_cast<Request*>(arg));
    Batch& batch = *request->batch;
    batch.m_replies[request->index] = ParseReply(req);
    evhttp_connection_free_on_completion(request->connection);
    --batch.m_open;
    batch.StartMore();
    if (batch.m_open == 0) batch.m_loop.Stop();
  }

  EventLoop& m_loop;
  const std::vector<AdminAddress>& m_addresses;
  evhttp_cmd_type m_method;
  std::string m_path;
  std::chrono::milliseconds m_timeout;
  std::vector<AdminReply> m_replies;
  size_t m_open = 0;
  size_t m_next = 0;
};

}  // namespace

tl::expected<AdminAddress, std::string> ParseAdminAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  AdminAddress address;
  if (colon == std::string_view::npos || colon == 0) {
    return tl::make_unexpected("found \"" + std::string(text) + "\", allowed is IP:PORT");
  }
  address.ip = text.substr(0, colon);
  address.port = ParseNumber<uint16_t>(text.substr(colon + 1)).value_or(0);
  if (address.port == 0) {
    return tl::make_unexpected("found \"" + std::string(text) + "\", allowed is IP:PORT");
  }
  return address;
}

std::vector<AdminReply> GetFromAll(EventLoop& loop, const std::vector<AdminAddress>& addresses,
                                   const std::string& path, std::chrono::milliseconds timeout) {
  return Batch(loop, addresses, EVHTTP_REQ_GET, path, timeout).Run();
}

AdminReply GetFrom(EventLoop& loop, const AdminAddress& address, const std::string& path,
                   std::chrono::milliseconds timeout) {
  std::vector<AdminAddress> addresses{address};
  return Batch(loop, addresses, EVHTTP_REQ_GET, path, timeout).Run().front();
}

AdminReply PostTo(EventLoop& loop, const AdminAddress& address, const std::string& path,
                  std::chrono::milliseconds timeout) {
  std::vector<AdminAddress> addresses{address};
  return Batch(loop, addresses, EVHTTP_REQ_POST, path, timeout).Run().front();
}

}  // namespace guavatrail
