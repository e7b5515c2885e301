#include "peer_call.h"

#include <charconv>

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
constexpr std::chrono::milliseconds kSilence{1000};
constexpr std::chrono::milliseconds kProbeTimeout{1000};
// The answer to a probe may overtake bytes that are still on their way.
constexpr std::chrono::milliseconds kGrace{250};

// Bytes that the serving node has written for the request.
uint64_t WrittenBytes(const HttpReply& reply) {
  uint64_t bytes = 0;
  std::from_chars(reply.body.data(), reply.body.data() + reply.body.size(), bytes);
  return bytes;
}

}  // namespace

PeerCall::PeerCall(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request,
                   std::string request_id, Handlers handlers)
    : m_pool(pool),
      m_request_id(std::move(request_id)),
      m_handlers(std::make_shared<Handlers>(std::move(handlers))),
      m_loop(loop),
      m_timer(loop, [this] { OnTimer(); }) {
  m_exchange =
      pool.Send(std::move(request), {.head = [this](const AnswerHead& head) { OnHead(head); },
                                     .data =
                                         [this](evbuffer* data) {
                                           std::shared_ptr<Handlers> handlers = m_handlers;
                                           handlers->data(data);
                                         },
                                     .done = [this](ExchangeResult end) { Finish(end); }});
  m_timer.Start(kSilence);
}

void PeerCall::OnHead(const AnswerHead& head) {
  const std::string* id = FindHeader(head.headers, kRequestIdHeader);
  if (id == nullptr || *id != m_request_id) {
    // Not the answer to this request.
    Finish(ExchangeResult::kBroken);
    return;
  }
  std::shared_ptr<Handlers> handlers = m_handlers;
  handlers->head(head);
}

void PeerCall::Finish(ExchangeResult end) {
  m_timer.Cancel();
  m_probe.reset();
  m_exchange.reset();
  std::shared_ptr<Handlers> handlers = m_handlers;
  handlers->done(end);
}

void PeerCall::OnTimer() {
  int64_t activity_us = m_exchange->last_activity_us();
  if (m_doubted_activity_us != 0 && m_doubted_activity_us == activity_us) {
    m_was_silent = true;
    Finish(ExchangeResult::kBroken);
    return;
  }
  m_doubted_activity_us = 0;
  int64_t left_us = activity_us + kSilence.count() * kUsPerMs - EventLoop::NowUs();
  bool is_waiting = m_exchange->is_paused() || !m_exchange->may_have_been_sent();
  if (is_waiting || left_us > 0) {
    m_timer.Start(is_waiting ? std::chrono::microseconds(kSilence)
                             : std::chrono::microseconds(left_us));
    return;
  }
  Probe();
}

void PeerCall::Probe() {
  UpstreamRequest request{.method = EVHTTP_REQ_GET,
                          .uri = std::string(kProbePathPrefix) + m_request_id,
                          .max_idle = std::chrono::milliseconds(0)};
  m_probe = std::make_unique<HttpQuery>(
      m_loop, m_pool, std::move(request), kProbeTimeout,
      [this](const std::optional<HttpReply>& reply) { OnProbeReply(reply); });
}

void PeerCall::OnProbeReply(const std::optional<HttpReply>& reply) {
  bool is_alive =
      reply && reply->status == kHttpOk && WrittenBytes(*reply) <= m_exchange->received_bytes();
  int64_t activity_us = m_exchange->last_activity_us();
  bool is_silent = activity_us + kSilence.count() * kUsPerMs <= EventLoop::NowUs();
  m_doubted_activity_us = !is_alive && is_silent && !m_exchange->is_paused() ? activity_us : 0;
  m_timer.Start(m_doubted_activity_us != 0 ? kGrace : kSilence);
}

}  // namespace guavatrail
