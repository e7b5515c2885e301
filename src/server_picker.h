// Defines ServerPicker, which applies the call policies of an entry node: it chooses the server for
// a call and decides whether the call may be retried or hedged.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "canary_share.h"
#include "endpoint.h"
#include "hedge_policy.h"
#include "http_headers.h"
#include "outlier_detector.h"
#include "placement.h"
#include "random_source.h"
#include "retry_budget.h"
#include "settings.h"

namespace guavatrail {

// All times are monotonic microseconds.
class ServerPicker {
 public:
  ServerPicker(const Settings& settings, RandomSource& random);

  // Sets the endpoint list; returns at once if it is the current one.
  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints, int64_t now_us);

  // Returns the server for a call to `service`, or null if every server of it is dead, has left, is
  // draining or is in `excluded`. With `may_probe` the call may go as a probe to a server that was
  // ejected for being slow. With `local_only` the call stays in this data centre if the service has
  // servers there. Of the calls of a service with canaries, only a small share goes to them, and
  // only when `excluded` is empty: a retry goes to a server that is not on trial.
  const Endpoint* Pick(std::string_view service, const std::set<std::string>& excluded,
                       bool may_probe, bool local_only, int64_t now_us);
  const EndpointList& endpoints() const { return *m_endpoints; }
  // Whether the node is in this data centre.
  bool IsLocal(std::string_view node) const;

  // Events of calls. Each OnCallSent is followed by exactly one OnCallEnded.
  void OnCall(std::string_view service);
  void OnCallSent(std::string_view node, int64_t now_us);
  void OnCallEnded(std::string_view node);
  // Evaluates the headers of any answer of a node: its load report and the back-off that it asks
  // for.
  void OnAnswerHeaders(std::string_view service, std::string_view node, const HeaderList& headers,
                       int64_t now_us);
  // What the node last stated about its server, to be sent back to it; empty if nothing.
  std::string_view ServerStatementOf(std::string_view node) const;
  // Records an answer to a call of `kind`: `service_us` is the time on the server, `latency_us`
  // the time seen by the caller.
  void OnAnswer(std::string_view service, std::string_view kind, std::string_view node,
                int64_t service_us, int64_t latency_us, int64_t now_us);
  void OnFailure(std::string_view service, std::string_view node, int64_t now_us);

  // Consumes a retry from the budget of the service; false if the budget is exhausted.
  bool TakeRetry(std::string_view service);
  // The time after which a call may be hedged; empty while it is not known.
  std::optional<int64_t> HedgeDelayUs(std::string_view service, std::string_view kind,
                                      int64_t now_us) const;
  // Consumes a hedge from the budget of the service; false if none may be sent now.
  bool TakeHedge(std::string_view service, int64_t now_us);

 private:
  struct Service {
    PlacementPolicy placement;
    OutlierPolicy outliers;
    RetryBudget retries;
    HedgePolicy hedges;
    std::optional<CanaryShare> canaries = {};  // Set once the service has canaries.
  };
  // The servers that a call may be placed on.
  enum class Pool { kAll, kRegular, kCanary };
  Pool PoolFor(std::string_view service, const std::set<std::string>& excluded, int64_t now_us);
  bool IsAbsent(const std::string& node, int64_t now_us) const;
  const Endpoint* PickFrom(Pool pool, std::string_view service,
                           const std::set<std::string>& excluded, bool may_probe, bool local_only,
                           int64_t now_us);
  Service& ServiceOf(std::string_view name);
  void RemoveOldStatements(int64_t now_us);
  static bool IsIn(Pool pool, const Endpoint& endpoint);
  bool HasLocal(Pool pool, std::string_view service) const;
  double RetryReserve() const;

  std::string m_placement_name;
  std::string m_local_data_centre;
  double m_retry_share;
  double m_hedge_share;
  double m_shared_retry_reserve;
  RandomSource& m_random;
  std::shared_ptr<const EndpointList> m_endpoints;
  LoadTracker m_tracker;
  std::map<std::string, Service, std::less<>> m_services;
  struct Statement {
    std::string text;
    int64_t received_us = 0;
  };
  std::map<std::string, Statement, std::less<>> m_server_statements;  // By node.
  // Time until which a node counts as having no server in service, after a refusal that says so or
  // a failed exchange.
  std::map<std::string, int64_t, std::less<>> m_absent_until_us;
};

}  // namespace guavatrail
