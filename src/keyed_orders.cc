#include "keyed_orders.h"

#include <optional>

namespace guavatrail {

namespace {

OrderAnswer WithOutcome(int status, std::string_view outcome) {
  return {status, {{kOutcomeHeader, std::string(outcome)}}, ""};
}

// The sender may order under a fresh key.
OrderAnswer NotRun(std::string_view reason) {
  OrderAnswer answer = WithOutcome(kHttpPreconditionRequired, kOutcomeNotRun);
  SetHeader(answer.headers, kReasonHeader, reason);
  return answer;
}

}  // namespace

KeyedOrders::KeyedOrders(std::string node, uint64_t incarnation, OrderLedger::Limits limits)
    : m_keys(node, incarnation), m_node(std::move(node)), m_ledger(limits) {}

std::string KeyedOrders::IssueKey() { return ToString(m_keys.Make(m_ledger.Issue())); }

tl::expected<uint64_t, std::string_view> KeyedOrders::SerialOf(std::string_view text) const {
  std::optional<OrderKey> key = ParseOrderKey(text);
  if (!key) return tl::make_unexpected(std::string_view(kOutcomeNotRun));
  // What another lifetime or node did with its keys is not known here.
  if (key->node != m_node || key->incarnation != m_keys.incarnation()) {
    return tl::make_unexpected(std::string_view(kOutcomeUnknown));
  }
  // A key that was never issued cannot have run, and never will.
  if (!m_keys.IsAuthentic(*key)) return tl::make_unexpected(std::string_view(kOutcomeNotRun));
  return key->serial;
}

tl::expected<uint64_t, OrderAnswer> KeyedOrders::OnArrival(std::string_view key, bool is_draining) {
  auto serial = SerialOf(key);
  if (!serial) {
    bool not_run = serial.error() == kOutcomeNotRun;
    return tl::make_unexpected(not_run ? NotRun(kReasonFenced)
                                       : WithOutcome(kHttpGatewayTimeout, kOutcomeUnknown));
  }
  if (is_draining && m_ledger.StateOf(*serial) == OrderState::kIssued) {
    m_ledger.Fence(*serial);
    return tl::make_unexpected(NotRun(kReasonDraining));
  }
  switch (m_ledger.OnArrival(*serial)) {
    case ArrivalDecision::kRun:
      return *serial;
    case ArrivalDecision::kInProgress:
      return tl::make_unexpected(WithOutcome(kHttpConflict, kOutcomeUnknown));
    case ArrivalDecision::kNotRun:
      return tl::make_unexpected(NotRun(kReasonFenced));
    case ArrivalDecision::kAnswered:
      return tl::make_unexpected(AnswerOfFinished(*serial));
    case ArrivalDecision::kUnknown:
      break;
  }
  return tl::make_unexpected(WithOutcome(kHttpGatewayTimeout, kOutcomeUnknown));
}

OrderAnswer KeyedOrders::AnswerOfFinished(uint64_t serial) const {
  const StoredAnswer* stored = m_ledger.FindAnswer(serial);
  if (stored == nullptr) {
    OrderAnswer answer = WithOutcome(kHttpGone, kOutcomeAnswered);
    SetHeader(answer.headers, kOrderStatusHeader, std::to_string(m_ledger.AnswerStatus(serial)));
    return answer;
  }
  OrderAnswer answer{stored->status, stored->headers, stored->body};
  SetHeader(answer.headers, kOutcomeHeader, kOutcomeAnswered);
  return answer;
}

std::string_view KeyedOrders::Fence(std::string_view key,
                                    const std::function<bool(uint64_t)>& withdraw) {
  auto serial = SerialOf(key);
  if (!serial) return serial.error();
  if (m_ledger.StateOf(*serial) == OrderState::kRunning && withdraw(*serial)) {
    m_ledger.FinishNotRun(*serial);
  }
  switch (m_ledger.Fence(*serial)) {
    case OrderState::kIssued:
    case OrderState::kNotRun:
      return kOutcomeNotRun;
    case OrderState::kRunning:
      return kOutcomeRunning;
    case OrderState::kAnswered:
      return kOutcomeAnswered;
    case OrderState::kUnknown:
      break;
  }
  return kOutcomeUnknown;
}

}  // namespace guavatrail
