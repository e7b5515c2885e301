// Guards against an entry node that avoids a serving node because it has refused a request in
// quarantine, for as long as the quarantine lasts.
#include <gtest/gtest.h>

#include "http_headers.h"
#include "server_picker.h"

namespace guavatrail {
namespace {

constexpr int64_t kNowUs = 1'000'000;

TEST(QuarantineDoesNotBackOffNodes, NodeGetsFurtherCalls) {
  Settings settings;
  settings.node.data_centre = "braga";
  RandomSource random(5);
  ServerPicker picker(settings, random);
  std::vector<Endpoint> endpoints;
  for (const char* node : {"node-1", "node-2"}) {
    Endpoint endpoint;
    endpoint.node = node;
    endpoint.service = "shop";
    endpoint.data_centre = "braga";
    endpoint.slots = 9;
    endpoints.push_back(endpoint);
  }
  picker.SetEndpoints(std::make_shared<const EndpointList>(endpoints), kNowUs);
  picker.OnAnswerHeaders("shop", "node-1",
                         {{kOutcomeHeader, kOutcomeNotRun},
                          {kReasonHeader, kReasonQuarantined},
                          {kRetryAfterMsHeader, "300000"}},
                         kNowUs);
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    const Endpoint* server = picker.Pick("shop", {}, false, false, kNowUs + i);
    ASSERT_NE(server, nullptr);
    if (server->node == "node-1") ++calls;
  }
  EXPECT_GE(calls, 20);
}

}  // namespace
}  // namespace guavatrail
