#include "request_memory.h"

#include <glog/logging.h>
#include <malloc.h>

#include <algorithm>

#include "body_buffer.h"
#include "event_loop.h"

namespace guavatrail {

namespace {

constexpr int64_t kLogPeriodUs = 1'000'000;
// The allocator keeps freed blocks below its mmap threshold, such as those of input and heads. They
// are returned to the system with malloc_trim() when this share of the budget has been freed:
// within a second, or sooner if a large request needs the memory.
constexpr int64_t kReturnDivisor = 8;
constexpr int64_t kReturnPeriodUs = 1'000'000;
constexpr int64_t kNeededReturnPeriodUs = 100'000;

// Part of the budget that may wait, unread, in wide receive windows. It is not taken from the
// budget, but from the part of the VM's memory that the budget leaves.
constexpr int64_t kWideWindowDivisor = 16;

// Memory that a running request takes beside its head and body: the state of the call, timers and
// connection buffers.
constexpr size_t kRequestBytes = 8'192;

struct HeldBody {
  HeldBody(const std::shared_ptr<RequestMemory>& memory, std::string body)
      : text(std::move(body)), share(memory) {}

  std::string text;
  MemoryShare share;
};

}  // namespace

RequestMemory::RequestMemory(int64_t memory_mb, Metrics& metrics)
    : m_budget(MemoryBudget::CapacityOf(memory_mb)),
      m_metrics(&metrics),
      m_held(&metrics.GetGauge("request_bytes_held")),
      m_wide(&metrics.GetGauge("wide_windows")) {
  ReportHeld();
}

bool RequestMemory::CanHold(uint64_t bytes) {
  if (bytes <= static_cast<uint64_t>(m_budget.MaxHolderBytes())) return true;
  ReportRefused("too_large", static_cast<int64_t>(bytes));
  return false;
}

int64_t RequestMemory::MaxWideWindows() const {
  if (m_budget.capacity_bytes() == 0) return INT64_MAX;
  return m_budget.capacity_bytes() / kWideWindowDivisor / kWideWindowBytes;
}

bool RequestMemory::TakeWideWindow() {
  if (m_wide_windows >= MaxWideWindows()) return false;
  ++m_wide_windows;
  ReportWideWindows();
  return true;
}

void RequestMemory::ReturnWideWindow() {
  --m_wide_windows;
  ReportWideWindows();
}

void RequestMemory::ReportWideWindows() {
  if (m_metrics != nullptr) m_wide->Set(static_cast<double>(m_wide_windows));
}

void RequestMemory::ReturnFreeMemory(bool is_needed) {
  int64_t held = m_budget.held_bytes();
  m_peak = std::max(m_peak, held);
  if (m_budget.capacity_bytes() == 0) return;
  if (m_peak - held < m_budget.capacity_bytes() / kReturnDivisor) return;
  int64_t now_us = EventLoop::NowUs();
  int64_t period_us = is_needed ? kNeededReturnPeriodUs : kReturnPeriodUs;
  if (now_us - m_returned_us < period_us) return;
  m_returned_us = now_us;
  m_peak = held;
  malloc_trim(0);
}

void RequestMemory::ReportHeld() {
  ReturnFreeMemory(false);
  if (m_metrics == nullptr) return;
  m_held->Set(static_cast<double>(m_budget.held_bytes()));
}

// Logged at most once a second, since many clients may be refused at the same time.
void RequestMemory::ReportRefused(std::string_view reason, int64_t bytes) {
  ++m_refused;
  if (m_metrics != nullptr) {
    std::string label = "reason=\"" + std::string(reason) + "\"";
    m_metrics->GetCounter("memory_refused_total", label).Add();
  }
  int64_t now_us = EventLoop::NowUs();
  if (m_log_us != 0 && now_us - m_log_us < kLogPeriodUs) return;
  m_log_us = now_us;
  LOG(WARNING) << "event=memory_refused reason=" << reason << " bytes=" << bytes
               << " held=" << m_budget.held_bytes() << " budget=" << m_budget.capacity_bytes()
               << " refused=" << m_refused;
}

MemoryShare::MemoryShare(std::shared_ptr<RequestMemory> memory, std::function<void()> evict)
    : m_memory(std::move(memory)) {
  if (m_memory == nullptr) return;
  m_id = m_memory->m_budget.Add();
  m_memory->m_evict[m_id] = std::move(evict);
}

MemoryShare::~MemoryShare() {
  if (m_memory == nullptr) return;
  m_memory->m_budget.Remove(m_id);
  m_memory->m_evict.erase(m_id);
  if (m_bytes > 0) m_memory->ReportHeld();
}

void MemoryShare::Charge(MemoryUse use, size_t bytes) {
  if (m_memory == nullptr || (m_bytes == 0 && bytes == 0)) return;
  m_bytes = bytes;
  m_memory->m_budget.Charge(m_id, use, static_cast<int64_t>(bytes), EventLoop::NowUs());
  m_memory->ReportHeld();
}

void MemoryShare::RecordAnswerProgress() {
  if (m_memory != nullptr) m_memory->m_budget.RecordAnswerProgress(m_id, EventLoop::NowUs());
}

bool MemoryShare::Grow(MemoryUse use, size_t bytes) {
  if (m_memory == nullptr || (m_bytes == 0 && bytes == 0)) return true;
  RequestMemory& memory = *m_memory;
  memory.ReturnFreeMemory(bytes > MemoryBudget::kSmallBytes);
  return Apply(memory.m_budget.Grow(m_id, use, static_cast<int64_t>(bytes), EventLoop::NowUs()),
               bytes);
}

bool MemoryShare::GrowAnswer(size_t bytes) {
  if (m_memory == nullptr) return true;
  m_memory->ReturnFreeMemory(bytes > MemoryBudget::kSmallBytes);
  return Apply(m_memory->m_budget.GrowAnswer(m_id, static_cast<int64_t>(bytes), EventLoop::NowUs()),
               bytes);
}

// Carries out the decision on the growth of the holder to `bytes`. Returns whether it may grow.
bool MemoryShare::Apply(const MemoryGrant& grant, size_t bytes) {
  RequestMemory& memory = *m_memory;
  if (!grant.is_granted) {
    memory.ReportRefused("no_space", static_cast<int64_t>(bytes));
    return false;
  }
  m_bytes = bytes;
  for (uint64_t id : grant.evicted) {
    memory.ReportRefused("evicted", static_cast<int64_t>(bytes));
    if (auto it = memory.m_evict.find(id); it != memory.m_evict.end()) it->second();
  }
  memory.ReportHeld();
  return true;
}

std::shared_ptr<const std::string> HoldBody(const std::shared_ptr<RequestMemory>& memory,
                                            std::string body, size_t other_bytes) {
  if (memory == nullptr) return std::make_shared<const std::string>(std::move(body));
  auto held = std::make_shared<HeldBody>(memory, std::move(body));
  held->share.Charge(MemoryUse::kRunning,
                     BodyBuffer::MemoryOf(held->text) + other_bytes + kRequestBytes);
  const std::string* text = &held->text;
  return {std::move(held), text};
}

}  // namespace guavatrail
