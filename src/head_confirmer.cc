#include "head_confirmer.h"

#include <glog/logging.h>

namespace guavatrail {

void HeadConfirmer::Confirm(const HeadObject& object) {
  if (m_busy) return;
  m_busy = true;
  int64_t sent_ms = EventLoop::NowUs() / 1000;
  uint64_t version = object.head.version;
  auto done = [this, version, sent_ms, alive = std::weak_ptr<int>(m_alive)](auto written) {
    if (!alive.expired()) OnWritten(version, sent_ms, written);
  };
  std::string value = EncodeHead(object.head);
  if (object.object_version == 0) {
    m_client.Create(kHeadKey, value, done);
  } else {
    m_client.Update(kHeadKey, value, object.object_version, done);
  }
}

void HeadConfirmer::OnWritten(uint64_t version, int64_t sent_ms,
                              const tl::expected<uint64_t, PlatformError>& r) {
  m_busy = false;
  if (r) {
    LOG(INFO) << "event=head_confirmed version=" << version;
    m_handlers.on_confirmed(version, sent_ms);
  } else if (r.error().code == PlatformError::Code::kConflict) {
    m_handlers.on_changed();
  } else {
    m_handlers.on_failure();
  }
}

}  // namespace guavatrail
