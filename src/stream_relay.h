// Defines StreamRelay, which streams an answer from an upstream exchange to a downstream request
// with bounded memory.
#pragma once

#include <cstdint>

#include "connection_pool.h"
#include "downstream_request.h"

namespace guavatrail {

// The owner of the relay owns the exchange and the request. If upstream delivers only a part of the
// answer, the downstream connection is aborted.
class StreamRelay {
 public:
  // Unsent bytes above which reading from upstream is paused, and at which it resumes. Including
  // one read on each side, a request buffers less than 256 KB.
  static constexpr size_t kHighWatermarkBytes = 131'072;
  static constexpr size_t kLowWatermarkBytes = 65'536;
  // Takes the place of the high one while the process is short of memory. Reading resumes at the
  // next write.
  static constexpr size_t kShortMemoryWatermarkBytes = 16'384;

  explicit StreamRelay(DownstreamRequest& downstream) : m_downstream(&downstream) {}

  // Sends the answer head with `headers` in place of those of `head`.
  void Begin(Exchange& upstream, const AnswerHead& head, const HeaderList& headers);
  void Data(evbuffer* data);
  // Finishes the answer, or aborts the downstream connection unless `result` is kComplete.
  void End(ExchangeResult result);

  bool has_begun() const { return m_begun; }
  uint64_t body_bytes() const { return m_body_bytes; }

 private:
  void OnLowWatermark();

  DownstreamRequest* m_downstream;
  Exchange* m_upstream = nullptr;  // Null before Begin and after End.
  bool m_begun = false;
  uint64_t m_body_bytes = 0;
};

}  // namespace guavatrail
