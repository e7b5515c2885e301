#include "link_pacer.h"

#include <event2/bufferevent.h>
#include <glog/logging.h>

namespace guavatrail {

namespace {

// Links of this rate and more are not the bound of a node.
constexpr double kFastMbps = 500.0;
// What is left over carries short answers, requests and control.
constexpr double kLargeShare = 0.9;
constexpr double kBytesPerMbit = 125'000.0;
constexpr int kTicksPerSecond = 100;
constexpr int64_t kMsPerSecond = 1'000;

bool IsPaced(double link_mbps) { return link_mbps > 0 && link_mbps < kFastMbps; }

int64_t RateOf(double link_mbps) {
  return IsPaced(link_mbps) ? static_cast<int64_t>(link_mbps * kBytesPerMbit * kLargeShare) : 0;
}

}  // namespace

int64_t LinkBacklog::TimeMs(int64_t bytes) const {
  return m_rate == 0 ? 0 : (m_bytes + bytes) * kMsPerSecond / m_rate;
}

int64_t LinkBacklog::WaitMs() const { return TimeMs(0); }

LinkPacer::LinkPacer(EventLoop& loop, double link_mbps) : m_backlog(RateOf(link_mbps)) {
  if (!IsPaced(link_mbps)) return;
  const timeval tick = {.tv_sec = 0, .tv_usec = 1'000'000 / kTicksPerSecond};
  auto per_tick = static_cast<size_t>(RateOf(link_mbps) / kTicksPerSecond);
  ev_token_bucket_cfg* config =
      ev_token_bucket_cfg_new(EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, per_tick, 2 * per_tick, &tick);
  CHECK(config != nullptr) << "ev_token_bucket_cfg_new failed";
  m_group = bufferevent_rate_limit_group_new(loop.base(), config);
  ev_token_bucket_cfg_free(config);
  CHECK(m_group != nullptr) << "bufferevent_rate_limit_group_new failed";
}

LinkPacer::~LinkPacer() {
  if (m_group != nullptr) bufferevent_rate_limit_group_free(m_group);
}

void LinkPacer::Join(bufferevent* bev) {
  if (m_group != nullptr) bufferevent_add_to_rate_limit_group(bev, m_group);
}

void LinkPacer::Leave(bufferevent* bev) {
  if (m_group != nullptr) bufferevent_remove_from_rate_limit_group(bev);
}

}  // namespace guavatrail
