// Defines PendingReplies, which owns requests that are answered immediately until their answers
// have been written.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "deferred_queue.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_headers.h"

namespace guavatrail {

class PendingReplies {
 public:
  explicit PendingReplies(EventLoop& loop) : m_deferred(loop) {}

  // `ended` is called once: with true when the complete answer has been written, with false when
  // the client has disconnected.
  void Reply(std::unique_ptr<DownstreamRequest> request, int status, const HeaderList& headers,
             std::string_view body = "", std::function<void(bool written)> ended = nullptr);
  // As Reply, with status 200 and a body that may be large. Sends a refusal instead if the body
  // does not fit in the memory of the process; `ended` is then called with false.
  void ReplyIfItFits(std::unique_ptr<DownstreamRequest> request, const HeaderList& headers,
                     std::string_view body, std::function<void(bool written)> ended = nullptr);
  bool empty() const { return m_requests.empty(); }
  // The handler is called whenever the last pending reply has ended.
  void SetEmptyHandler(std::function<void()> handler) { m_on_empty = std::move(handler); }

 private:
  std::map<DownstreamRequest*, std::unique_ptr<DownstreamRequest>> m_requests;
  std::function<void()> m_on_empty;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
