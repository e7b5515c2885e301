// Defines StreamRelay, which passes an answer from an upstream exchange to a downstream request in
// parts and with bounded memory.
#pragma once

#include <cstdint>

#include "connection_pool.h"
#include "downstream_request.h"

namespace guavatrail {

// The exchange and the request belong to the owner of the relay. An answer of which the upstream
// delivers only a part ends in a broken downstream connection.
class StreamRelay {
 public:
  // Unsent bytes at which reading from upstream stops, and at which it goes on. Together with one
  // read of each side they stay below 256 KB for a request.
  static constexpr size_t kHighWatermarkBytes = 131'072;
  static constexpr size_t kLowWatermarkBytes = 65'536;

  explicit StreamRelay(DownstreamRequest& downstream) : m_downstream(&downstream) {}

  // Sends the head of the answer with `headers` in place of its own.
  void Begin(Exchange& upstream, const AnswerHead& head, const HeaderList& headers);
  void Data(evbuffer* data);
  // Finishes the answer, or breaks the downstream connection.
  void End(ExchangeResult end);

  bool has_begun() const { return m_begun; }
  uint64_t body_bytes() const { return m_body_bytes; }

 private:
  void OnDrained();

  DownstreamRequest* m_downstream;
  Exchange* m_upstream = nullptr;  // Null before Begin and after End.
  bool m_begun = false;
  uint64_t m_body_bytes = 0;
};

}  // namespace guavatrail
