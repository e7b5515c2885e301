#include "stream_relay.h"

#include <event2/buffer.h>

namespace guavatrail {

void StreamRelay::Begin(Exchange& upstream, const AnswerHead& head, const HeaderList& headers) {
  m_begun = true;
  m_upstream = &upstream;
  m_downstream->SetLowWatermarkHandler(kLowWatermarkBytes, [this] { OnLowWatermark(); });
  m_downstream->StartReply(head.status, head.reason, headers, head.content_length);
}

void StreamRelay::Data(evbuffer* data) {
  m_body_bytes += evbuffer_get_length(data);
  m_downstream->SendBody(data);
  size_t high = m_downstream->is_memory_short() ? kShortMemoryWatermarkBytes : kHighWatermarkBytes;
  if (m_upstream != nullptr && m_downstream->UnsentBytes() > high) {
    m_upstream->PauseReading();
  }
}

void StreamRelay::End(ExchangeResult result) {
  m_upstream = nullptr;
  if (result == ExchangeResult::kComplete) {
    m_downstream->FinishReply();
  } else {
    m_downstream->Abort();
  }
}

void StreamRelay::OnLowWatermark() {
  if (m_upstream != nullptr) m_upstream->ResumeReading();
}

}  // namespace guavatrail
