#include "head_watcher.h"

#include <glog/logging.h>

#include <algorithm>

namespace guavatrail {

namespace {

constexpr int64_t kFirstBackoffMs = 200;
// Bounds the time until the end of an outage is noticed.
constexpr int64_t kLongestBackoffMs = 5'000;

}  // namespace

HeadWatcher::HeadWatcher(EventLoop& loop, PlatformClient& client, RandomSource& random,
                         Metrics& metrics, int64_t watch_ms, Handlers handlers)
    : m_loop(loop),
      m_client(client),
      m_random(random),
      m_metrics(metrics),
      m_watch_ms(watch_ms),
      m_handlers(std::move(handlers)),
      m_backoff(kFirstBackoffMs, kLongestBackoffMs),
      m_retry(m_loop, [this] { StartNextCall(); }) {}

void HeadWatcher::SetWatching(bool watching) {
  m_watching = watching;
  if (watching && !m_busy && !m_retry.IsPending()) StartCall();
}

void HeadWatcher::ReadOnce() {
  if (m_busy || m_retry.IsPending()) return;
  m_busy = true;
  ReadHead(m_client, [this, alive = std::weak_ptr<int>(m_alive)](auto read) {
    if (!alive.expired()) OnRead(std::move(read));
  });
}

void HeadWatcher::StartCall() {
  if (!m_has_read) return ReadOnce();
  m_busy = true;
  // Jitter keeps the watchers from calling at the same time after an outage.
  auto wait = static_cast<int64_t>(static_cast<double>(m_watch_ms) * (0.8 + 0.2 * m_random.Unit()));
  m_client.Watch(kHeadKey, m_object_version, std::chrono::milliseconds(wait),
                 [this, alive = std::weak_ptr<int>(m_alive)](auto answer) {
                   if (!alive.expired()) OnWatch(std::move(answer));
                 });
}

void HeadWatcher::OnRead(tl::expected<HeadObject, StoreError> read) {
  m_busy = false;
  if (!read) return OnFailure(read.error().message);
  OnHead(*read);
}

void HeadWatcher::OnWatch(tl::expected<std::optional<PlatformObject>, PlatformError> answer) {
  m_busy = false;
  if (!answer) return OnFailure(answer.error().message);
  if (!*answer) {
    m_backoff.Reset();
    std::weak_ptr<int> alive = m_alive;
    m_handlers.on_unchanged();
    if (!alive.expired()) StartNextCall();
    return;
  }
  auto head = DecodeHeadObject(**answer);
  if (!head) return OnFailure(head.error().message);
  // An answer with the known version would otherwise start the next call at once, without end.
  if (head->object_version == m_object_version) return OnStaleHead();
  OnHead(*head);
}

void HeadWatcher::OnStaleHead() {
  m_metrics.GetCounter("delivery_stale_heads_total").Add();
  OnFailure("the platform returned a head that is not newer than the last one read");
}

void HeadWatcher::OnHead(const HeadObject& head) {
  if (head.object_version < m_object_version) return OnStaleHead();
  m_has_read = true;
  m_object_version = head.object_version;
  m_backoff.Reset();
  std::weak_ptr<int> alive = m_alive;
  m_handlers.on_head(head);
  if (!alive.expired()) StartNextCall();
}

void HeadWatcher::OnFailure(const std::string& reason) {
  m_metrics.GetCounter("delivery_platform_failures_total").Add();
  int64_t delay_ms = m_backoff.NextMs(m_random.Unit());
  LOG_EVERY_N(WARNING, 10) << "event=head_read_failed retry_ms=" << delay_ms << " reason=\""
                           << reason << '"';
  m_retry.Start(std::chrono::milliseconds(delay_ms));
  m_handlers.on_failure();
}

void HeadWatcher::StartNextCall() {
  if (m_busy) return;
  // The node cannot start before the first read, so that is repeated even when not watching.
  if (m_watching || !m_has_read) StartCall();
}

}  // namespace guavatrail
