#include "platform_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>

namespace guavatrail {

namespace {

constexpr std::string_view kObjectPath = "/v1/objects/";
constexpr std::string_view kListPath = "/v1/objects?prefix=";

enum Status {
  kOk = 200,
  kCreated = 201,
  kNotModified = 304,
  kNotFound = 404,
  kPreconditionFailed = 412,
  kPayloadTooLarge = 413,
  kTooManyRequests = 429,
  kServiceUnavailable = 503,
};

std::string UriEncode(std::string_view text) {
  std::unique_ptr<char, decltype(&free)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &free);
  return encoded == nullptr ? std::string() : std::string(encoded.get());
}

uint64_t ParseVersion(const char* text) {
  uint64_t version = 0;
  if (text != nullptr) {
    std::string_view digits(text);
    if (!digits.empty() && digits.front() == '"') digits.remove_prefix(1);
    std::from_chars(digits.data(), digits.data() + digits.size(), version);
  }
  return version;
}

std::string Quoted(uint64_t version) { return "\"" + std::to_string(version) + "\""; }

PlatformError ErrorOf(int status) {
  using Code = PlatformError::Code;
  std::string message = "platform answered with HTTP status " + std::to_string(status);
  switch (status) {
    case kNotFound:
      return {Code::kNotFound, message};
    case kPreconditionFailed:
      return {Code::kConflict, message};
    case kPayloadTooLarge:
      return {Code::kTooLarge, message};
    case kTooManyRequests:
    case kServiceUnavailable:
      return {Code::kUnavailable, message};
    default:
      return {Code::kUnknown, message};
  }
}

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    size_t end = text.find('\n');
    if (end == std::string_view::npos) end = text.size();
    if (end > 0) lines.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

}  // namespace

struct PlatformClient::Reply {
  int status = 0;
  std::string body;
  uint64_t version = 0;
};

struct PlatformClient::Request {
  PlatformClient* client = nullptr;
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string uri;
  std::string body;
  std::string if_match;
  std::string if_none_match;
  std::chrono::milliseconds timeout{0};
  std::function<void(tl::expected<Reply, PlatformError>)> done;
  evhttp_connection* connection = nullptr;

  void Finish(tl::expected<Reply, PlatformError> result);
  static void OnDone(evhttp_request* req, void* arg);
};

void PlatformClient::Request::Finish(tl::expected<Reply, PlatformError> result) {
  auto& open = client->m_open;
  open.erase(std::remove(open.begin(), open.end(), this), open.end());
  std::unique_ptr<Request> self(this);
  if (connection != nullptr) client->Discard(connection);
  self->done(std::move(result));
}

void PlatformClient::Request::OnDone(evhttp_request* req, void* arg) {
  auto* self = static_cast<Request*>(arg);
  if (req == nullptr || evhttp_request_get_response_code(req) == 0) {
    // The request may have reached the platform, so whether a write took effect is unknown.
    self->Finish(tl::make_unexpected(
        PlatformError{PlatformError::Code::kUnknown, "no answer from the platform"}));
    return;
  }
  Reply reply;
  reply.status = evhttp_request_get_response_code(req);
  evbuffer* input = evhttp_request_get_input_buffer(req);
  reply.body.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, reply.body.data(), reply.body.size());
  reply.version = ParseVersion(evhttp_find_header(evhttp_request_get_input_headers(req), "ETag"));
  self->Finish(std::move(reply));
}

std::string_view ToString(PlatformError::Code code) {
  switch (code) {
    case PlatformError::Code::kNotFound:
      return "not_found";
    case PlatformError::Code::kConflict:
      return "conflict";
    case PlatformError::Code::kTooLarge:
      return "too_large";
    case PlatformError::Code::kHistoryGone:
      return "history_gone";
    case PlatformError::Code::kUnavailable:
      return "unavailable";
    case PlatformError::Code::kUnknown:
      return "unknown";
  }
  return "unknown";
}

