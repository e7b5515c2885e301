#include "head_confirmer.h"

#include <glog/logging.h>

namespace guavatrail {

namespace {

constexpr uint64_t kWatcherMs = 400;
constexpr uint64_t kWatcherJitterMs = 400;
constexpr uint64_t kOtherMs = 1'000;
constexpr uint64_t kOtherPerMemberMs = 10;
// With a fixed delay, all nodes whose conditional writes failed retried at the same time, and only
// one write succeeded per round: a fleet of 144 nodes took 11 s to restart.
constexpr int64_t kRepeatMs = 100;
constexpr uint64_t kRepeatJitterMs = 700;

}  // namespace

int64_t ConfirmationDelayMs(bool is_watcher, size_t members, uint64_t jitter) {
  if (is_watcher) return static_cast<int64_t>(kWatcherMs + jitter % kWatcherJitterMs);
  return static_cast<int64_t>(kOtherMs + jitter % ((members + 1) * kOtherPerMemberMs));
}

int64_t ConfirmationRetryDelayMs(RandomSource& random) {
  return kRepeatMs + static_cast<int64_t>(random.Below(kRepeatJitterMs));
}

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
