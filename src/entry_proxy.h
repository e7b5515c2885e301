// Defines EntryProxy, which serves the caller port of a node: it matches each request with a route,
// forwards it to a serving node, and relays the answer or reports the outcome of the request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "answer_size_estimator.h"
#include "burn.h"
#include "crash_blame.h"
#include "crash_containment.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "external_protocol.h"
#include "http_listener.h"
#include "http_query.h"
#include "local_bodies.h"
#include "mesh_view.h"
#include "metrics.h"
#include "peer_client.h"
#include "pending_replies.h"
#include "proxy_error.h"
#include "quarantine_trials.h"
#include "quota_enforcer.h"
#include "quota_refusals.h"
#include "random_source.h"
#include "server_picker.h"
#include "settings.h"
#include "share_chooser.h"

namespace guavatrail {

// A completed call. Calls whose caller disconnected and requests that only fetch an order key are
// not reported.
struct CallRecord {
  std::string_view service;
  std::string_view kind;
  CallOutcome outcome = CallOutcome::kGood;
  int64_t latency_us = 0;   // From the arrival of the request to the end of the answer.
  uint64_t body_bytes = 0;  // Size of the answer body.
};
using CallObserver = std::function<void(const CallRecord&)>;

struct EntryCall;
struct EntryAttempt;

// The terms on which a request is forwarded.
struct CallTerms {
  const ConfigTable& table;  // In force when the request arrived.
  const Route& route;
  const WorkKind& kind;
  const Workspace* workspace;  // Null: none.
  int64_t deadline_us = 0;
  // Of a request in quarantine that runs as a trial; else empty.
  std::string trial_fingerprint;
};

class EntryProxy {
 public:
  EntryProxy(EventLoop& loop, const Settings& settings, MeshView view, Metrics& metrics,
             RandomSource& random, CallObserver observer, ExternalProtocol protocol = {});
  ~EntryProxy();
  EntryProxy(const EntryProxy&) = delete;
  EntryProxy& operator=(const EntryProxy&) = delete;

  // Opens the caller port.
  tl::expected<void, ProxyError> Listen();
  // From now on refuses new requests as not run, and calls `idle` once when all earlier requests
  // have been answered completely. Must be called after the serving proxy is idle, since requests
  // running on the backend server may need calls through this port to finish.
  void StartDrain(std::function<void()> idle);

  // The process ends at `end_us`, in monotonic microseconds. From now on refuses new requests as
  // not run if their deadline leaves no time to answer them before, since they would be cut off.
  void SetEndTime(int64_t end_us) { m_end_us = end_us; }
  // Continues to serve requests, but closes each connection after its next answer.
  void CloseAfterAnswers() { m_listener.CloseAfterAnswers(); }
  void SetPacer(LinkPacer& pacer) { m_listener.SetPacer(pacer); }
  void SetLimits(const CallerLimits& limits);
  void SetMemory(std::shared_ptr<RequestMemory> memory) { m_listener.SetMemory(std::move(memory)); }
  // From now on hands large bodies to the serving proxy of this node through `bodies`.
  void SetLocalBodies(LocalBodies& bodies) { m_local_bodies = &bodies; }
  // From now on refuses requests that `blame` has in quarantine as not run.
  void SetCrashBlame(const CrashBlame& blame) { m_blame = &blame; }
  // From now on runs the trials of such requests that `trials` decides on, and calls `claim` with
  // the fingerprint of a request to claim a trial of it.
  using TrialClaimer = std::function<void(const std::string& fingerprint)>;
  void SetQuarantineTrials(QuarantineTrials& trials, TrialClaimer claim) {
    m_trials = &trials;
    m_claim_trial = std::move(claim);
  }
  // From now on removes the headers of callers that concern keys and workspaces, also while the
  // configuration requires no keys: callers may still send keys that were given to them before.
  void RemoveIdentityHeaders() { m_removes_identity_headers = true; }
  // From now on refuses requests of workspaces above their quota as not run.
  void SetQuotas(QuotaEnforcer& quotas) { m_quotas = &quotas; }
  // From now on sends contained requests only to the nodes of their shard.
  void SetContainment(CrashContainment& containment) { m_containment = &containment; }

  uint16_t port() const { return m_listener.port(); }
  // Accepts the connections of callers.
  const HttpListener& listener() const { return m_listener; }
  size_t calls() const { return m_calls.size(); }
  // Whether every request received has been answered.
  bool is_idle() const { return m_calls.empty() && m_replies.empty(); }

