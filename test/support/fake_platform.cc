#include "fake_platform.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>

namespace guavatrail {

namespace {

constexpr std::string_view kObjects = "/v1/objects";

std::string Header(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::string Body(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

std::string Query(evhttp_request* request, const char* name) {
  const char* text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  if (text == nullptr) return "";
  evkeyvalq query{};
  evhttp_parse_query_str(text, &query);
  const char* value = evhttp_find_header(&query, name);
  std::string result = value == nullptr ? "" : value;
  evhttp_clear_headers(&query);
  return result;
}

std::string Decode(const std::string& text) {
  std::unique_ptr<char, decltype(&free)> decoded(evhttp_uridecode(text.c_str(), 0, nullptr), &free);
  return decoded.get();
}

// Binds to an ephemeral port. This fails while closed connections of other tests occupy the whole
// ephemeral range; ports below that range are then tried, starting at one that depends on the
// process id.
evhttp_bound_socket* Bind(evhttp* http) {
  constexpr int kFirstPort = 20'000;
  constexpr int kPorts = 12'000;
  constexpr int kAttempts = 100;
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
  for (int i = 0; socket == nullptr && i < kAttempts; ++i) {
    int port = kFirstPort + (getpid() * 7 + i) % kPorts;
    socket = evhttp_bind_socket_with_handle(http, "127.0.0.1", static_cast<uint16_t>(port));
  }
  return socket;
}

}  // namespace

FakePlatform::FakePlatform(EventLoop& loop) : m_loop(loop), m_http(evhttp_new(loop.base())) {
  evhttp_set_gencb(m_http, &FakePlatform::OnRequest, this);
  evhttp_bound_socket* socket = Bind(m_http);
  CHECK(socket != nullptr) << "FakePlatform: cannot listen on 127.0.0.1";
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &length);
  m_port = ntohs(address.sin_port);
}

FakePlatform::~FakePlatform() {
  m_timers.clear();
  m_watches.clear();
  evhttp_free(m_http);
}

std::optional<std::string> FakePlatform::Value(const std::string& key) const {
  auto it = m_objects.find(key);
  if (it == m_objects.end()) return std::nullopt;
  return it->second.back();
}

uint64_t FakePlatform::Version(const std::string& key) const {
  auto it = m_objects.find(key);
  return it == m_objects.end() ? 0 : it->second.size();
}

void FakePlatform::Put(const std::string& key, const std::string& value) {
  m_objects[key].push_back(value);
  CompleteWatches(key);
}

uint64_t FakePlatform::Requests(const std::string& key) const {
  auto it = m_requests_by_key.find(key);
  return it == m_requests_by_key.end() ? 0 : it->second;
}

void FakePlatform::OnRequest(evhttp_request* request, void* self) {
  static_cast<FakePlatform*>(self)->Handle(request);
}

void FakePlatform::Handle(evhttp_request* request) {
  ++m_requests;
  std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  bool is_read = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
  if (path == kObjects) return HandleList(request, Query(request, "prefix"));
  std::string key = Decode(path.substr(kObjects.size() + 1));
  ++m_requests_by_key[key];
  Fault fault = m_rule ? m_rule(is_read ? "GET" : "PUT", key) : Fault::kNone;
  if (fault == Fault::kUnavailable) return Answer(request, 503, "", 0);
  if (fault == Fault::kRequestLost) return Drop(request);
  if (is_read) return HandleRead(request, key, fault);
  HandleWrite(request, key, fault);
}

void FakePlatform::HandleRead(evhttp_request* request, const std::string& key, Fault fault) {
  if (fault == Fault::kAnswerLost || fault == Fault::kWriteDelayed) return Drop(request);
  uint64_t version = Version(key);
  std::string after = Query(request, "after");
  if (!after.empty() && fault != Fault::kStale && version <= std::stoull(after)) {
    return AddWatch(request, key, std::stoull(after), std::stoll(Query(request, "wait_ms")));
  }
  if (fault == Fault::kStale && version > 0) --version;
  if (version == 0) return Answer(request, 404, "", 0);
  Answer(request, 200, m_objects[key][version - 1], version);
}

void FakePlatform::AddWatch(evhttp_request* request, const std::string& key, uint64_t after,
                            int64_t wait_ms) {
  auto watch = std::make_unique<Watch>();
  watch->request = request;
  watch->key = key;
  watch->after = after;
  watch->expiry = std::make_unique<Timer>(m_loop, [this, request] {
    RemoveWatch(request);
    Answer(request, 304, "", 0);
  });
  watch->expiry->Start(std::chrono::milliseconds(wait_ms));
  // evhttp frees the request when the client disconnects.
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      [](evhttp_connection* connection, void* self) {
        auto& watches = static_cast<FakePlatform*>(self)->m_watches;
        std::erase_if(watches, [&](const auto& w) {
          return evhttp_request_get_connection(w->request) == connection;
        });
      },
      this);
  m_watches.push_back(std::move(watch));
}

void FakePlatform::RemoveWatch(evhttp_request* request) {
  std::erase_if(m_watches, [&](const auto& w) { return w->request == request; });
}

void FakePlatform::CompleteWatches(const std::string& key) {
  std::vector<evhttp_request*> ready;
  for (const auto& watch : m_watches) {
    if (watch->key == key && Version(key) > watch->after) ready.push_back(watch->request);
  }
  for (evhttp_request* request : ready) {
    RemoveWatch(request);
    Answer(request, 200, m_objects[key].back(), Version(key));
  }
}

void FakePlatform::HandleWrite(evhttp_request* request, const std::string& key, Fault fault) {
  std::string value = Body(request);
  std::string if_match = Header(request, "If-Match");
  std::string if_none_match = Header(request, "If-None-Match");
  if (fault == Fault::kWriteDelayed) {
    After(write_delay, [=, this] { Write(key, value, if_match, if_none_match); });
    return Drop(request);
  }
  int status = Write(key, value, if_match, if_none_match);
  if (fault == Fault::kAnswerLost) return Drop(request);
  Answer(request, status, "", Version(key));
}

int FakePlatform::Write(const std::string& key, const std::string& value,
                        const std::string& if_match, const std::string& if_none_match) {
  constexpr size_t kValueLimit = 1'000'000;
  if (value.size() > kValueLimit) return 413;
  uint64_t version = Version(key);
  if (if_none_match == "*") {
    if (version > 0) return 412;
    Put(key, value);
    return 201;
  }
  if (version == 0 || if_match != "\"" + std::to_string(version) + "\"") return 412;
  Put(key, value);
  return 200;
}

void FakePlatform::HandleList(evhttp_request* request, const std::string& prefix) {
  std::string body;
  for (const auto& [key, versions] : m_objects) {
    if (key.starts_with(prefix)) body += key + "\n";
  }
  Answer(request, 200, body, 0);
}

void FakePlatform::Answer(evhttp_request* request, int status, const std::string& body,
                          uint64_t version) {
  if (version > 0) {
    std::string tag = "\"" + std::to_string(version) + "\"";
    evhttp_add_header(evhttp_request_get_output_headers(request), "ETag", tag.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void FakePlatform::Drop(evhttp_request* request) {
  // evhttp does not allow a connection to be freed inside the callback of its request.
  evhttp_connection* connection = evhttp_request_get_connection(request);
  After(std::chrono::microseconds(0), [connection] { evhttp_connection_free(connection); });
}

void FakePlatform::After(std::chrono::microseconds delay, std::function<void()> action) {
  m_timers.push_back(std::make_unique<Timer>(m_loop, std::move(action)));
  m_timers.back()->Start(delay);
}

}  // namespace guavatrail
