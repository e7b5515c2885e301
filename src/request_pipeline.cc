#include "request_pipeline.h"

#include <numeric>

namespace guavatrail {

// A request that must not overlap is started alone, and nothing is started behind it. Therefore the
// last request stands for all of them.
bool RequestPipeline::IsOpen() const {
  if (m_requests.empty()) return true;
  const PipelinedRequest& last = m_requests.back();
  return last.may_overlap && !last.closes && m_requests.size() < kMaxRequests;
}

// The first request does not count: its size is limited as on a connection without overlap.
bool RequestPipeline::HasRoomFor(size_t bytes) const {
  if (m_requests.empty()) return true;
  size_t used = std::accumulate(
      m_requests.begin() + 1, m_requests.end(), size_t{0},
      [](size_t sum, const PipelinedRequest& request) { return sum + request.bytes; });
  return used + bytes <= kMaxBytes;
}

bool RequestPipeline::MayStart(const PipelinedRequest& request) const {
  if (m_requests.empty()) return true;
  return IsOpen() && request.may_overlap && HasRoomFor(request.bytes);
}

}  // namespace guavatrail
