// Guards against promises, acknowledgements and floors of a former lifetime that count for a
// restarted keeper or node, and against a confirmation of the head that is older than the node.
#include <gtest/gtest.h>

#include "promise_exchange.h"

namespace guavatrail {
namespace {

constexpr uint64_t kQueryId = 1'000'000;

struct Peer {
  explicit Peer(uint64_t started_ms)
      : exchange(guard, started_ms, kQueryId,
                 [this](std::string_view, const pb::ControlMessage& message) {
                   sent.push_back(message);
                 }) {}
  GuardState guard;
  std::vector<pb::ControlMessage> sent;
  PromiseExchange exchange;
};

pb::FloorReply Reply(uint64_t sent_after_ms, uint64_t keeper_started_ms) {
  pb::FloorReply reply;
  reply.set_request_id(kQueryId + sent_after_ms);
  reply.set_keeper_started_ms(keeper_started_ms);
  return reply;
}

TEST(KeeperExchangeIgnoresFormerLifetimes, PromisesToTheKeepersFormerLifetime) {
  Peer keeper(20);
  pb::VersionPromise promise;
  promise.set_version(7);
  promise.set_keeper_started_ms(10);
  keeper.exchange.OnVersionPromise("n", promise);
  EXPECT_TRUE(keeper.sent.empty());
  promise.set_keeper_started_ms(20);
  keeper.exchange.OnVersionPromise("n", promise);
  ASSERT_EQ(keeper.sent.size(), 1u);
  EXPECT_EQ(keeper.sent[0].promise_ack().version(), 7u);
  EXPECT_EQ(keeper.sent[0].promise_ack().keeper_started_ms(), 20u);
}

TEST(KeeperExchangeIgnoresFormerLifetimes, AcknowledgementsAndFloorsOfTheKeepersFormerLifetime) {
  Peer node(5);
  EXPECT_FALSE(node.exchange.RecordLifetime("k", 10));
  EXPECT_TRUE(node.exchange.RecordLifetime("k", 20));
  pb::PromiseAck ack;
  ack.set_version(7);
  ack.set_keeper_started_ms(10);
  node.exchange.OnPromiseAck("k", ack);
  EXPECT_EQ(node.guard.acceptor_states.count("k"), 0u);
  pb::FloorReply old_floor = Reply(0, 10);
  old_floor.set_floor(7);
  EXPECT_FALSE(node.exchange.OnFloorReply("k", old_floor, 100));
  EXPECT_EQ(node.guard.highest_floor, 0u);
  ack.set_keeper_started_ms(20);
  node.exchange.OnPromiseAck("k", ack);
  EXPECT_EQ(node.guard.acceptor_states.find("k")->second.acknowledged, 7u);
}

TEST(KeeperExchangeIgnoresFormerLifetimes, RepliesToTheNodesFormerLifetime) {
  Peer node(5);
  node.exchange.RecordLifetime("k", 20);
  EXPECT_FALSE(node.exchange.OnFloorReply("k", Reply(101, 20), 100)) << "asked in the future";
  EXPECT_TRUE(node.exchange.OnFloorReply("k", Reply(100, 20), 100));
}

TEST(KeeperExchangeIgnoresFormerLifetimes, ConfirmationsFromBeforeTheStart) {
  Peer node(5);
  node.guard.start_ms = 1'000;
  node.exchange.RecordLifetime("k", 20);
  pb::FloorReply reply = Reply(500, 20);
  reply.set_is_head_confirmed(true);
  reply.set_confirmed_version(3);
  reply.set_confirmed_age_ms(501);
  EXPECT_TRUE(node.exchange.OnFloorReply("k", reply, 2'000));
  EXPECT_FALSE(node.guard.confirmed_head.has_value());
  reply.set_confirmed_age_ms(500);
  EXPECT_TRUE(node.exchange.OnFloorReply("k", reply, 2'000));
  EXPECT_EQ(node.guard.confirmed_head.value_or(0), 3u);
}

}  // namespace
}  // namespace guavatrail
