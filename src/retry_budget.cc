#include "retry_budget.h"

namespace guavatrail {

void Called(RetryBudget& budget) {
  std::visit([](auto& b) { b.Called(); }, budget);
}

bool MayRetry(const RetryBudget& budget) {
  return std::visit([](const auto& b) { return b.MayRetry(); }, budget);
}

void Retried(RetryBudget& budget) {
  std::visit([](auto& b) { b.Retried(); }, budget);
}

void SetReserve(RetryBudget& budget, double reserve) {
  std::visit([reserve](auto& b) { b.SetReserve(reserve); }, budget);
}

}  // namespace guavatrail
