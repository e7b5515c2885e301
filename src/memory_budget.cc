#include "memory_budget.h"

#include <algorithm>

#include "transfer_progress.h"

namespace guavatrail {

namespace {

constexpr auto kProgressBytes = static_cast<int64_t>(TransferProgress::kProgressBytes);
constexpr int64_t kBytesPerMb = 1'000'000;
// The process itself takes about 25 MB, of at least 160, and the kernel's buffers and the memory
// that the allocator keeps free take their part too.
constexpr int64_t kBudgetDivisor = 2;
// On a VM of 160 MB this leaves 70 MB for large holders, enough for one body of 64 MiB.
constexpr int64_t kReserveDivisor = 8;

}  // namespace

int64_t MemoryBudget::CapacityOf(int64_t memory_mb) {
  return memory_mb * kBytesPerMb / kBudgetDivisor;
}

int64_t MemoryBudget::MaxHolderBytes() const {
  return m_capacity == 0 ? INT64_MAX : m_capacity - Reserve();
}

int64_t MemoryBudget::Reserve() const { return m_capacity / kReserveDivisor; }

// Answers are bounded by the flow control of each, so their size does not count as large.
int64_t MemoryBudget::LargeBytes(MemoryUse use, int64_t bytes) {
  return use != MemoryUse::kAnswering && bytes > kSmallBytes ? bytes : 0;
}

MemoryBudget::Queue* MemoryBudget::QueueOf(MemoryUse use) {
  switch (use) {
    case MemoryUse::kReceiving:
      return &m_receiving;
    case MemoryUse::kAnswering:
      return &m_answering;
    case MemoryUse::kRunning:
      break;
  }
  return nullptr;
}

uint64_t MemoryBudget::Add() {
  m_holders[m_next_id] = {};
  return m_next_id++;
}

void MemoryBudget::Remove(uint64_t id) {
  auto it = m_holders.find(id);
  if (it == m_holders.end()) return;
  Count(id, it->second, -1);
  m_holders.erase(it);
}

// Adds the holder to the sums and queues, or takes it out of them if `sign` is -1.
void MemoryBudget::Count(uint64_t id, const Holder& holder, int sign) {
  if (holder.bytes == 0) return;
  m_held += sign * holder.bytes;
  m_held_large += sign * LargeBytes(holder.use, holder.bytes);
  Queue* queue = QueueOf(holder.use);
  if (queue == nullptr) return;
  if (sign > 0) {
    queue->emplace(holder.progress_us, id);
  } else {
    queue->erase({holder.progress_us, id});
  }
}

void MemoryBudget::Progress(Holder& holder, MemoryUse use, int64_t bytes, int64_t now_us) {
  bool is_new = holder.bytes == 0 || holder.use != use;
  // The bytes held for an answer do not tell whether its client takes it: they also grow and shrink
  // with what upstream sends.
  bool has_progressed =
      use != MemoryUse::kAnswering && bytes >= holder.progress_bytes + kProgressBytes;
  if (!is_new && !has_progressed) return;
  holder.progress_us = now_us;
  holder.progress_bytes = bytes;
}

void MemoryBudget::RecordAnswerProgress(uint64_t id, int64_t now_us) {
  auto it = m_holders.find(id);
  if (it == m_holders.end() || it->second.use != MemoryUse::kAnswering) return;
  Holder& holder = it->second;
  Count(id, holder, -1);
  holder.progress_us = now_us;
  Count(id, holder, 1);
}

void MemoryBudget::Charge(uint64_t id, MemoryUse use, int64_t bytes, int64_t now_us) {
  auto it = m_holders.find(id);
  if (it == m_holders.end()) return;
  Holder& holder = it->second;
  Count(id, holder, -1);
  Progress(holder, use, bytes, now_us);
  holder.use = use;
  holder.bytes = bytes;
  Count(id, holder, 1);
}

// Selects from `queue`, longest without progress first, holders without progress since `before_us`,
// until nothing is in excess. Returns whether that suffices.
bool MemoryBudget::Select(const Queue& queue, int64_t before_us, uint64_t except, Excess& excess,
                          std::vector<uint64_t>& selected) const {
  for (const auto& [progress_us, id] : queue) {
    if (excess.all <= 0 && excess.large <= 0) break;
    if (progress_us >= before_us) break;
    const Holder& holder = m_holders.at(id);
    int64_t large = LargeBytes(holder.use, holder.bytes);
    if (id == except || (excess.all <= 0 && large == 0)) continue;
    excess.all -= holder.bytes;
    excess.large -= large;
    selected.push_back(id);
  }
  return excess.all <= 0 && excess.large <= 0;
}

MemoryGrant MemoryBudget::Grow(uint64_t id, MemoryUse use, int64_t bytes, int64_t now_us) {
  auto it = m_holders.find(id);
  if (it == m_holders.end()) return {};
  const Holder& holder = it->second;
  int64_t large = LargeBytes(use, bytes);
  Excess excess{.all = m_held - holder.bytes + bytes - m_capacity,
                .large = m_held_large - LargeBytes(holder.use, holder.bytes) + large -
                         (m_capacity - Reserve())};
  bool fits = excess.all <= 0 && (large == 0 || excess.large <= 0);
  if (m_capacity == 0 || bytes <= holder.bytes || fits) {
    Charge(id, use, bytes, now_us);
    return {};
  }
  if (large == 0) excess.large = 0;
  int64_t own_us = holder.bytes == 0 || holder.use != use ? now_us : holder.progress_us;
  int64_t stalled_us = large > 0 ? now_us - kStallUs : now_us;
  MemoryGrant grant;
  grant.is_granted = Select(m_receiving, std::min(own_us, stalled_us), id, excess, grant.evicted);
  // An answer that is ready is given up only for small requests.
  if (!grant.is_granted && large == 0) {
    grant.is_granted = Select(m_answering, now_us - kAnswerStallUs, id, excess, grant.evicted);
  }
  if (!grant.is_granted) return {.is_granted = false};
  Evict(grant.evicted, now_us);
  Charge(id, use, bytes, now_us);
  return grant;
}

void MemoryBudget::Evict(std::span<const uint64_t> ids, int64_t now_us) {
  for (uint64_t id : ids) Charge(id, m_holders.at(id).use, 0, now_us);
}

MemoryGrant MemoryBudget::GrowAnswer(uint64_t id, int64_t bytes, int64_t now_us) {
  auto it = m_holders.find(id);
  if (it == m_holders.end() || m_capacity == 0) return {};
  Excess excess{.all = m_held - it->second.bytes + bytes - MaxHolderBytes()};
  MemoryGrant grant;
  grant.is_granted = excess.all <= 0 ||
                     Select(m_receiving, now_us - kStallUs, id, excess, grant.evicted) ||
                     Select(m_answering, now_us - kAnswerStallUs, id, excess, grant.evicted);
  if (!grant.is_granted) return {.is_granted = false};
  Evict(grant.evicted, now_us);
  Charge(id, MemoryUse::kAnswering, bytes, now_us);
  return grant;
}

}  // namespace guavatrail
