// Defines ServingProxy, which serves the peer port of a node: it admits calls from entry nodes,
// forwards them to the node's backend server, and keeps the ledger of orders bound to this node.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "admission.h"
#include "answer_size_estimator.h"
#include "connection_pool.h"
#include "crash_blame.h"
#include "crash_containment.h"
#include "crash_detector.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "external_protocol.h"
#include "failure_rate.h"
#include "http_listener.h"
#include "keyed_orders.h"
#include "label_values.h"
#include "local_bodies.h"
#include "metrics.h"
#include "pending_replies.h"
#include "proxy_error.h"
#include "random_source.h"
#include "request_memory.h"
#include "rollout_counts.h"
#include "server_registry.h"
#include "settings.h"
#include "work_tag.h"

namespace guavatrail {

class ServingProxy {
 public:
  // Work kinds with metrics of their own; others are counted as LabelValues::kOther.
  static constexpr size_t kMaxKindLabels = 256;

  struct ServerObserver {
    // Another server than `server_id` answers at the address.
    std::function<void(const std::string& server_id)> on_wrong_server;
    // The server cannot be connected to, or breaks off consecutive requests without an answer.
    std::function<void(const std::string& server_id)> on_unreachable;
    // The server has stated that it is leaving. The gate must be closed for it.
    std::function<void(const ServerLifetime& server)> on_leaving;
  };

  // `incarnation` identifies this run of the process. Orders with a key of another incarnation are
  // not run.
  ServingProxy(EventLoop& loop, const Settings& settings, uint64_t incarnation, Metrics& metrics,
               RandomSource& random, ExternalProtocol protocol = {});
  ~ServingProxy();
  ServingProxy(const ServingProxy&) = delete;
  ServingProxy& operator=(const ServingProxy&) = delete;

  // Opens the peer port.
  tl::expected<void, ProxyError> Listen();
  // From now on refuses new work as not run, and calls `idle` once when everything admitted before
  // has been answered completely.
  void StartDrain(std::function<void()> idle);

  // The backend server beside the node is `server`. If it was another one before, refuses new work
  // as not run until OpenGate.
  void SetServer(const ServerLifetime& server);
  // From now on sends new work to the backend server `server`, unless it has stated that it is
  // leaving. Initially the gate is open and requests carry no server id.
  void OpenGate(const ServerLifetime& server, int slots);
  // Refuses new work as not run. Running requests continue; queued ones may still start during
  // `queue_time` and are then refused.
  void CloseGate(std::string_view reason, std::chrono::milliseconds queue_time);
  // The process ends at `end_us`, in monotonic microseconds. From now on refuses new work as not
  // run if its deadline is later.
  void SetEndTime(int64_t end_us) { m_end_us = end_us; }
  // Tells entry nodes that `server` is leaving, as an answer of the server may state.
  void StateLeave(const ServerLifetime& server);
  // Sets the handler of the requests of other nodes for an internal path.
  void SetPathHandler(const std::string& path, HttpListener::Handler handler) {
    m_path_handlers[path] = std::move(handler);
  }
  // Paces large answers, and refuses requests of work kinds with large answers while the link
  // cannot send them in time.
  void SetPacer(LinkPacer& pacer) {
    m_pacer = &pacer;
    m_listener.SetPacer(pacer);
  }
  // From now on, what clients of the peer port hold and what decoded messages of nodes take counts
  // in `memory`.
  void SetMemory(std::shared_ptr<RequestMemory> memory);
  // Must be at least what entry nodes accept, since they forward whole bodies.
  void SetMaxBodyBytes(size_t bytes) { m_listener.SetLimits({.max_body_bytes = bytes}); }
  // From now on takes the large bodies of this node's own entry proxy from `bodies`.
  void SetLocalBodies(LocalBodies& bodies) { m_local_bodies = &bodies; }
  void SetServerObserver(ServerObserver observer) { m_observer = std::move(observer); }
  // From now on calls `observer` with each request that the current backend server has answered,
  // broken off or not answered in time, apart from those that it refused as not run.
  void SetResultObserver(std::function<void(const ServerResult&)> observer) {
    m_on_result = std::move(observer);
  }
  // From now on records in `blame` which requests are running when the backend server crashes and
  // which are answered, calls `on_change` with the fingerprints concerned, and refuses requests in
  // quarantine as not run. `blame` must outlive the proxy.
  using SuspectObserver = std::function<void(const std::vector<std::string>& fingerprints)>;
  void SetCrashBlame(CrashBlame& blame, SuspectObserver on_change);

  // The connections to the backend server.
  ConnectionPool& server_connections() { return m_pool; }
  // From now on runs one copy of a contained request at a time, and none that it ran when the
  // backend server crashed. `containment` must outlive the proxy.
  void SetContainment(CrashContainment& containment) { m_containment = &containment; }

  uint16_t port() const { return m_listener.port(); }
  size_t calls() const { return m_calls.size(); }
  bool is_gate_open() const { return m_gate.is_open; }
  bool is_draining() const { return m_draining; }
  AdmissionLoad load() const { return LoadOf(m_admission); }

 private:
  struct Call;

  void OnRequest(std::unique_ptr<DownstreamRequest> request);
  void OnInternalPath(std::unique_ptr<DownstreamRequest> request);
  void HandleMessage(const HttpListener::Handler& handler,
                     std::unique_ptr<DownstreamRequest> request);
  bool TakeLocalBody(std::unique_ptr<DownstreamRequest>& request);
  void IssueKey(std::unique_ptr<DownstreamRequest> request);
  void Fence(std::unique_ptr<DownstreamRequest> request);
  void Probe(std::unique_ptr<DownstreamRequest> request);

