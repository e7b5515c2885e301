// Defines RequestPipeline, which decides whether a further request of a connection may be started
// while earlier ones are in progress.
#pragma once

#include <cstddef>
#include <deque>

namespace guavatrail {

// A request in progress, as far as it concerns the requests behind it.
struct PipelinedRequest {
  bool may_overlap = false;  // May run at the same time as other requests of its connection.
  bool closes = false;       // The connection is closed after its answer.
  size_t bytes = 0;          // Size of the request, head and body.
};

// The requests of a connection that were started and whose answers are incomplete, in the order
// received. Requests overlap only if all of them may. Performs no I/O.
class RequestPipeline {
 public:
  // Callers that pipeline send a few requests ahead. Each request in progress keeps a call with its
  // buffers, and one connection must not take many times the server slots of another.
  static constexpr size_t kMaxRequests = 8;
  // Limit on the total size of the requests behind the first.
  static constexpr size_t kMaxBytes = 65'536;

  // Whether a further request may be started if it may overlap.
  bool IsOpen() const;
  // Whether a further request of `bytes` fits within kMaxBytes.
  bool HasRoomFor(size_t bytes) const;
  bool MayStart(const PipelinedRequest& request) const;
  void Start(const PipelinedRequest& request) { m_requests.push_back(request); }
  // Removes the first request, whose answer is complete.
  void FinishFirst() { m_requests.pop_front(); }

 private:
  std::deque<PipelinedRequest> m_requests;
};

}  // namespace guavatrail
