#include "endpoint_relay.h"

#include <glog/logging.h>

#include <algorithm>

#include "endpoint_codec.h"

namespace guavatrail {

namespace {

// Revision of the platform's store up to which the requesting node has the endpoints.
constexpr RevisionHeaders kKnownHeaders{"X-Guavatrail-Endpoints-Known",
                                        "X-Guavatrail-Endpoints-Known-Era"};
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

StoreRevision EndpointRelay::expected_revision() const {
  return std::max(m_directory.revision(), m_requested_revision.value_or(StoreRevision()));
}

void EndpointRelay::FinishRequest() {
  m_query.reset();
  m_requested_revision.reset();
}

void EndpointRelay::OnSourceRevision(const Endpoint& source, StoreRevision revision) {
  StoreRevision known = m_directory.revision();
  if (!(known < revision) || m_requested_revision) return;
  m_requested_revision = revision;
  m_requests.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_GET, .uri = kEndpointsPath};
  SetRevision(request.headers, kKnownHeaders, known);
  m_query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(source), std::move(request), kRequestTimeout,
      [this, node = source.node](const std::optional<HttpReply>& reply) { OnReply(node, reply); },
      kMaxUpdateBytes);
}

// A source that states no era runs a build without eras; see RevisionIn.
void EndpointRelay::TakeOwnEra(EndpointUpdate& update) const {
  if (update.revision.era != 0) return;
  update.revision.era = m_directory.revision().era;
  for (EndpointEntry& entry : update.entries) entry.revision.era = update.revision.era;
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
                 << " status=" << (reply ? reply->status : 0)
                 << " known=" << m_directory.revision().number << " error=\""
                 << update.error().message << "\"";
    return;
  }
  TakeOwnEra(*update);
  LOG(INFO) << "event=endpoint_update source=" << node
            << " before=" << m_directory.revision().number
            << " revision=" << update->revision.number << " era=" << update->revision.era
            << " entries=" << update->entries.size() << " whole=" << update->is_whole;
  m_handler(node, *update);
}

void EndpointRelay::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  StoreRevision known = RevisionIn(request->headers(), kKnownHeaders, m_directory.revision());
  std::optional<EndpointUpdate> update = m_directory.UpdateSince(known);
  if (!update) {
    m_replies.Reply(std::move(request), kHttpNotModified, {});
    return;
  }
  request->BypassPacing();
  m_replies.ReplyIfItFits(std::move(request), {}, EncodeEndpoints(*update));
}

}  // namespace guavatrail
