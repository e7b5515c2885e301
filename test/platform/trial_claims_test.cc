// Guards against two processes that use the same trial of a request in quarantine, and against
// trials that are lost because the answer of the store is.
#include <gtest/gtest.h>

#include "fake_store.h"
#include "quarantine_store.h"
#include "test_loop.h"

namespace guavatrail::platform {
namespace {

using Claim = QuarantineStore::TrialClaim;

class TrialClaims : public testing::Test {
 protected:
  // A process that claims trials.
  struct Process {
    Process(EventLoop& loop, uint16_t port, const std::string& name)
        : client(loop, {.ip = "127.0.0.1", .port = port, .timeout = std::chrono::milliseconds(100)},
                 metrics),
          store(loop, client, name, [this](const auto& suspects) { stored = suspects; }) {
      client.SetEraHandler([this] { store.OnNewEra(); });
    }
    Metrics metrics;
    StoreClient client;
    std::vector<CrashSuspect> stored;
    QuarantineStore store;
  };

  TrialClaims() {
    for (const char* name : {"node-1/1", "node-2/1"}) {
      m_processes.push_back(std::make_unique<Process>(m_loop, m_store.port(), name));
    }
  }

  static CrashSuspect Suspect(int trials = 0) {
    return {.fingerprint = "a",
            .crashes = {"1/i-1", "1/i-2", "1/i-3"},
            .quarantine_left_ms = 300'000,
            .trials = trials};
  }

  // The result of a claim; set when it is known.
  std::shared_ptr<std::optional<Claim>> Send(Process& process, int trials = 0) {
    auto result = std::make_shared<std::optional<Claim>>();
    process.store.ClaimTrial(Suspect(trials), [result](Claim claim) { *result = claim; });
    return result;
  }

  Claim Wait(const std::shared_ptr<std::optional<Claim>>& result) {
    EXPECT_TRUE(RunUntil(m_loop, [&] { return result->has_value(); }));
    return result->value_or(Claim{});
  }

  EventLoop m_loop;
  FakeStore m_store{m_loop};
  std::vector<std::unique_ptr<Process>> m_processes;
};

TEST_F(TrialClaims, OneOfTwoProcessesIsGrantedATrial) {
  auto first = Send(*m_processes[0]);
  auto second = Send(*m_processes[1]);
  EXPECT_NE(Wait(first).is_granted, Wait(second).is_granted);
  EXPECT_EQ(Wait(first).trial, 1);
  EXPECT_EQ(Wait(second).trial, 1);
}

TEST_F(TrialClaims, EachTrialIsGrantedOnce) {
  int granted = 0;
  for (int i = 0; i < 8; ++i) {
    for (auto& process : m_processes) granted += Wait(Send(*process)).is_granted ? 1 : 0;
  }
  EXPECT_EQ(granted, CrashBlame::kMaxTrials);
  EXPECT_EQ(m_store.Find("guavatrail-quarantines", "a")->at("trials"), granted);
}

TEST_F(TrialClaims, LostAnswerDoesNotLoseTheTrial) {
  m_store.SetMode(FakeStore::Mode::kAnswerLost);
  auto first = Send(*m_processes[0]);
  RunFor(m_loop, std::chrono::milliseconds(250));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_FALSE(Wait(Send(*m_processes[1])).is_granted);
  EXPECT_TRUE(Wait(first).is_granted);
}

TEST_F(TrialClaims, NothingIsGrantedWhileTheStoreIsAway) {
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  EXPECT_FALSE(Wait(Send(*m_processes[0])).is_granted);
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(Wait(Send(*m_processes[0])).is_granted);
}

// A process that stores the quarantine again does not take back the trials of others.
TEST_F(TrialClaims, StoringTheQuarantineKeepsTheTrials) {
  EXPECT_TRUE(Wait(Send(*m_processes[0])).is_granted);
  m_processes[1]->store.Store(Suspect());
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_store.Find("guavatrail-quarantines", "a")->at("trials"), 1);
}

// The store comes back from a copy that lacks the claim. Nodes that know of it store it again.
TEST_F(TrialClaims, TrialsAreStoredAgainAfterAReturnOfTheStore) {
  m_processes[1]->store.Store(Suspect());
  RunFor(m_loop, std::chrono::milliseconds(50));
  auto copy = m_store.TakeCopy();
  EXPECT_TRUE(Wait(Send(*m_processes[0])).is_granted);
  m_processes[1]->store.Store(Suspect(1));
  RunFor(m_loop, std::chrono::milliseconds(50));
  m_store.Restore(*copy);
  m_processes[1]->store.Start();
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return m_store.Find("guavatrail-quarantines", "a")->at("trials") == 1; }));
}

// A process that starts anew learns the trials that were used up.
TEST_F(TrialClaims, RestartedProcessKnowsTheTrials) {
  EXPECT_TRUE(Wait(Send(*m_processes[0])).is_granted);
  m_processes[1]->store.Start();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return !m_processes[1]->stored.empty(); }));
  EXPECT_EQ(m_processes[1]->stored.front().trials, 1);
}

}  // namespace
}  // namespace guavatrail::platform
