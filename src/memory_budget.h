// Defines MemoryBudget, which decides what to refuse so that the bytes that a process holds for
// requests stay within a budget. Performs no I/O; callers pass in the time.
#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavatrail {

// What a holder holds its bytes for.
enum class MemoryUse {
  kReceiving,  // A request that is incomplete. Refusing it makes space.
  kRunning,    // A complete request; the bytes stay until it ends.
  kAnswering,  // An answer that its client has not accepted, and input that was read ahead.
};

struct MemoryGrant {
  bool is_granted = true;
  // Holders that must release their bytes at once; these already count as released.
  std::vector<uint64_t> evicted;
};

// A holder is a connection or a complete request. All times are microseconds of one monotonic
// clock.
class MemoryBudget {
 public:
  // Holders above this size must leave a reserve of the budget free for the others.
  static constexpr int64_t kSmallBytes = 65'536;
  // For a large holder, only those are evicted that have made no progress for this time, so that
  // uploads in progress do not evict each other.
  static constexpr int64_t kStallUs = 1'000'000;
  // A client whose answer has made no progress for this time may be evicted.
  static constexpr int64_t kAnswerStallUs = 5'000'000;

  // The budget of a VM with `memory_mb` million bytes of memory; 0: unlimited.
  static int64_t CapacityOf(int64_t memory_mb);
  explicit MemoryBudget(int64_t capacity_bytes) : m_capacity(capacity_bytes) {}

  // Adds a holder without bytes.
  uint64_t Add();
  void Remove(uint64_t id);
  // The holder wants to hold `bytes` in all. If they do not fit in the budget, selects others to
  // evict: the ones that have been without progress for longest, and longer than the holder. If
  // that does not suffice, evicts none and refuses: the holder must release what it holds.
  MemoryGrant Grow(uint64_t id, MemoryUse use, int64_t bytes, int64_t now_us);
  // The holder wants to hold `bytes` in all for an answer that can still be replaced by a refusal.
  // The answer leaves the reserve free, and only stalled holders are evicted for it. If that does
  // not suffice, evicts none and refuses; the holder keeps what it has.
  MemoryGrant GrowAnswer(uint64_t id, int64_t bytes, int64_t now_us);
  // The client of the holder has accepted a part of its answer that counts as progress.
  void RecordAnswerProgress(uint64_t id, int64_t now_us);
  // The holder holds `bytes` in all, whether or not they fit in the budget.
  void Charge(uint64_t id, MemoryUse use, int64_t bytes, int64_t now_us);

  int64_t capacity_bytes() const { return m_capacity; }
  int64_t held_bytes() const { return m_held; }
  // Size of the largest holder that fits when there is no other; no limit if unlimited.
  int64_t MaxHolderBytes() const;
  // Whether only the reserve is left, so that answers must be buffered as little as possible.
  bool is_short() const { return m_capacity > 0 && m_held > m_capacity - Reserve(); }

 private:
  struct Holder {
    MemoryUse use = MemoryUse::kReceiving;
    int64_t bytes = 0;
    int64_t progress_us = 0;     // When it last made progress; meaningful only with bytes.
    int64_t progress_bytes = 0;  // Its bytes at that time, of an incomplete request.
  };
  // Bytes that exceed the budget and the share of large holders.
  struct Excess {
    int64_t all = 0;
    int64_t large = 0;
  };
  using Queue = std::set<std::pair<int64_t, uint64_t>>;  // By time of the last progress.

  static int64_t LargeBytes(MemoryUse use, int64_t bytes);
  int64_t Reserve() const;
  Queue* QueueOf(MemoryUse use);
  bool Select(const Queue& queue, int64_t before_us, uint64_t except, Excess& excess,
              std::vector<uint64_t>& selected) const;
  void Evict(std::span<const uint64_t> ids, int64_t now_us);
  void Count(uint64_t id, const Holder& holder, int sign);
  static void Progress(Holder& holder, MemoryUse use, int64_t bytes, int64_t now_us);

  int64_t m_capacity;
  int64_t m_held = 0;
  int64_t m_held_large = 0;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, Holder> m_holders;
  Queue m_receiving;
  Queue m_answering;
};

}  // namespace guavatrail
