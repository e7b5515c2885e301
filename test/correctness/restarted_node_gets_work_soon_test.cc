// Guards against entry nodes that send a server no work for seconds after the node beside it is
// back from a restart.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "server_picker.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;
constexpr char kServiceName[] = "catalogo";
constexpr char kRestarting[] = "node-1";

class RestartedNodeGetsWorkSoon : public testing::Test {
 protected:
  RestartedNodeGetsWorkSoon() {
    std::vector<Endpoint> endpoints;
    for (const char* node : {kRestarting, "node-2", "node-3"}) {
      Endpoint endpoint;
      endpoint.node = node;
      endpoint.service = kServiceName;
      endpoint.slots = 9;
      endpoints.push_back(endpoint);
    }
    m_picker.SetEndpoints(std::make_shared<const EndpointList>(std::move(endpoints)), 0);
  }

  void Refuse(const char* reason, int64_t now_us) {
    m_picker.OnAnswerHeaders(kServiceName, kRestarting,
                             {{kOutcomeHeader, kOutcomeNotRun}, {kReasonHeader, reason}}, now_us);
  }

  // Of 300 calls.
  int PicksAt(int64_t now_us) {
    int picks = 0;
    for (int i = 0; i < 300; ++i) {
      const Endpoint* server = m_picker.Pick(kServiceName, {}, false, false, now_us);
      picks += server != nullptr && server->node == kRestarting ? 1 : 0;
    }
    return picks;
  }

  RandomSource m_random{7};
  ServerPicker m_picker{Settings(), m_random};
};

TEST_F(RestartedNodeGetsWorkSoon, AfterItsStop) {
  Refuse(kReasonStopping, 10 * kSecond);
  EXPECT_EQ(PicksAt(10 * kSecond + 500'000), 0);
  EXPECT_GT(PicksAt(11 * kSecond + 100'000), 50);
}

TEST_F(RestartedNodeGetsWorkSoon, AfterItHadNotHeardOfItsServer) {
  Refuse(kReasonNoServer, 10 * kSecond);
  EXPECT_EQ(PicksAt(10 * kSecond + 500'000), 0);
  EXPECT_GT(PicksAt(11 * kSecond + 100'000), 50);
}

TEST_F(RestartedNodeGetsWorkSoon, ButAServerThatLeavesGetsNone) {
  Refuse(kReasonDraining, 10 * kSecond);
  EXPECT_EQ(PicksAt(14 * kSecond), 0);
}

}  // namespace
}  // namespace guavatrail
