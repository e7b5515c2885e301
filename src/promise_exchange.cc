#include "promise_exchange.h"

#include <algorithm>

namespace guavatrail {

namespace {

// Bounds a peer's claim, so that it cannot overflow the arithmetic.
constexpr uint64_t kMaxAgeMs = 1ULL << 40;

}  // namespace

bool PromiseExchange::RecordLifetime(std::string_view node, uint64_t started_ms) {
  uint64_t& known = m_lifetimes[std::string(node)];
  bool is_other = known != 0 && known != started_ms;
  known = started_ms;
  if (is_other) ForgetAcceptor(m_guard, node);
  return is_other;
}

void PromiseExchange::RecordConfirmation(uint64_t version, int64_t at_ms) {
  m_confirmed_ms = std::max(m_confirmed_ms, at_ms);
  RecordConfirmedHead(m_guard, version);
}

void PromiseExchange::Perform(const GuardActions& actions, int64_t now_ms) {
  pb::ControlMessage query;
  query.mutable_floor_query()->set_request_id(m_query_id +
                                              static_cast<uint64_t>(now_ms - m_guard.start_ms));
  for (const std::string& node : actions.query) m_send(node, query);
  pb::ControlMessage message;
  pb::VersionPromise& promise = *message.mutable_version_promise();
  promise.set_incarnation(m_started_ms);
  promise.set_version(actions.promise_version);
  for (const std::string& node : actions.promise_to) {
    promise.set_keeper_started_ms(m_lifetimes[node]);
    m_send(node, message);
  }
}

void PromiseExchange::OnVersionPromise(std::string_view node, const pb::VersionPromise& promise) {
  if (promise.keeper_started_ms() != m_started_ms) return;
  m_promises.Record(node, promise.version());
  pb::ControlMessage message;
  message.mutable_promise_ack()->set_version(promise.version());
  message.mutable_promise_ack()->set_keeper_started_ms(m_started_ms);
  m_send(node, message);
}

void PromiseExchange::OnFloorQuery(std::string_view node, const pb::FloorQuery& query,
                                   uint64_t in_force, int64_t now_ms) {
  pb::ControlMessage message;
  pb::FloorReply& reply = *message.mutable_floor_reply();
  reply.set_request_id(query.request_id());
  reply.set_floor(m_promises.Floor(node));
  reply.set_version(in_force);
  reply.set_newly_started(!m_promises.KnowsPromisesOf(node));
  reply.set_keeper_started_ms(m_started_ms);
  if (m_confirmed_ms != 0 && m_guard.confirmed_head) {
    reply.set_is_head_confirmed(true);
    reply.set_confirmed_version(*m_guard.confirmed_head);
    reply.set_confirmed_age_ms(static_cast<uint64_t>(now_ms - m_confirmed_ms + 1));
  }
  m_send(node, message);
}

void PromiseExchange::OnPromiseAck(std::string_view node, const pb::PromiseAck& ack) {
  if (!IsCurrentLifetime(node, ack.keeper_started_ms())) return;
  RecordPromiseAck(m_guard, node, ack.version());
}

bool PromiseExchange::OnFloorReply(std::string_view node, const pb::FloorReply& reply,
                                   int64_t now_ms) {
  // The id tells how long after the start of this lifetime the query was sent.
  auto sent_after_ms = static_cast<int64_t>(reply.request_id() - m_query_id);
  if (sent_after_ms < 0 || sent_after_ms > now_ms - m_guard.start_ms) return false;
  if (!IsCurrentLifetime(node, reply.keeper_started_ms())) return false;
  // The keeper counted the age after the query was sent, so the confirmation is at least this
  // young; it counts if it was made in this lifetime.
  auto age_ms = static_cast<int64_t>(std::min<uint64_t>(reply.confirmed_age_ms(), kMaxAgeMs));
  int64_t confirmed_ms = m_guard.start_ms + sent_after_ms - age_ms;
  if (reply.is_head_confirmed() && confirmed_ms >= m_guard.start_ms) {
    RecordConfirmation(reply.confirmed_version(), confirmed_ms);
  }
  RecordFloorReply(m_guard, node, reply.floor(), reply.version(), reply.newly_started());
  return true;
}

bool PromiseExchange::IsCurrentLifetime(std::string_view node, uint64_t started_ms) const {
  auto it = m_lifetimes.find(node);
  return it != m_lifetimes.end() && it->second == started_ms;
}

}  // namespace guavatrail
