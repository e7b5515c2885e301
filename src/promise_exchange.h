// Defines PromiseExchange, which handles the messages between a node and its acceptors, in both
// roles: it sends this node's version promises and floor queries, and replies to those of the nodes
// that have chosen this node as an acceptor.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "version_guard.h"

namespace guavatrail {

// Performs no I/O except through `send`; the caller passes in monotonic times in milliseconds.
class PromiseExchange {
 public:
  using Send = std::function<void(std::string_view node, const pb::ControlMessage& message)>;

  // `started_ms` identifies this lifetime to other nodes. `query_id` is random, so that replies
  // to queries of an earlier lifetime are ignored. `guard` must outlive the exchange.
  PromiseExchange(GuardState& guard, uint64_t started_ms, uint64_t query_id, Send send)
      : m_guard(guard), m_started_ms(started_ms), m_query_id(query_id), m_send(std::move(send)) {}

  // Records the current lifetime of a member. Returns true if it differs from the one known
  // before.
  bool RecordLifetime(std::string_view node, uint64_t started_ms);
  // Records that the head had `version` and was confirmed as current at `at_ms` or later.
  void RecordConfirmation(uint64_t version, int64_t at_ms);
  // Sends the floor queries and version promises of a guard decision.
  void Perform(const GuardActions& actions, int64_t now_ms);

  // Messages to this node as an acceptor.
  void OnVersionPromise(std::string_view node, const pb::VersionPromise& promise);
  void OnFloorQuery(std::string_view node, const pb::FloorQuery& query, uint64_t in_force,
                    int64_t now_ms);
  // Messages from an acceptor of this node. OnFloorReply returns false if the reply is not
  // addressed to the current lifetime of this node, or not from that of the acceptor.
  void OnPromiseAck(std::string_view node, const pb::PromiseAck& ack);
  bool OnFloorReply(std::string_view node, const pb::FloorReply& reply, int64_t now_ms);

 private:
  bool IsCurrentLifetime(std::string_view node, uint64_t started_ms) const;

  GuardState& m_guard;
  const uint64_t m_started_ms;
  const uint64_t m_query_id;
  Send m_send;
  PromiseLog m_promises;
  std::map<std::string, uint64_t, std::less<>> m_lifetimes;
  int64_t m_confirmed_ms = 0;  // The head was confirmed as current at this time or later; 0: never.
};

}  // namespace guavatrail
