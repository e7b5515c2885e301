#include "endpoint_relay.h"

#include <glog/logging.h>

#include <algorithm>

#include "endpoint_codec.h"

namespace guavatrail {

namespace {

// Revision of the platform's store up to which the requesting node has the endpoints.
constexpr char kKnownHeader[] = "X-Guavatrail-Endpoints-Known";
constexpr std::chrono::milliseconds kRequestTimeout{1'000};
// Minimum time between a failed request and the next one.
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr size_t kMaxUpdateBytes = 4'194'304;

}  // namespace

EndpointRelay::EndpointRelay(EventLoop& loop, PeerClient& peers, const EndpointDirectory& directory,
                             Metrics& metrics, Handler handler)
    : m_loop(loop),
      m_directory(directory),
      m_handler(std::move(handler)),
      m_peers(peers),
      m_replies(loop),
      m_requests(metrics.GetCounter("endpoint_questions_total")),
      m_failures(metrics.GetCounter("endpoint_question_failures_total")),
      m_retry_timer(loop, [this] { FinishRequest(); }) {}

uint64_t EndpointRelay::expected_revision() const {
  return std::max(m_directory.revision(), m_requested_revision);
}

void EndpointRelay::FinishRequest() {
  m_query.reset();
  m_requested_revision = 0;
}

void EndpointRelay::OnSourceRevision(const Endpoint& source, uint64_t revision) {
  uint64_t known = m_directory.revision();
  if (revision <= known || m_requested_revision != 0) return;
  m_requested_revision = revision;
  m_requests.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_GET, .uri = kEndpointsPath};
  request.headers = {{kKnownHeader, std::to_string(known)}};
  m_query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(source), std::move(request), kRequestTimeout,
      [this, node = source.node](const std::optional<HttpReply>& reply) { OnReply(node, reply); },
      kMaxUpdateBytes);
}

void EndpointRelay::OnReply(const std::string& node, const std::optional<HttpReply>& reply) {
  // FinishRequest is deferred, since the query is running its own callback.
  m_retry_timer.Start(std::chrono::milliseconds(0));
  if (reply && reply->status == kHttpNotModified) return;
  auto update = reply && reply->status == kHttpOk
                    ? DecodeEndpoints(reply->body)
                    : tl::make_unexpected(CodecError{"no answer with status 200"});
  if (!update) {
    m_failures.Add();
    m_retry_timer.Start(kRetryDelay);
    LOG(WARNING) << "event=endpoint_update_failed source=" << node
                 << " status=" << (reply ? reply->status : 0) << " known=" << m_directory.revision()
                 << " error=\"" << update.error().message << "\"";
    return;
  }
  LOG(INFO) << "event=endpoint_update source=" << node << " before=" << m_directory.revision()
            << " revision=" << update->revision << " entries=" << update->entries.size()
            << " whole=" << update->is_whole;
  m_handler(node, *update);
}

void EndpointRelay::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  auto known = static_cast<uint64_t>(HeaderNumber(request->headers(), kKnownHeader));
  std::optional<EndpointUpdate> update = m_directory.UpdateSince(known);
  if (!update) {
    m_replies.Reply(std::move(request), kHttpNotModified, {});
    return;
  }
  request->BypassPacing();
  m_replies.Reply(std::move(request), kHttpOk, {}, EncodeEndpoints(*update));
}

}  // namespace guavatrail