 private:
  // Requests of callers.
  bool MayOverlap(const RequestTarget& target) const;
  void OnRequest(std::unique_ptr<DownstreamRequest> request);
  // `retry_after_ms` is sent with a 429 or 503 only.
  void RefuseRequest(std::unique_ptr<DownstreamRequest> request, int status,
                     std::string_view reason, int64_t retry_after_ms = 0);
  void SetRetryAfterFor(HeaderList& headers, int64_t retry_after_ms) const;
  bool IsTrial(const std::string& fingerprint);
  bool IsQuarantined(std::unique_ptr<DownstreamRequest>& request, const Workspace* workspace,
                     std::string& trial_fingerprint);
  void StartCall(std::unique_ptr<DownstreamRequest> request, const CallTerms& terms);
  bool IsAboveQuota(std::unique_ptr<DownstreamRequest>& request, const Workspace* workspace);
  void ReturnQuota(EntryCall& call);
  static void StartDeadlineTimer(EntryCall& call, int64_t end_us);
  void StartTrial(EntryCall& call, const std::string& fingerprint);
  void LimitToShard(EntryCall& call);
  void OnDownstreamEnd(EntryCall& call, bool written);
  void OnDeadline(EntryCall& call);
  void EndAnswerAtTimeout(EntryCall& call);

  // Attempts on serving nodes.
  bool StartAttempt(EntryCall& call, const Endpoint* server, bool is_offer);
  const Endpoint* TakeLeastBusy(EntryCall& call) const;
  static bool HasLongWait(const EntryCall& call);
  void StartNextAttempt(EntryCall& call);
  void SendHedge(EntryCall& call);
  void ScheduleHedge(EntryCall& call);
  void SetWorkspaceHeaders(const EntryCall& call, HeaderList& headers) const;
  bool IsOwnNode(const Endpoint& server) const;
  UpstreamRequest RequestFor(const EntryCall& call, const Endpoint& server, bool is_offer) const;
  void OnHead(EntryCall& call, EntryAttempt& attempt, const AnswerHead& head);
  bool IsShedByServer(const EntryCall& call, const AnswerHead& head) const;
  bool IsRetryableFailure(const EntryCall& call, const AnswerHead& head) const;
  bool RetryOnAnotherServer(EntryCall& call, EntryAttempt& attempt);
  void OnDone(EntryCall& call, EntryAttempt& attempt, ExchangeResult result);
  void OnRefused(EntryCall& call);
  void Retry(EntryCall& call);
  bool CanRetry(EntryCall& call);
  int64_t ObjectiveUsOf(const EntryCall& call) const;
  void FinishAttempt(EntryCall& call, EntryAttempt& attempt);
  void CancelOtherAttempts(EntryCall& call, const EntryAttempt* winner);

  // Keyed orders.
  void StartKeyedCall(EntryCall& call);
  void FetchKey(EntryCall& call);
  void OnKeyReply(EntryCall& call, const std::string& node, const std::optional<HttpReply>& reply);
  void FenceOrder(EntryCall& call);
  void OnFenceReply(EntryCall& call, const std::optional<HttpReply>& reply);

  // Answers generated by this node.
  void AnswerNotRun(EntryCall& call, int64_t retry_after_ms);
  void AnswerUnknown(EntryCall& call, int status);
  void AnswerFailed(EntryCall& call, int status);
  void Answer(EntryCall& call, int status, HeaderList headers, CallOutcome outcome);
  void RecordOutcome(EntryCall& call, CallOutcome outcome);
  void LogCall(const EntryCall& call, CallOutcome outcome) const;
  void FilterNodeHeaders(HeaderList& headers) const;
  std::string CallerRequestId(const DownstreamRequest& request) const;
  void EchoRequestId(const DownstreamRequest& request, HeaderList& headers) const;
  void Remove(EntryCall& call);
  void CheckIdle();

  EventLoop& m_loop;
  std::string m_name;
  std::string m_service;
  std::string m_ip;
  uint16_t m_configured_port;
  std::string m_advertised_ip;
  uint16_t m_peer_port;
  MeshView m_view;
  Metrics& m_metrics;
  CallObserver m_observer;
  ServerPicker m_picker;
  PeerClient m_peers;
  std::string m_id_prefix;  // Makes request ids unique across processes.
  uint64_t m_next_id = 1;
  HttpListener m_listener;
  PendingReplies m_replies;
  std::unordered_map<uint64_t, std::unique_ptr<EntryCall>> m_calls;
  ExternalProtocol m_protocol;
  ShareChooser m_shares;
  AnswerSizeEstimator m_answer_sizes;
  RandomSource& m_random;
  const CrashBlame* m_blame = nullptr;
  QuarantineTrials* m_trials = nullptr;  // Null: no trials.
  TrialClaimer m_claim_trial;
  CrashContainment* m_containment = nullptr;
  QuotaEnforcer* m_quotas = nullptr;
  QuotaRefusals m_quota_refusals;
  LocalBodies* m_local_bodies = nullptr;
  bool m_removes_identity_headers = false;
  bool m_draining = false;
  std::optional<int64_t> m_end_us;  // When the process ends, if it is stopping.
  std::function<void()> m_on_idle;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
