// Guards against servers of a version on trial that get more than a small share of the calls: when
// many entry nodes place few calls each, when the other servers are busy, or by retries; and
// against calls that fail because only such servers are left.
#include <gtest/gtest.h>

#include "server_picker.h"

namespace guavatrail {
namespace {

constexpr char kService[] = "catalogo";
constexpr int64_t kNowUs = 1'000'000'000;

class CanaryShareTest : public testing::Test {
 protected:
  void SetServers(int regular, int canaries, bool draining = false) {
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < regular + canaries; ++i) {
      Endpoint endpoint{.node = "n" + std::to_string(i), .service = kService, .slots = 9};
      endpoint.is_canary = i >= regular;
      endpoint.draining = draining && !endpoint.is_canary;
      endpoints.push_back(endpoint);
    }
    m_picker.SetEndpoints(std::make_shared<const EndpointList>(endpoints), m_now_us);
  }

  // Whether the call was placed on a canary; nullopt if it was not placed.
  std::optional<bool> Place(const std::set<std::string>& excluded = {}) {
    m_now_us += 1'000;
    const Endpoint* server = m_picker.Pick(kService, excluded, true, false, m_now_us);
    return server == nullptr ? std::nullopt : std::optional(server->is_canary);
  }

  int CanaryCalls(int calls, const std::set<std::string>& excluded = {}) {
    int canary_calls = 0;
    for (int i = 0; i < calls; ++i) canary_calls += Place(excluded).value_or(false) ? 1 : 0;
    return canary_calls;
  }

  void Refuse(const std::string& node, const std::string& reason) {
    m_picker.OnAnswerHeaders(
        kService, node,
        {{kOutcomeHeader, kOutcomeNotRun}, {kReasonHeader, reason}, {kRetryAfterMsHeader, "60000"}},
        m_now_us);
  }

  Settings m_settings;
  RandomSource m_random{7};
  ServerPicker m_picker{m_settings, m_random};
  int64_t m_now_us = kNowUs;
};

TEST_F(CanaryShareTest, CanariesGetASmallShare) {
  SetServers(3, 3);
  int calls = CanaryCalls(2'000);
  EXPECT_GE(calls, 99);
  EXPECT_LE(calls, 101);
}

TEST_F(CanaryShareTest, ManyEntryNodesWithFewCallsKeepTheShare) {
  int canary_calls = 0;
  for (int node = 0; node < 1'000; ++node) {
    CanaryShare share(m_random.Unit());
    for (int i = 0; i < 4; ++i) canary_calls += share.OnCall() ? 1 : 0;
  }
  EXPECT_NEAR(canary_calls, 200, 60);
}

TEST_F(CanaryShareTest, BusyServersDoNotPassTheirCallsToCanaries) {
  SetServers(2, 2);
  for (const char* node : {"n0", "n1"}) Refuse(node, kReasonBusy);
  EXPECT_LE(CanaryCalls(1'000), 51);
}

TEST_F(CanaryShareTest, RetriesDoNotGoToCanaries) {
  SetServers(2, 2);
  EXPECT_EQ(CanaryCalls(100, {"n0"}), 0);
  // Nor when every other server has been tried.
  EXPECT_FALSE(Place({"n0", "n1"}).has_value());
}

TEST_F(CanaryShareTest, CanariesGetAllCallsWhenNoOtherServerIsInService) {
  SetServers(2, 2, true);
  EXPECT_EQ(CanaryCalls(100), 100);
}

// The entry node has not learned from the endpoint list that the old servers are closed.
TEST_F(CanaryShareTest, CanariesGetAllCallsWhenTheOthersRefuseAsClosed) {
  SetServers(2, 2);
  for (const char* node : {"n0", "n1"}) Refuse(node, kReasonDraining);
  EXPECT_EQ(CanaryCalls(100), 100);
}

TEST_F(CanaryShareTest, BusyCanariesPassTheirCallsOn) {
  SetServers(2, 1);
  Refuse("n2", kReasonBusy);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(Place(), false);
}

// Its node has ended, and the endpoint list still contains it.
TEST_F(CanaryShareTest, UnreachableCanaryDoesNotTakeTheCallsOfTheOthers) {
  SetServers(2, 2);
  m_picker.OnFailure(kService, "n3", m_now_us);
  for (int i = 0; i < 1'000; ++i) {
    m_now_us += 1'000;
    const Endpoint* server = m_picker.Pick(kService, {}, true, false, m_now_us);
    ASSERT_NE(server, nullptr);
    EXPECT_NE(server->node, "n3");
  }
}

// A large answer stays in the data centre if the service has a server there.
TEST_F(CanaryShareTest, LocalCanaryDoesNotStopCallsToOtherDataCentres) {
  Endpoint regular{.node = "n0", .service = kService, .data_centre = "porto", .slots = 9};
  Endpoint canary{.node = "n1", .service = kService, .data_centre = "braga", .slots = 9};
  canary.is_canary = true;
  m_settings.node.data_centre = "braga";
  ServerPicker picker(m_settings, m_random);
  picker.SetEndpoints(std::make_shared<const EndpointList>(std::vector{regular, canary}), kNowUs);
  for (int i = 0; i < 100; ++i) {
    EXPECT_NE(picker.Pick(kService, {}, false, true, kNowUs + i), nullptr);
  }
}

TEST_F(CanaryShareTest, SlowCanariesKeepTheirShare) {
  SetServers(3, 1);
  for (int i = 0; i < 400; ++i) {
    for (const char* node : {"n0", "n1", "n2", "n3"}) {
      int64_t service_us = std::string(node) == "n3" ? 200'000 : 10'000;
      m_now_us += 1'000;
      m_picker.OnAnswer(kService, "lookup", node, service_us, service_us, m_now_us);
    }
  }
  EXPECT_GE(CanaryCalls(1'000), 49);
}

}  // namespace
}  // namespace guavatrail
