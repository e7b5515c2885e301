// Defines AdmissionPolicy, which decides on the serving node which requests run on the backend
// server now, which are queued, and which are refused without being run. Performs no I/O; the
// caller passes in the time and the events.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "concurrency_limit.h"
#include "fair_share.h"
#include "server_rate_limit.h"
#include "service_time.h"

namespace guavatrail {

// All times are microseconds of one monotonic clock.
struct AdmissionRequest {
  uint64_t id = 0;     // Unique among the running and queued requests.
  int importance = 1;  // 0 (first to be refused) to 3.
  bool is_short = true;
  int64_t deadline_us = 0;  // Absolute time.
  int64_t arrival_us = 0;   // Absolute time.
  // Absolute time of the latency objective, until which an answer is of full use to the caller; 0:
  // the deadline.
  int64_t objective_us = 0;
  // The workspace that the request belongs to. Its importance goes before that of the work kind. A
  // request without a workspace is a call of a server that already runs a request, and ranks with
  // those of the most important workspaces.
  WorkspaceTag workspace;
  // Work kind; requests of one kind take about the same time. Empty: unknown.
  std::string kind;
  // An offer is never queued: it runs at once or is refused.
  bool is_offer = false;
};

// A request that has not run and never will.
struct AdmissionRefusal {
  uint64_t id = 0;
  // Predicted time in milliseconds until the running and queued work is done; positive.
  int64_t retry_after_ms = 0;
  bool operator==(const AdmissionRefusal&) const = default;
};

struct AdmissionDecision {
  enum class Action { kRun, kQueue, kRefuse };
  Action action = Action::kRun;
  int64_t retry_after_ms = 0;  // Set with kRefuse only.
  // Predicted wait in the queue; set for a refused offer only.
  int64_t wait_ms = 0;
  // The request has no slot and its workspace has used more than its fair share.
  bool is_above_share = false;
  // Queued requests that are evicted to make room for this one.
  std::vector<AdmissionRefusal> evicted;
};

// Changes to the queue after an event: the requests to start and the requests to refuse.
struct AdmissionChanges {
  std::vector<uint64_t> start;
  std::vector<AdmissionRefusal> refuse;
};

// Load as reported to entry nodes.
struct AdmissionLoad {
  int in_service = 0;
  int queued = 0;
  // Typical service time of short work in microseconds; that of long work if there are too few
  // samples of short work, 0 if there are too few of both.
  int64_t service_us = 0;
  // Slots that can be used within the rate limit of the server and its concurrency limit; 0: all.
  int usable_slots = 0;
};

// Runs requests in a fixed number of slots, some of which are reserved for short work, and queues
// the others in a bounded queue ordered by the importance of the workspace, whether the workspace
// has used more than its fair share, the importance of the work kind, then earliest objective. If a
// burst were queued in order of arrival, all of its answers would be late. A request is therefore
// refused at once if it would end after its objective and after the middle of the time left until
// its deadline. A request that misses its objective in the queue, or can no longer meet it on
// arrival, is late: it is queued behind all requests of its importance that can still be in time,
// on a level with those of the next lower importance, as long as it can meet its deadline.
//
// While the backend server names a rate limit, a request starts only within it, in the order of the
// queue; one that would wait too long for its turn is refused at once.
//
// With an adaptive concurrency, only as many slots are used as the server handles well at once.
class SlotAdmission {
 public:
  struct Options {
    int slots = 9;
    int reserved_short_slots = 2;
    int queue_limit = 256;
    bool has_adaptive_concurrency = false;
  };

  explicit SlotAdmission(Options options);

  AdmissionDecision Arrive(const AdmissionRequest& request, int64_t now_us);
  AdmissionChanges Finish(uint64_t id, int64_t service_us, int64_t now_us);
  AdmissionChanges Cancel(uint64_t id, int64_t now_us);
  AdmissionChanges Expire(int64_t now_us);

  AdmissionLoad load() const;
  // Predicted wait of `request` in microseconds if it were queued now.
  int64_t PredictedWaitUs(const AdmissionRequest& request, int64_t now_us) const;
  void SetSlots(int slots);
  // Another server has taken the place of the one beside the node.
  void OnNewServer();
  // Slots in use at most; the stated slots unless the concurrency is adaptive.
  int concurrency_limit() const { return m_limit ? m_limit->limit() : m_options.slots; }
  ServerRateLimit& rate_limit() { return m_rate_limit; }
  const ServerRateLimit& rate_limit() const { return m_rate_limit; }
  // Predicted time in microseconds until the running and queued work is done.
  int64_t PredictedDrainUs(int64_t now_us) const;

 private:
  // Sort key of the queue.
  struct Rank {
    int workspace = 0;            // The lowest runs first: negated importance of the workspace.
    bool is_above_share = false;  // Of its workspace.
    int priority = 0;    // The lowest runs first: negated importance, plus one for a late request.
    int64_t due_us = 0;  // Objective; for a late request the deadline.
    uint64_t sequence = 0;  // Unique.
    bool is_late = false;
    bool operator<(const Rank& other) const {
      return std::tie(workspace, is_above_share, priority, due_us, sequence) <
             std::tie(other.workspace, other.is_above_share, other.priority, other.due_us,
                      other.sequence);
    }
  };
  struct Running {
    bool is_short = true;
    std::string kind;
    int64_t start_us = 0;
    int64_t allowed_us = 0;       // From the arrival to the objective; 0: no objective.
    double running_integral = 0;  // Of the concurrency limit, at the start.
    bool is_overdue = false;      // Has been reported to the concurrency limit as slow.
  };
  // Remaining work in microseconds, and the number of slots occupied by stragglers, whose remaining
  // time is unknown.
  struct Remaining {
    int64_t short_us = 0;
    int64_t long_us = 0;
    int stuck_short = 0;
    int stuck_long = 0;
  };
  using Queue = std::map<Rank, AdmissionRequest>;

