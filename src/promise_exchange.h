// Defines PromiseExchange, the messages between a node and the keepers of its promises, in both
// roles: promises and floor queries of this node, and those of the nodes that it keeps.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "version_guard.h"

namespace guavatrail {

// Pure but for the messages that it sends; times are monotonic milliseconds that are passed in.
class PromiseExchange {
 public:
  using Send = std::function<void(std::string_view node, const pb::ControlMessage& message)>;

  // `started_ms` names this lifetime to others. `query_id` is random, so that replies to queries of
  // a former lifetime are not taken. `guard` must outlive the exchange.
  PromiseExchange(GuardState& guard, uint64_t started_ms, uint64_t query_id, Send send)
      : m_guard(guard), m_started_ms(started_ms), m_query_id(query_id), m_send(std::move(send)) {}

  // A member's current lifetime. True when it differs from the one known before.
  bool RecordLifetime(std::string_view node, uint64_t started_ms);
  // The head was current at some time after `at_ms`.
  void RecordConfirmation(uint64_t version, int64_t at_ms);
  // Sends the queries and promises of a decision.
  void Perform(const GuardActions& actions, int64_t now_ms);

  // As a keeper.
  void OnVersionPromise(std::string_view node, const pb::VersionPromise& promise);
  void OnFloorQuery(std::string_view node, const pb::FloorQuery& query, uint64_t in_force,
                    int64_t now_ms);
  // As a node that is kept. False when the reply is not for this lifetime or not of the keeper's.
  void OnPromiseAck(std::string_view node, const pb::PromiseAck& ack);
  bool OnFloorReply(std::string_view node, const pb::FloorReply& reply, int64_t now_ms);

 private:
  bool IsCurrentLifetime(std::string_view node, uint64_t started_ms) const;

  GuardState& m_guard;
  const uint64_t m_started_ms;
  const uint64_t m_query_id;
  Send m_send;
  PromiseBook m_promises;
  std::map<std::string, uint64_t, std::less<>> m_lifetimes;
  int64_t m_confirmed_ms = 0;  // The head was confirmed as current at this time or later; 0: never.
};

}  // namespace guavatrail