PlatformClient::PlatformClient(EventLoop& loop, Options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_free_discarded(loop, [this] { FreeDiscarded(); }) {}

PlatformClient::~PlatformClient() {
  std::vector<Request*> open;
  open.swap(m_open);
  for (Request* request : open) {
    // libevent frees the requests of a connection without calling their handlers.
    std::unique_ptr<Request> owned(request);
    evhttp_connection_free(owned->connection);
  }
  FreeDiscarded();
}

// evhttp_connection_free_on_completion() cannot be used: it has no effect once the callback of the
// last request runs, and never when the connection was refused.
void PlatformClient::Discard(evhttp_connection* connection) {
  m_discarded.push_back(connection);
  m_free_discarded.Start(std::chrono::microseconds(0));
}

void PlatformClient::FreeDiscarded() {
  for (evhttp_connection* connection : m_discarded) evhttp_connection_free(connection);
  m_discarded.clear();
}

void PlatformClient::Send(std::unique_ptr<Request> request) {
  ++m_calls;
  request->client = this;
  // Connections are not reused: an open connection may have become silent, and the next request on
  // it would wait for its whole timeout.
  request->connection =
      evhttp_connection_base_new(m_loop.base(), nullptr, m_options.ip.c_str(), m_options.port);
  CHECK(request->connection != nullptr) << "evhttp_connection_base_new failed";
  timeval timeout{};
  timeout.tv_sec = request->timeout.count() / 1000;
  timeout.tv_usec = request->timeout.count() % 1000 * 1000;
  evhttp_connection_set_timeout_tv(request->connection, &timeout);
  evhttp_request* req = evhttp_request_new(&Request::OnDone, request.get());
  evkeyvalq* headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Host", m_options.ip.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (!request->if_match.empty()) {
    evhttp_add_header(headers, "If-Match", request->if_match.c_str());
  }
  if (!request->if_none_match.empty()) {
    evhttp_add_header(headers, "If-None-Match", request->if_none_match.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(req), request->body.data(), request->body.size());
  Request* raw = request.release();
  m_open.push_back(raw);
  evhttp_make_request(raw->connection, req, raw->method, raw->uri.c_str());
}

void PlatformClient::Read(std::string_view key, Handler<PlatformObject> handler) {
  auto request = std::make_unique<Request>();
  request->uri = std::string(kObjectPath) + UriEncode(key);
  request->timeout = m_options.timeout;
  request->done = [key = std::string(key),
                   handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    if (!reply) {
      handler(tl::make_unexpected(reply.error()));
    } else if (reply->status != kOk) {
      handler(tl::make_unexpected(ErrorOf(reply->status)));
    } else {
      handler(PlatformObject{key, std::move(reply->body), reply->version});
    }
  };
  Send(std::move(request));
}

void PlatformClient::Watch(std::string_view key, uint64_t after, std::chrono::milliseconds wait,
                           Handler<std::optional<PlatformObject>> handler) {
  auto request = std::make_unique<Request>();
  request->uri = std::string(kObjectPath) + UriEncode(key) + "?after=" + std::to_string(after) +
                 "&wait_ms=" + std::to_string(wait.count());
  request->timeout = m_options.timeout + wait;
  request->done = [key = std::string(key),
                   handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    if (!reply) {
      handler(tl::make_unexpected(reply.error()));
    } else if (reply->status == kNotModified) {
      handler(std::optional<PlatformObject>());
    } else if (reply->status != kOk) {
      handler(tl::make_unexpected(ErrorOf(reply->status)));
    } else {
      handler(std::optional<PlatformObject>({key, std::move(reply->body), reply->version}));
    }
  };
  Send(std::move(request));
}

void PlatformClient::List(std::string_view prefix, Handler<std::vector<std::string>> handler) {
  auto request = std::make_unique<Request>();
  request->uri = std::string(kListPath) + UriEncode(prefix);
  request->timeout = m_options.timeout;
  request->done = [handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    if (!reply) {
      handler(tl::make_unexpected(reply.error()));
    } else if (reply->status != kOk) {
      handler(tl::make_unexpected(ErrorOf(reply->status)));
    } else {
      handler(SplitLines(reply->body));
    }
  };
  Send(std::move(request));
}

namespace {

// Converts the reply to a write into the object's new version or an error.
template <typename Reply>
tl::expected<uint64_t, PlatformError> WriteResult(const tl::expected<Reply, PlatformError>& reply) {
  if (!reply) return tl::make_unexpected(reply.error());
  if (reply->status != kOk && reply->status != kCreated) {
    return tl::make_unexpected(ErrorOf(reply->status));
  }
  return reply->version;
}

}  // namespace

void PlatformClient::Create(std::string_view key, std::string_view value,
                            Handler<uint64_t> handler) {
  auto request = std::make_unique<Request>();
  request->method = EVHTTP_REQ_PUT;
  request->uri = std::string(kObjectPath) + UriEncode(key);
  request->body = value;
  request->if_none_match = "*";
  request->timeout = m_options.timeout;
  request->done = [handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    handler(WriteResult(reply));
  };
  Send(std::move(request));
}

void PlatformClient::Update(std::string_view key, std::string_view value, uint64_t expected_version,
                            Handler<uint64_t> handler) {
  auto request = std::make_unique<Request>();
  request->method = EVHTTP_REQ_PUT;
  request->uri = std::string(kObjectPath) + UriEncode(key);
  request->body = value;
  request->if_match = Quoted(expected_version);
  request->timeout = m_options.timeout;
  request->done = [handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    handler(WriteResult(reply));
  };
  Send(std::move(request));
}

void PlatformClient::Remove(std::string_view key, uint64_t expected_version,
                            Handler<uint64_t> handler) {
  auto request = std::make_unique<Request>();
  request->method = EVHTTP_REQ_DELETE;
  request->uri = std::string(kObjectPath) + UriEncode(key);
  request->if_match = Quoted(expected_version);
  request->timeout = m_options.timeout;
  request->done = [handler = std::move(handler)](tl::expected<Reply, PlatformError> reply) {
    handler(WriteResult(reply));
  };
  Send(std::move(request));
}

}  // namespace guavatrail
