// Defines AdmissionPolicy, which decides at the serving node which requests run on the backend
// server now, which wait, and which are refused as not run. Pure: clock and events are handed in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "service_time.h"

namespace guavatrail {

// All times are microseconds of one monotonic clock.
struct AdmissionRequest {
  uint64_t id = 0;     // Unique among the requests that the policy holds.
  int importance = 1;  // 0 (first to be refused) to 3.
  bool is_short = true;
  int64_t deadline_us = 0;  // Point in time.
  int64_t arrival_us = 0;   // Point in time.
  // Point in time until which an answer is of full use to the caller; 0: the deadline.
  int64_t objective_us = 0;
  // Requests of one kind take about the same time; empty: not known.
  std::string kind;
  // Runs at once or is refused.
  bool is_offer = false;
};

// A request that was not run and never will be.
struct AdmissionRefusal {
  uint64_t id = 0;
  // Predicted time until the work held now is done, in milliseconds; positive.
  int64_t retry_after_ms = 0;
  bool operator==(const AdmissionRefusal&) const = default;
};

struct AdmissionDecision {
  enum class Action { kRun, kQueue, kRefuse };
  Action action = Action::kRun;
  int64_t retry_after_ms = 0;  // With kRefuse only.
  // With a refused offer: the predicted wait.
  int64_t wait_ms = 0;
  // Other requests that leave the queue to make room for this one.
  std::vector<AdmissionRefusal> evicted;
};

// What to do after an event: queued requests to start, and queued requests to refuse.
struct AdmissionChanges {
  std::vector<uint64_t> start;
  std::vector<AdmissionRefusal> refuse;
};

// Load as reported to entry nodes.
struct AdmissionLoad {
  int in_service = 0;
  int queued = 0;
  // Typical service time in microseconds of short work, or of long work if too little short work
  // was measured; 0 if too little of both was measured.
  int64_t service_us = 0;
};

// A fixed number of slots, some of which long work may not use, and a bounded queue ordered by
// importance, then earliest objective. Answers that a burst of requests has to wait for in turn
// would all be late; so a request is refused at once when it would miss both its objective and half
// of its time, and one that has missed its objective in the queue, or came after it, waits behind
// all of its importance that can still be in time, beside those of the next lower importance, as
// long as it can meet its deadline.
class SlotAdmission {
 public:
  struct Options {
    int slots = 9;
    int reserved_short_slots = 2;
    int queue_limit = 256;
  };

  explicit SlotAdmission(Options options);

  AdmissionDecision Arrive(const AdmissionRequest& request, int64_t now_us);
  AdmissionChanges Finish(uint64_t id, int64_t service_us, int64_t now_us);
  AdmissionChanges Cancel(uint64_t id, int64_t now_us);
  AdmissionChanges Expire(int64_t now_us);

  AdmissionLoad load() const;
  // Predicted wait in microseconds of `request` if it were queued now.
  int64_t PredictedWaitUs(const AdmissionRequest& request, int64_t now_us) const;
  void SetSlots(int slots);
  // Predicted time in microseconds until the running and queued work is done.
  int64_t PredictedDrainUs(int64_t now_us) const;

 private:
  // The order of the queue.
  struct Rank {
    int below_top = 0;      // Negated importance; one more for a request that is late.
    int64_t limit_us = 0;   // Objective, or the deadline of a request that is late.
    uint64_t sequence = 0;  // Unique.
    bool is_late = false;
    bool operator<(const Rank& other) const {
      return std::tie(below_top, limit_us, sequence) <
             std::tie(other.below_top, other.limit_us, other.sequence);
    }
  };
  struct Running {
    bool is_short = true;
    std::string kind;
    int64_t start_us = 0;
  };
  // Work in microseconds, and slots that a straggler holds for an unknown time.
  struct Remaining {
    int64_t short_us = 0;
    int64_t long_us = 0;
    int stuck_short = 0;
    int stuck_long = 0;
  };
  using Queue = std::map<Rank, AdmissionRequest>;

  // The estimate of a kind, or as long as it has too few samples that of all work of its length.
  const ServiceTimeEstimate& EstimateOf(std::string_view kind, bool is_short) const;
  void Measured(const Running& running, int64_t service_us);
  bool HasSlotFor(bool is_short) const;
  bool WouldMiss(int64_t limit_us, const AdmissionRequest& request, int64_t wait_us,
                 int64_t now_us) const;
  Rank RankOf(const AdmissionRequest& request, bool is_late) const;
  Remaining RemainingOfRunning(int64_t now_us) const;
  enum class Slots { kAll, kForLongWork };
  int64_t FreeSlotUs(const Rank& rank, Slots slots, int64_t now_us) const;
  int64_t RetryAfterMs(int64_t now_us) const;
  void Start(const AdmissionRequest& request, int64_t now_us);
  void Enqueue(const AdmissionRequest& request, bool is_late);
  void Demote(Queue::iterator entry);
  Queue::iterator Dequeue(Queue::iterator entry);
  void EndRunning(std::unordered_map<uint64_t, Running>::iterator entry);
  void StartQueued(int64_t now_us, AdmissionChanges& changes);

  Options m_options;
  int m_long_limit;
  int m_running_long = 0;
  uint64_t m_next_sequence = 0;
  ServiceTimeEstimate m_short_estimate;
  ServiceTimeEstimate m_long_estimate;
  std::map<std::string, ServiceTimeEstimate, std::less<>> m_kind_estimates;
  std::unordered_map<uint64_t, Running> m_running;
  Queue m_queue;
  std::unordered_map<uint64_t, Rank> m_queued_ranks;
};

// Baseline: first in, first out, without bound on the queue, deadlines or kinds of work.
class UnlimitedAdmission {
 public:
  struct Options {
    // Requests that run at the same time; the rest waits.
    int concurrency = 130;
  };

  explicit UnlimitedAdmission(Options options) : m_options(options) {}

  AdmissionDecision Arrive(const AdmissionRequest& request, int64_t now_us);
  AdmissionChanges Finish(uint64_t id, int64_t service_us, int64_t now_us);
  AdmissionChanges Cancel(uint64_t id, int64_t now_us);
  AdmissionChanges Expire(int64_t now_us);
  AdmissionLoad load() const;

 private:
  AdmissionChanges StartQueued();

  Options m_options;
  ServiceTimeEstimate m_estimate;
  std::unordered_map<uint64_t, bool> m_running;
  std::deque<uint64_t> m_queue;
};

using AdmissionPolicy = std::variant<SlotAdmission, UnlimitedAdmission>;

// Decides about a new request. After kRun the caller starts it and later calls Finish or Cancel;
// after kQueue the request is named by a later change.
AdmissionDecision Arrive(AdmissionPolicy& policy, const AdmissionRequest& request, int64_t now_us);

// A running request ended after `service_us` on the backend server. An unknown id changes nothing.
AdmissionChanges Finish(AdmissionPolicy& policy, uint64_t id, int64_t service_us, int64_t now_us);

// A running or queued request was given up and needs no answer. An unknown id changes nothing.
AdmissionChanges Cancel(AdmissionPolicy& policy, uint64_t id, int64_t now_us);

// Refuses queued requests that can no longer meet their deadline. To be called every few tens of
// milliseconds while requests are queued.
AdmissionChanges Expire(AdmissionPolicy& policy, int64_t now_us);

AdmissionLoad LoadOf(const AdmissionPolicy& policy);

}  // namespace guavatrail
