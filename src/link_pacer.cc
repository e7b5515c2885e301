#include "link_pacer.h"

#include <event2/bufferevent.h>
#include <glog/logging.h>

#include <algorithm>

namespace guavatrail {

namespace {

// A link of at least this bandwidth is not the bottleneck of a node.
constexpr double kFastMbps = 500.0;
// Share of the link reserved for short answers, requests, control messages and the answers that
// this node relays to its own callers: a link may share its bandwidth between both directions.
constexpr double kReservedShare = 0.4;
// Short answers need no more than this, but at least a tenth of the link is reserved.
constexpr double kMaxReservedMbps = 10.0;
constexpr double kMinReservedShare = 0.1;
// An offer is refused if sending the backlog and the pending answers takes longer than this; the
// entry node then tries another node.
constexpr int64_t kMaxOfferBacklogMs = 200;
// Share of the remaining time that may be spent on sending; the rest is for the server and for
// network delays.
constexpr double kLinkShareOfTime = 0.5;
constexpr double kBytesPerMbit = 125'000.0;
constexpr int kTicksPerSecond = 100;
constexpr int64_t kMsPerSecond = 1'000;

bool IsPaced(double link_mbps) { return link_mbps > 0 && link_mbps < kFastMbps; }

// Bytes per second for large answers; 0: unlimited.
int64_t RateOf(double link_mbps) {
  if (!IsPaced(link_mbps)) return 0;
  double reserved_mbps = std::max(std::min(kReservedShare * link_mbps, kMaxReservedMbps),
                                  kMinReservedShare * link_mbps);
  return static_cast<int64_t>((link_mbps - reserved_mbps) * kBytesPerMbit);
}

}  // namespace

int64_t LinkBacklog::TimeMs(int64_t bytes) const {
  return m_rate == 0 ? 0 : (m_bytes + bytes) * kMsPerSecond / m_rate;
}

std::optional<int64_t> LinkBacklog::RefusalWaitMs(const LargeRequest& request) const {
  // An accepted answer also corrects the estimate of the next ones, if it was too high.
  bool is_idle = m_bytes + request.pending_bytes == 0;
  if (is_idle && !request.is_offer) return std::nullopt;
  int64_t wait_ms = TimeMs(request.pending_bytes);
  int64_t total_ms = TimeMs(request.pending_bytes + request.bytes);
  auto bound_ms =
      static_cast<int64_t>(kLinkShareOfTime * static_cast<double>(request.remaining_ms));
  bool is_behind = total_ms > bound_ms || (request.is_offer && wait_ms > kMaxOfferBacklogMs);
  return is_behind ? std::optional<int64_t>(std::max<int64_t>(1, wait_ms)) : std::nullopt;
}

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

void LinkPacer::AddConnection(bufferevent* bev) {
  if (m_group != nullptr) bufferevent_add_to_rate_limit_group(bev, m_group);
}

void LinkPacer::RemoveConnection(bufferevent* bev) {
  if (m_group != nullptr) bufferevent_remove_from_rate_limit_group(bev);
}

}  // namespace guavatrail
