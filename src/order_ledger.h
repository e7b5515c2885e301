// Defines OrderLedger, which lets each issued order serial run at most once and keeps the outcomes
// of a window of serials. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavatrail {

// A stored answer, which is sent again when the order is repeated.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

enum class OrderState : uint8_t {
  kIssued,    // May run once.
  kRunning,   // Queued or running; the outcome is not known yet.
  kNotRun,    // Fenced, or ended without reaching the server: did not run and never will.
  kAnswered,  // The server responded; the answer may be stored.
  kUnknown,   // Sent to the server, without a complete answer.
};

// What to do with an order request that arrived with a key.
enum class ArrivalDecision {
  kRun,         // First arrival: run it and call one of the Finish functions.
  kInProgress,  // An earlier arrival is still running.
  kNotRun,      // It did not run and never will.
  kAnswered,    // See FindAnswer.
  kUnknown,     // The outcome is unknown or no longer kept.
};

class OrderLedger {
 public:
  struct Limits {
    // Serials whose state is kept; older ones never run and have an unknown outcome.
    uint64_t window = 65'536;
    // Maximum size of a stored answer in bytes, including its headers.
    size_t answer_bytes = 65'536;
    // Maximum total size of the stored answers in bytes; the oldest are dropped first.
    size_t total_bytes = 8'388'608;
  };

  OrderLedger() = default;
  explicit OrderLedger(Limits limits) : m_limits(limits) {}

  // Issues the next serial, starting at 1.
  uint64_t Issue();
  // Records an arrival. Serials that were not issued are kUnknown.
  ArrivalDecision OnArrival(uint64_t serial);
  // Prevents an issued serial from running; a running or finished one keeps its state. Returns the
  // resulting state; kUnknown outside the window.
  OrderState Fence(uint64_t serial);

  // Record how a running order ended. They ignore a serial that is not running or is outside the
  // window.
  void FinishAnswered(uint64_t serial, StoredAnswer answer);
  // The answer is too large to be stored; only its status is kept.
  void FinishUnstored(uint64_t serial, int status);
  // No byte of the order was sent to the server.
  void FinishNotRun(uint64_t serial);
  void FinishUnknown(uint64_t serial);

  // The state of a serial; kUnknown outside the window.
  OrderState StateOf(uint64_t serial) const;
  // The stored answer of an answered order; null if it was too large or was dropped.
  const StoredAnswer* FindAnswer(uint64_t serial) const;
  // The status of an answered order, kept as long as its state; 0 otherwise.
  int AnswerStatus(uint64_t serial) const;
  size_t stored_bytes() const { return m_stored_bytes; }
  const Limits& limits() const { return m_limits; }

 private:
  struct Entry {
    OrderState state = OrderState::kIssued;
    uint16_t status = 0;
  };
  Entry* Find(uint64_t serial);
  const Entry* Find(uint64_t serial) const;
  Entry* FindRunning(uint64_t serial);
  void Store(uint64_t serial, StoredAnswer answer);
  void DropAnswer(uint64_t serial);

  Limits m_limits;
  // State of serials m_first, m_first + 1, ...
  std::deque<Entry> m_entries;
  uint64_t m_first = 1;
  std::map<uint64_t, StoredAnswer> m_answers;
  // Serials of m_answers in the order in which they finished.
  std::deque<uint64_t> m_answer_order;
  size_t m_stored_bytes = 0;
};

}  // namespace guavatrail
