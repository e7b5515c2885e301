// Defines ServerPicker, the state of the call policies of an entry node: which server a call goes
// to, and whether it may be retried or hedged.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

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

  // Takes over a new endpoint list; cheap when it is the one already known.
  void SetEndpoints(std::shared_ptr<const EndpointList> endpoints, int64_t now_us);

  // The server for a call to `service`, or null when none is alive, not draining and not in
  // `excluded`. `may_probe` lets the call go to a server that was put aside for being slow.
  // `stays_local` keeps it in this data centre, where the service has servers there.
  const Endpoint* Pick(std::string_view service, const std::set<std::string>& excluded,
                       bool may_probe, bool stays_local, int64_t now_us);
  const EndpointList& endpoints() const { return *m_endpoints; }
  // Whether the node is in this data centre.
  bool IsLocal(std::string_view node) const;

  // Events of calls. Sent and OnCallEnded come in pairs.
  void OnCall(std::string_view service);
  void OnCallSent(std::string_view node, int64_t now_us);
  void OnCallEnded(std::string_view node);
  // The headers of any answer of a node: its load, and how long it asks to be left alone.
  void OnAnswerHeaders(std::string_view service, std::string_view node, const HeaderList& headers,
                       int64_t now_us);
  // A server answered `kind` after `service_us` on the server; `latency_us` is the caller's view.
  void OnAnswer(std::string_view service, std::string_view kind, std::string_view node,
                int64_t service_us, int64_t latency_us, int64_t now_us);
  void OnFailure(std::string_view service, std::string_view node, int64_t now_us);

  // Takes a retry from the budget of the service; false when there is none.
  bool TakeRetry(std::string_view service);
  // The time after which a call may be hedged; empty while it is not known.
  std::optional<int64_t> HedgeDelayUs(std::string_view service, std::string_view kind,
                                      int64_t now_us) const;
  // Takes a hedge from the budget of the service; false when there is none.
  bool TakeHedge(std::string_view service, int64_t now_us);

 private:
  struct Service {
    PlacementPolicy placement;
    OutlierPolicy outliers;
    RetryBudget retries;
    HedgePolicy hedges;
  };
  Service& ServiceOf(std::string_view name);
  bool HasLocal(std::string_view service) const;
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
};

}  // namespace guavatrail