  void OnOrder(std::unique_ptr<DownstreamRequest> request, const WorkTag& work);
  bool CancelQueuedOrder(uint64_t serial);
  void RefuseRequest(std::unique_ptr<DownstreamRequest> request, std::string_view reason,
                     int64_t retry_after_ms);

  void OnBrokenOff(const Call& call);
  bool IsRunning(uint64_t id) const;
  void OnServerCrashed(const ServerLifetime& server, const std::vector<RunningRequest>& running);
  void OnServerAnswer(const Call& call);
  bool IsContainedHere(const DownstreamRequest& request) const;

  void Admit(std::unique_ptr<DownstreamRequest> request, const WorkTag& work, uint64_t serial);
  std::optional<int64_t> LinkWaitMs(const Call& call, bool is_offer) const;
  int64_t PendingAnswerBytes(const Call& call) const;
  void Apply(const AdmissionChanges& changes);
  void Run(Call& call);
  void Send(Call& call, std::chrono::milliseconds max_idle);
  void Refuse(Call& call, int64_t retry_after_ms, std::string_view reason);
  void EndNotRun(Call& call, int64_t retry_after_ms, std::string_view reason);
  void OnHead(Call& call, const AnswerHead& head);
  bool IsRefusal(const AnswerHead& head) const;
  HeaderList ServerHeaders(const Call& call) const;
  void OnServerRefusal(Call& call);
  void OnServerNotice(Call& call, const AnswerHead& head);
  void OnServerStatement(const DownstreamRequest& request);
  void EndLimit();
  void OnLimitChanged(std::string_view source);
  void OnServerLeaving(std::string_view source);
  // Requests a second that the server takes; kNoLimit if it names no limit.
  double LimitInForce() const;
  // Time since the limit was last named; 0 without a limit.
  int64_t LimitAgeMs(int64_t now_us) const;
  std::optional<std::string> ServerStatementText() const;
  void RefuseQueue();
  void OnData(Call& call, evbuffer* data);
  void OnDone(Call& call, ExchangeResult result);
  void OnTimer(Call& call);
  void OnAnswerTimeout(Call& call);
  void OnDownstreamEnd(Call& call, bool written);
  void FinishOrder(Call& call, ExchangeResult result);
  void AnswerNotRun(Call& call, std::string_view reason, int64_t retry_after_ms);
  void AnswerUnknown(Call& call, int status);
  void RecordServerResult(const Call& call, ExchangeResult result);
  void RecordTimeout(const Call& call);
  void ReportResult(const Call& call, bool is_failure) const;
  // A timeout counts as a failure of the server; a disconnected entry node or a caller that reads
  // too slowly does not.
  enum class AbortCause { kServerTimeout, kCallerSlow, kDownstreamClosed };
  static AbortCause TimeoutCauseOf(const Call& call);
  static AbortCause CloseCauseOf(const Call& call);
  static std::string_view ReasonOf(AbortCause cause);
  void CountTimeout(AbortCause cause);
  void Abort(Call& call, AbortCause cause);
  void RemoveIfEnded(Call& call);
  void LogEnd(const Call& call, std::string_view outcome, std::string_view reason) const;
  void ExpireQueued();
  void CheckIdle();
  void ReportLoad();
  void ReportConcurrency(const AdmissionLoad& load);
  HeaderList NodeHeaders(std::string_view outcome, std::string_view request_id) const;

  // Controls whether the backend server is sent new work.
  struct Gate {
    bool is_open = true;
    ServerLifetime server;     // Current backend server; no id: requests carry no server id.
    std::string reason;        // Reason why the gate is closed.
    bool is_leaving = false;   // The server has stated that it is leaving.
    int64_t queue_end_us = 0;  // While closed: queued requests may start until then.
  };

  EventLoop& m_loop;
  ExternalProtocol m_protocol;
  ServerObserver m_observer;
  std::function<void(const ServerResult&)> m_on_result;  // Null: nobody observes.
  std::map<std::string, HttpListener::Handler, std::less<>> m_path_handlers;
  LinkPacer* m_pacer = nullptr;
  AnswerSizeEstimator m_answer_sizes;
  Gate m_gate;
  std::string m_name;
  std::string m_service;
  Metrics& m_metrics;
  LabelValues m_kind_labels{kMaxKindLabels};
  AdmissionPolicy m_admission;
  bool m_has_adaptive_concurrency;
  // The concurrency limit as last seen and as last logged; 0: not yet.
  struct {
    int limit = 0;
    int logged_limit = 0;
    int64_t next_log_us = 0;
  } m_concurrency;
  FailureRate m_failures;  // Failure rate of the backend server.
  CrashBlame* m_blame = nullptr;
  CrashContainment* m_containment = nullptr;
  LocalBodies* m_local_bodies = nullptr;
  std::shared_ptr<RequestMemory> m_memory;  // Null: nothing is counted.
  SuspectObserver m_on_suspects_changed;
  CrashDetector m_crash_detector;
  KeyedOrders m_orders;
  ConnectionPool m_pool;
  HttpListener m_listener;
  std::string m_ip;
  uint16_t m_configured_port;
  PendingReplies m_replies;
  Timer m_queue_timer;
  Timer m_gate_timer;
  std::unordered_map<uint64_t, std::unique_ptr<Call>> m_calls;
  std::map<std::string, Call*, std::less<>> m_by_request_id;
  std::unordered_map<uint64_t, Call*> m_by_serial;
  uint64_t m_next_id = 1;
  bool m_draining = false;
  std::optional<int64_t> m_end_us;  // When the process ends, if it is stopping.
  std::function<void()> m_on_idle;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
