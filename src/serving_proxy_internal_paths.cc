// The part of ServingProxy that handles internal paths and keyed orders.
#include <glog/logging.h>

#include "serving_call.h"

namespace guavatrail {

namespace {

// Decoded, a smaller message takes less than a megabyte.
constexpr size_t kSmallMessageBytes = 16'384;
// Most that a byte of a message takes when it is decoded: two bytes are an empty field, which takes
// an object of about a hundred bytes and its place in a list.
constexpr size_t kDecodedBytesPerByte = 64;

}  // namespace

void ServingProxy::OnInternalPath(std::unique_ptr<DownstreamRequest> request) {
  std::string path(request->path());
  if (path == kOrderKeyPath && request->method() == EVHTTP_REQ_POST) {
    IssueKey(std::move(request));
  } else if (path == kFencePath && request->method() == EVHTTP_REQ_POST) {
    Fence(std::move(request));
  } else if (auto it = m_path_handlers.find(path); it != m_path_handlers.end()) {
    HandleMessage(it->second, std::move(request));
  } else if (path.starts_with(kProbePathPrefix) && request->method() == EVHTTP_REQ_GET) {
    Probe(std::move(request));
  } else {
    m_replies.Reply(std::move(request), kHttpNotFound, NodeHeaders(kOutcomeNotRun, ""));
  }
}

// Any client that reaches the port can send a message. One that consists of empty fields takes many
// times its size when it is decoded, so what it may take is reserved while the handler decodes it.
void ServingProxy::HandleMessage(const HttpListener::Handler& handler,
                                 std::unique_ptr<DownstreamRequest> request) {
  size_t bytes = request->body()->size();
  MemoryShare decoded(m_memory);
  if (bytes <= kSmallMessageBytes ||
      decoded.Grow(MemoryUse::kRunning, kDecodedBytesPerByte * bytes)) {
    handler(std::move(request));
    return;
  }
  RefuseRequest(std::move(request), kReasonMemory, kDrainRetryAfterMs);
}

void ServingProxy::IssueKey(std::unique_ptr<DownstreamRequest> request) {
  if (m_draining) {
    RefuseRequest(std::move(request), kReasonDraining, kDrainRetryAfterMs);
    return;
  }
  HeaderList headers = NodeHeaders(kOutcomeAnswered, RequestIdOf(*request));
  SetHeader(headers, kOrderKeyHeader, m_orders.IssueKey());
  m_metrics.GetCounter("order_keys_issued_total").Add();
  m_replies.Reply(std::move(request), kHttpOk, headers);
}

void ServingProxy::Fence(std::unique_ptr<DownstreamRequest> request) {
  std::string_view outcome = m_orders.Fence(
      OrderKeyText(*request), [this](uint64_t serial) { return CancelQueuedOrder(serial); });
  m_metrics.GetCounter("order_fences_total", "outcome=\"" + std::string(outcome) + "\"").Add();
  HeaderList headers = NodeHeaders(outcome, RequestIdOf(*request));
  m_replies.Reply(std::move(request), kHttpOk, headers);
}

// Removes a queued order. Returns false if it is not queued.
bool ServingProxy::CancelQueuedOrder(uint64_t serial) {
  auto it = m_by_serial.find(serial);
  if (it == m_by_serial.end() || it->second->phase != Call::Phase::kQueued) return false;
  Call& call = *it->second;
  Apply(Cancel(m_admission, call.id, EventLoop::NowUs()));
  Refuse(call, kDrainRetryAfterMs, kReasonFenced);
  return true;
}

// Reports the number of answer bytes written, so that the entry node can distinguish an answer
// lost on a silent connection from one that is not ready.
void ServingProxy::Probe(std::unique_ptr<DownstreamRequest> request) {
  std::string id(request->path().substr(kProbePathPrefix.size()));
  auto it = m_by_request_id.find(id);
  if (it == m_by_request_id.end()) {
    m_replies.Reply(std::move(request), kHttpNotFound, NodeHeaders(kOutcomeUnknown, ""));
    return;
  }
  std::string body = std::to_string(it->second->downstream->written_bytes());
  m_replies.Reply(std::move(request), kHttpOk, NodeHeaders(kOutcomeRunning, ""), body);
}

void ServingProxy::OnOrder(std::unique_ptr<DownstreamRequest> request, const WorkTag& work) {
  auto serial = m_orders.OnArrival(OrderKeyText(*request), m_draining);
  if (serial) {
    Admit(std::move(request), work, *serial);
    return;
  }
  OrderAnswer& answer = serial.error();
  std::string outcome = *FindHeader(answer.headers, kOutcomeHeader);
  for (auto& [name, value] : NodeHeaders(outcome, RequestIdOf(*request))) {
    SetHeader(answer.headers, name, value);
  }
  m_metrics.GetCounter("order_repeats_total", "outcome=\"" + outcome + "\"").Add();
  m_replies.Reply(std::move(request), answer.status, answer.headers, answer.body);
}

}  // namespace guavatrail
