// Guards against an order that runs twice, or that runs after it was reported as not run.
#include <gtest/gtest.h>

#include "order_ledger.h"

namespace guavatrail {
namespace {

TEST(OrderLedgerRunsOnce, OnlyTheFirstArrivalRuns) {
  OrderLedger ledger;
  uint64_t serial = ledger.Issue();
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kRun);
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kInProgress);
  ledger.FinishAnswered(serial, {201, {{"Content-Type", "text/plain"}}, "drawer spring"});
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kAnswered);
  ASSERT_NE(ledger.FindAnswer(serial), nullptr);
  EXPECT_EQ(ledger.FindAnswer(serial)->body, "drawer spring");
  EXPECT_EQ(ledger.AnswerStatus(serial), 201);
}

TEST(OrderLedgerRunsOnce, AFencedSerialNeverRuns) {
  OrderLedger ledger;
  uint64_t serial = ledger.Issue();
  EXPECT_EQ(ledger.Fence(serial), OrderState::kNotRun);
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kNotRun);
}

TEST(OrderLedgerRunsOnce, AFenceDoesNotChangeARunningOrFinishedOrder) {
  OrderLedger ledger;
  uint64_t serial = ledger.Issue();
  ledger.OnArrival(serial);
  EXPECT_EQ(ledger.Fence(serial), OrderState::kRunning);
  ledger.FinishUnknown(serial);
  EXPECT_EQ(ledger.Fence(serial), OrderState::kUnknown);
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kUnknown);
}

TEST(OrderLedgerRunsOnce, SerialsOutsideTheWindowNeverRun) {
  OrderLedger ledger({.window = 3});
  for (int i = 0; i < 5; ++i) ledger.Issue();
  EXPECT_EQ(ledger.OnArrival(0), ArrivalDecision::kUnknown);
  EXPECT_EQ(ledger.OnArrival(2), ArrivalDecision::kUnknown);
  EXPECT_EQ(ledger.OnArrival(6), ArrivalDecision::kUnknown);
  EXPECT_EQ(ledger.Fence(2), OrderState::kUnknown);
  EXPECT_EQ(ledger.OnArrival(3), ArrivalDecision::kRun);
}

TEST(OrderLedgerRunsOnce, ARunningOrderThatLeavesTheWindowIsUnknown) {
  OrderLedger ledger({.window = 1});
  uint64_t serial = ledger.Issue();
  ledger.OnArrival(serial);
  ledger.Issue();
  ledger.FinishAnswered(serial, {200, {}, "late"});
  EXPECT_EQ(ledger.OnArrival(serial), ArrivalDecision::kUnknown);
  EXPECT_EQ(ledger.stored_bytes(), 0U);
}

TEST(OrderLedgerRunsOnce, StoredAnswersAreBounded) {
  OrderLedger ledger({.answer_bytes = 10, .total_bytes = 20});
  for (int i = 0; i < 4; ++i) {
    uint64_t serial = ledger.Issue();
    ledger.OnArrival(serial);
    ledger.FinishAnswered(serial, {200, {}, std::string(8, 'x')});
    EXPECT_LE(ledger.stored_bytes(), 20U);
  }
  EXPECT_EQ(ledger.FindAnswer(2), nullptr);
  EXPECT_NE(ledger.FindAnswer(4), nullptr);
  // The outcome is kept when the answer is not.
  EXPECT_EQ(ledger.OnArrival(2), ArrivalDecision::kAnswered);
  EXPECT_EQ(ledger.AnswerStatus(2), 200);
  uint64_t large = ledger.Issue();
  ledger.OnArrival(large);
  ledger.FinishAnswered(large, {200, {}, std::string(11, 'x')});
  EXPECT_EQ(ledger.FindAnswer(large), nullptr);
  EXPECT_EQ(ledger.AnswerStatus(large), 200);
}

}  // namespace
}  // namespace guavatrail
