#include "order_ledger.h"

#include <algorithm>

namespace guavatrail {

namespace {

size_t SizeOf(const StoredAnswer& answer) {
  size_t size = answer.body.size();
  for (const auto& [name, value] : answer.headers) size += name.size() + value.size();
  return size;
}

}  // namespace

uint64_t OrderLedger::Issue() {
  m_entries.emplace_back();
  if (m_entries.size() > m_limits.window) {
    DropAnswer(m_first);
    m_entries.pop_front();
    ++m_first;
  }
  return m_first + m_entries.size() - 1;
}

OrderLedger::Entry* OrderLedger::Find(uint64_t serial) {
  if (serial < m_first || serial - m_first >= m_entries.size()) return nullptr;
  return &m_entries[serial - m_first];
}

const OrderLedger::Entry* OrderLedger::Find(uint64_t serial) const {
  if (serial < m_first || serial - m_first >= m_entries.size()) return nullptr;
  return &m_entries[serial - m_first];
}

OrderLedger::Entry* OrderLedger::FindRunning(uint64_t serial) {
  Entry* entry = Find(serial);
  return entry != nullptr && entry->state == OrderState::kRunning ? entry : nullptr;
}

ArrivalDecision OrderLedger::OnArrival(uint64_t serial) {
  Entry* entry = Find(serial);
  if (entry == nullptr) return ArrivalDecision::kUnknown;
  switch (entry->state) {
    case OrderState::kIssued:
      entry->state = OrderState::kRunning;
      return ArrivalDecision::kRun;
    case OrderState::kRunning:
      return ArrivalDecision::kInProgress;
    case OrderState::kNotRun:
      return ArrivalDecision::kNotRun;
    case OrderState::kAnswered:
      return ArrivalDecision::kAnswered;
    case OrderState::kUnknown:
      return ArrivalDecision::kUnknown;
  }
  return ArrivalDecision::kUnknown;
}

OrderState OrderLedger::Fence(uint64_t serial) {
  Entry* entry = Find(serial);
  if (entry == nullptr) return OrderState::kUnknown;
  if (entry->state == OrderState::kIssued) entry->state = OrderState::kNotRun;
  return entry->state;
}

void OrderLedger::FinishAnswered(uint64_t serial, StoredAnswer answer) {
  Entry* entry = FindRunning(serial);
  if (entry == nullptr) return;
  entry->state = OrderState::kAnswered;
  entry->status = static_cast<uint16_t>(answer.status);
  Store(serial, std::move(answer));
}

void OrderLedger::FinishUnstored(uint64_t serial, int status) {
  Entry* entry = FindRunning(serial);
  if (entry == nullptr) return;
  entry->state = OrderState::kAnswered;
  entry->status = static_cast<uint16_t>(status);
}

void OrderLedger::FinishNotRun(uint64_t serial) {
  if (Entry* entry = FindRunning(serial); entry != nullptr) entry->state = OrderState::kNotRun;
}

void OrderLedger::FinishUnknown(uint64_t serial) {
  if (Entry* entry = FindRunning(serial); entry != nullptr) entry->state = OrderState::kUnknown;
}

OrderState OrderLedger::StateOf(uint64_t serial) const {
  const Entry* entry = Find(serial);
  return entry == nullptr ? OrderState::kUnknown : entry->state;
}

const StoredAnswer* OrderLedger::FindAnswer(uint64_t serial) const {
  auto it = m_answers.find(serial);
  return it == m_answers.end() ? nullptr : &it->second;
}

int OrderLedger::AnswerStatus(uint64_t serial) const {
  const Entry* entry = Find(serial);
  return entry == nullptr || entry->state != OrderState::kAnswered ? 0 : entry->status;
}

void OrderLedger::Store(uint64_t serial, StoredAnswer answer) {
  size_t size = SizeOf(answer);
  if (size > m_limits.answer_bytes || size > m_limits.total_bytes) return;
  while (m_stored_bytes + size > m_limits.total_bytes) DropAnswer(m_answer_order.front());
  m_stored_bytes += size;
  m_answers.emplace(serial, std::move(answer));
  m_answer_order.push_back(serial);
}

void OrderLedger::DropAnswer(uint64_t serial) {
  auto it = m_answers.find(serial);
  if (it == m_answers.end()) return;
  m_stored_bytes -= SizeOf(it->second);
  m_answers.erase(it);
  m_answer_order.erase(std::find(m_answer_order.begin(), m_answer_order.end(), serial));
}

}  // namespace guavatrail
