#include "pending_replies.h"

namespace guavatrail {

namespace {

// Memory is held for as long as requests run, mostly less than a second.
constexpr int64_t kRetryAfterMs = 1'000;

}  // namespace

void PendingReplies::Reply(std::unique_ptr<DownstreamRequest> request, int status,
                           const HeaderList& headers, std::string_view body,
                           std::function<void(bool)> ended) {
  DownstreamRequest* raw = request.get();
  if (raw->has_ended()) {
    if (ended) m_deferred.Post([ended = std::move(ended)] { ended(false); });
    return;
  }
  m_requests[raw] = std::move(request);
  raw->SetEndHandler([this, raw, ended = std::move(ended)](bool written) {
    m_deferred.Post([this, raw, ended, written] {
      m_requests.erase(raw);
      if (ended) ended(written);
      if (m_requests.empty() && m_on_empty) m_on_empty();
    });
  });
  raw->Reply(status, headers, body);
}

void PendingReplies::ReplyIfItFits(std::unique_ptr<DownstreamRequest> request,
                                   const HeaderList& headers, std::string_view body,
                                   std::function<void(bool)> ended) {
  if (request->MakeRoomFor(body.size())) {
    Reply(std::move(request), kHttpOk, headers, body, std::move(ended));
    return;
  }
  HeaderList refusal = {{kReasonHeader, kReasonMemory}};
  SetRetryAfter(refusal, kRetryAfterMs);
  Reply(std::move(request), kHttpServiceUnavailable, refusal, {}, [ended = std::move(ended)](bool) {
    if (ended) ended(false);
  });
}

}  // namespace guavatrail
