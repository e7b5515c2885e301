// Defines EntryProxy, the caller port of a node: it matches a request with its route, places it on
// a serving node, and relays the answer or says what became of the request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "answer_size_estimator.h"
#include "burn.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "external_protocol.h"
#include "http_query.h"
#include "mesh_view.h"
#include "metrics.h"
#include "peer_client.h"
#include "proxy_error.h"
#include "random_source.h"
#include "server_picker.h"
#include "settings.h"
#include "share_chooser.h"

namespace guavatrail {

// One call that has ended. Calls whose caller left are not reported, nor are requests that only
// fetch a key for an order.
struct CallRecord {
  std::string_view service;
  std::string_view kind;
  CallOutcome outcome = CallOutcome::kGood;
  int64_t latency_us = 0;   // From the arrival to the end of the answer.
  uint64_t body_bytes = 0;  // Of the answer.
};
using CallObserver = std::function<void(const CallRecord&)>;

struct EntryCall;
struct EntryAttempt;

class EntryProxy {
 public:
  EntryProxy(EventLoop& loop, const Settings& settings, MeshView view, Metrics& metrics,
             RandomSource& random, CallObserver observer, ExternalProtocol protocol = {});
  ~EntryProxy();
  EntryProxy(const EntryProxy&) = delete;
  EntryProxy& operator=(const EntryProxy&) = delete;

  // Opens the caller port. The error says which port and why.
  tl::expected<void, ProxyError> Listen();
  // Refuses new requests as not run from now on, and calls `idle` once when all others have been
  // answered whole. To be called after the serving proxy is idle: what runs on the backend server
  // may need calls through this port to finish.
  void StartDrain(std::function<void()> idle);

  // Goes on with all requests, and closes each connection behind its next answer.
  void CloseAfterAnswers() { m_listener.CloseAfterAnswers(); }
  void SetPacer(LinkPacer& pacer) { m_listener.SetPacer(pacer); }
  void SetLimits(const CallerLimits& limits);

  uint16_t port() const { return m_listener.port(); }
  size_t calls() const { return m_calls.size(); }
  // Whether every request that was read has been answered.
  bool is_idle() const { return m_calls.empty() && m_replies.empty(); }

 private:
  // From the caller.
  void OnRequest(std::unique_ptr<DownstreamRequest> request);
  void RefuseAtOnce(std::unique_ptr<DownstreamRequest> request, int status,
                    std::string_view reason);
  void Begin(std::unique_ptr<DownstreamRequest> request, const Route& route, const WorkKind& kind,
             uint64_t version, int64_t deadline_us);
  void OnDownstreamEnd(EntryCall& call, bool written);
  void OnDeadline(EntryCall& call);

  // Tries on serving nodes.
  bool StartTry(EntryCall& call, const Endpoint* server, bool is_offer);
  const Endpoint* LeastBusy(EntryCall& call) const;
  static bool WaitsLong(const EntryCall& call);
  void StartNext(EntryCall& call);
  void Hedge(EntryCall& call);
  void PlanHedge(EntryCall& call);
  UpstreamRequest RequestFor(const EntryCall& call, const Endpoint& server, bool is_offer) const;
  void OnHead(EntryCall& call, EntryAttempt& t, const AnswerHead& head);
  bool IsShed(const EntryCall& call, const AnswerHead& head) const;
  bool IsBrokenOff(const EntryCall& call, const AnswerHead& head) const;
  bool MoveElsewhere(EntryCall& call, EntryAttempt& t);
  void OnDone(EntryCall& call, EntryAttempt& t, ExchangeResult end);
  void OnRefused(EntryCall& call);
  void Retry(EntryCall& call);
  bool MayTryAgain(EntryCall& call);
  int64_t ObjectiveUsOf(const EntryCall& call) const;
  void EndTry(EntryCall& call, EntryAttempt& t);
  void EndOtherTries(EntryCall& call, const EntryAttempt* winner);

  // Keyed orders.
  void BeginKeyed(EntryCall& call);
  void FetchKey(EntryCall& call);
  void OnKeyReply(EntryCall& call, const std::string& node, const std::optional<HttpReply>& reply);
  void FenceOrder(EntryCall& call);
  void OnFenceReply(EntryCall& call, const std::optional<HttpReply>& reply);

  // Final answers without one of the server.
  void AnswerNotRun(EntryCall& call, int64_t retry_after_ms);
  void AnswerUnknown(EntryCall& call, int status);
  void AnswerFailed(EntryCall& call, int status);
  void Answer(EntryCall& call, int status, HeaderList headers, CallOutcome outcome);
  void Observe(EntryCall& call, CallOutcome outcome);
  void LogCall(const EntryCall& call, CallOutcome outcome) const;
  void HideNodeHeaders(HeaderList& headers) const;
  std::string CallerIdOf(const DownstreamRequest& request) const;
  void EchoRequestId(const DownstreamRequest& request, HeaderList& headers) const;
  void Remove(EntryCall& call);
  void CheckIdle();

  EventLoop& m_loop;
  std::string m_name;
  std::string m_service;
  std::string m_ip;
  uint16_t m_configured_port;
  MeshView m_view;
  Metrics& m_metrics;
  CallObserver m_observer;
  ServerPicker m_picker;
  PeerClient m_peers;
  std::string m_id_prefix;  // Distinguishes request ids of this process from all others.
  uint64_t m_next_id = 1;
  HttpListener m_listener;
  PendingReplies m_replies;
  std::unordered_map<uint64_t, std::unique_ptr<EntryCall>> m_calls;
  ExternalProtocol m_protocol;
  ShareChooser m_shares;
  AnswerSizeEstimator m_answer_sizes;
  RandomSource& m_random;
  bool m_draining = false;
  std::function<void()> m_on_idle;
  DeferredQueue m_deferred;
};

}  // namespace guavatrail
