// Defines RequestMemory, which counts the bytes that all listeners of a process hold for requests
// and has requests refused when they exceed the budget, and MemoryShare, the part of one holder.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "memory_budget.h"
#include "metrics.h"

namespace guavatrail {

// Shared by its shares, which may outlive the node: libevent frees buffers that refer to the body
// of a request only when its loop runs again or ends.
class RequestMemory {
 public:
  // `memory_mb` is the memory of the VM; 0: nothing is refused.
  RequestMemory(int64_t memory_mb, Metrics& metrics);

  // Must be called before the metrics end.
  void DetachMetrics() { m_metrics = nullptr; }
  bool is_short() const { return m_budget.is_short(); }
  // Whether a request of this size fits when the process holds no other. Counts a refusal if not.
  bool CanHold(uint64_t bytes);
  int64_t held_bytes() const { return m_budget.held_bytes(); }
  // Takes one of the wide receive windows, of which there are few enough that the bytes that wait
  // in them, unread, stay small beside the budget. Returns false if there is none left.
  bool TakeWideWindow();
  void ReturnWideWindow();

  static constexpr int kWideWindowBytes = 65'536;

 private:
  friend class MemoryShare;
  int64_t MaxWideWindows() const;
  void ReportWideWindows();
  void ReportHeld();
  void ReturnFreeMemory(bool is_needed);
  void ReportRefused(std::string_view reason, int64_t bytes);

  MemoryBudget m_budget;
  Metrics* m_metrics;  // Null once detached.
  Gauge* m_held;
  Gauge* m_wide;
  std::unordered_map<uint64_t, std::function<void()>> m_evict;
  int64_t m_peak = 0;         // Most bytes held since free memory was last returned to the system.
  int64_t m_returned_us = 0;  // When it was.
  int64_t m_log_us = 0;       // Time of the last log line about refusals.
  uint64_t m_refused = 0;
  int64_t m_wide_windows = 0;
};

// The bytes of one holder. Destroying the share releases them. Without a RequestMemory nothing is
// counted and everything is granted.
class MemoryShare {
 public:
  // `evict` is called when the holder must release its bytes; it must not destroy the share.
  explicit MemoryShare(
      std::shared_ptr<RequestMemory> memory, std::function<void()> evict = [] {});
  ~MemoryShare();
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  // See MemoryBudget. Returns false if the holder must release its bytes.
  bool Grow(MemoryUse use, size_t bytes);
  // See MemoryBudget. Returns false if the answer must be replaced by a refusal.
  bool GrowAnswer(size_t bytes);
  void Charge(MemoryUse use, size_t bytes);
  void RecordAnswerProgress();

 private:
  bool Apply(const MemoryGrant& grant, size_t bytes);

  std::shared_ptr<RequestMemory> m_memory;  // May be null.
  uint64_t m_id = 0;
  size_t m_bytes = 0;
};

// Returns `body`, which counts in `memory` together with `other_bytes` until the last copy of the
// pointer is gone.
std::shared_ptr<const std::string> HoldBody(const std::shared_ptr<RequestMemory>& memory,
                                            std::string body, size_t other_bytes);

}  // namespace guavatrail