  // The estimate for `kind`, or that for all short or all long work while `kind` has too few
  // samples.
  const ServiceTimeEstimate& EstimateFor(std::string_view kind, bool is_short) const;
  void RecordServiceTime(const Running& running, int64_t service_us);
  // Adds a sample to the concurrency limit, if there is one.
  void RecordSample(const Running& running, int64_t service_us, bool is_answered, int64_t now_us);
  void RecordOverdue(int64_t now_us);
  int LongLimit() const;
  bool HasSlotFor(bool is_short) const;
  bool CanStartNow(const AdmissionRequest& request, int64_t now_us) const;
  bool WouldMiss(int64_t limit_us, const AdmissionRequest& request, int64_t wait_us,
                 int64_t now_us) const;
  Rank RankOf(const AdmissionRequest& request, bool is_late, int64_t now_us) const;
  bool CanEvict(const AdmissionRequest& request, const Rank& rank, Queue::iterator entry) const;
  Remaining RemainingOfRunning(int64_t now_us) const;
  enum class Slots { kAll, kForLongWork };
  int64_t FreeSlotUs(const Rank& rank, Slots slots, int64_t now_us) const;
  int64_t SlotWaitUs(const AdmissionRequest& request, const Rank& rank, int64_t now_us) const;
  size_t QueuedBefore(const Rank& rank) const;
  int64_t RetryAfterMs(int64_t now_us) const;
  int UsableSlots(int64_t service_us) const;
  void Start(const AdmissionRequest& request, int64_t now_us);
  void Enqueue(const AdmissionRequest& request, const Rank& rank);
  void MoveToLateQueue(Queue::iterator entry, int64_t now_us);
  Queue::iterator Dequeue(Queue::iterator entry);
  void EndRunning(std::unordered_map<uint64_t, Running>::iterator entry, int64_t now_us);
  void StartQueued(int64_t now_us, AdmissionChanges& changes);

  Options m_options;
  std::optional<ConcurrencyLimit> m_limit;  // Empty unless the concurrency is adaptive.
  int m_running_long = 0;
  uint64_t m_next_sequence = 0;
  ServiceTimeEstimate m_short_estimate;
  ServiceTimeEstimate m_long_estimate;
  std::map<std::string, ServiceTimeEstimate, std::less<>> m_kind_estimates;
  ServerRateLimit m_rate_limit;
  FairShare m_fair_share;
  std::unordered_map<uint64_t, Running> m_running;
  Queue m_queue;
  std::unordered_map<uint64_t, Rank> m_queued_ranks;
};

// Baseline for comparisons: first in, first out, with an unbounded queue, without regard to
// deadlines, work kinds or limits of the backend server, which are only recorded.
class UnlimitedAdmission {
 public:
  struct Options {
    // Requests that run at the same time; the others are queued.
    int concurrency = 130;
  };

  explicit UnlimitedAdmission(Options options) : m_options(options) {}

  AdmissionDecision Arrive(const AdmissionRequest& request, int64_t now_us);
  AdmissionChanges Finish(uint64_t id, int64_t service_us, int64_t now_us);
  AdmissionChanges Cancel(uint64_t id, int64_t now_us);
  AdmissionChanges Expire(int64_t now_us);
  AdmissionLoad load() const;
  ServerRateLimit& rate_limit() { return m_rate_limit; }
  const ServerRateLimit& rate_limit() const { return m_rate_limit; }

 private:
  AdmissionChanges StartQueued();

  Options m_options;
  ServiceTimeEstimate m_estimate;
  ServerRateLimit m_rate_limit;
  std::unordered_map<uint64_t, bool> m_running;
  std::deque<uint64_t> m_queue;
};

using AdmissionPolicy = std::variant<SlotAdmission, UnlimitedAdmission>;

// Decides about a new request. After kRun the caller starts it and later calls Finish or Cancel;
// after kQueue a later AdmissionChanges names the request.
AdmissionDecision Arrive(AdmissionPolicy& policy, const AdmissionRequest& request, int64_t now_us);

// Records that a running request ended after `service_us` on the backend server. An unknown id is
// ignored.
AdmissionChanges Finish(AdmissionPolicy& policy, uint64_t id, int64_t service_us, int64_t now_us);

// Records that a running or queued request was abandoned and needs no answer. An unknown id is
// ignored.
AdmissionChanges Cancel(AdmissionPolicy& policy, uint64_t id, int64_t now_us);

// Refuses queued requests that can no longer meet their deadline, and starts those whose turn has
// come under a rate limit. Must be called every few tens of milliseconds while requests are queued,
// and when the rate limit has changed.
AdmissionChanges Expire(AdmissionPolicy& policy, int64_t now_us);

AdmissionLoad LoadOf(const AdmissionPolicy& policy);

// The rate limit of the backend server.
ServerRateLimit& RateLimitOf(AdmissionPolicy& policy);
const ServerRateLimit& RateLimitOf(const AdmissionPolicy& policy);

}  // namespace guavatrail
