#include "retry_budget.h"

namespace guavatrail {

void OnCall(RetryBudget& budget) {
  std::visit([](auto& b) { b.OnCall(); }, budget);
}

bool MayRetry(const RetryBudget& budget) {
  return std::visit([](const auto& b) { return b.MayRetry(); }, budget);
}

void OnRetry(RetryBudget& budget) {
  std::visit([](auto& b) { b.OnRetry(); }, budget);
}

void SetReserve(RetryBudget& budget, double reserve) {
  std::visit([reserve](auto& b) { b.SetReserve(reserve); }, budget);
}

}  // namespace guavatrail
