// Guards against a request that crashes every server that runs it and is sent from one server to
// the next, so that it takes a whole service down (a poison request).
#include <utility>

#include "poison_fixture.h"
#include "suspect_codec.h"

namespace guavatrail {
namespace {

using std::chrono::milliseconds;

// A request that crashes no server is refused for no longer.
constexpr double kMaxRefusalS = 10;

using PoisonRequest = PoisonFixture;

TEST_F(PoisonRequest, ReachesNoServerOnceItHasCrashedThree) {
  CrashServers(kCrashesToQuarantine);
  size_t before = PoisonRuns();
  for (int i = 0; i < 4; ++i) {
    for (Fragile& entry : m_servers) {
      auto answer = CallPoison(entry);
      EXPECT_EQ(answer->status(), kHttpServiceUnavailable);
      // A trial may show until then that the request crashes no server.
      EXPECT_LE(std::stod(answer->header("Retry-After")), kMaxRefusalS);
    }
  }
  EXPECT_EQ(PoisonRuns(), before);
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(Call(*entry.vm, "/parts/2", "innocent")->status(), kHttpOk);
  }
}

// Trials let it crash few servers more, and callers then return at the end of the quarantine.
TEST_F(PoisonRequest, TrialsReachFewServers) {
  CrashServers(kCrashesToQuarantine);
  size_t before = PoisonRuns();
  std::unique_ptr<FakeClient> last;
  int64_t end_us = EventLoop::NowUs() + 12'000'000;
  while (EventLoop::NowUs() < end_us) {
    for (Fragile& entry : m_servers) last = CallPoison(entry);
    RunFor(m_loop, milliseconds(50));
  }
  EXPECT_GE(PoisonRuns() - before, 1U);
  EXPECT_LE(PoisonRuns() - before, 3U);
  EXPECT_GT(std::stod(last->header("Retry-After")), 60);
}

// Several servers crash at the same moment, for a reason of their own, while each runs the request
// that is asked for most (review/7).
TEST_F(PoisonRequest, RequestThatRanAtACommonCrashIsServedSoon) {
  size_t running = 0;
  std::vector<FakeServer::Handler> handlers;
  for (Fragile& server : m_servers) {
    handlers.push_back(std::exchange(
        server.vm->handler, [&running](FakeConnection&, const std::string&) { ++running; }));
  }
  std::vector<std::unique_ptr<FakeClient>> calls;
  for (int i = 0; i < 60; ++i) {
    Fragile& entry = m_servers[static_cast<size_t>(i) % kNodes];
    calls.push_back(Send(entry.vm->settings.listen.caller_port, "POST", "/orders/popular",
                         CallHeaders("popular-" + std::to_string(i))));
  }
  RunFor(m_loop, milliseconds(200));
  ASSERT_GT(running, kNodes);
  for (Fragile& server : m_servers) Crash(server);
  RunFor(m_loop, 2 * kTimeToRestart);
  for (size_t i = 0; i < kNodes; ++i) m_servers[i].vm->handler = handlers[i];
  auto order = [&](Fragile& entry) {
    return SendAndWait(entry.vm->settings.listen.caller_port, "POST", "/orders/popular",
                       CallHeaders("later-" + std::to_string(++m_calls)))
        ->status();
  };
  ASSERT_EQ(order(m_servers[0]), kHttpServiceUnavailable);
  int64_t start_us = EventLoop::NowUs();
  for (Fragile& entry : m_servers) {
    ASSERT_TRUE(RunUntil(
        m_loop, [&] { return order(entry) == kHttpOk; },
        milliseconds(static_cast<int64_t>(kMaxRefusalS * 1'000))));
  }
  EXPECT_LE(EventLoop::NowUs() - start_us, static_cast<int64_t>(kMaxRefusalS * 1'000'000));
}

// The store executes a claim without an answer, and an answer to another copy ends the quarantine
// meanwhile. What the claim has stored must not remain for processes that start later.
TEST_F(PoisonRequest, ClaimThatIsAnsweredLateLeavesNoStoredQuarantine) {
  constexpr char kKind[] = "guavatrail-quarantines";
  CrashServers(kCrashesToQuarantine);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return !m_store.NamesOf(kKind).empty(); }));
  std::string fingerprint = m_store.NamesOf(kKind).front();
  RunFor(m_loop, milliseconds(2'500));
  m_store.SetMode(FakeStore::Mode::kAnswerLost);
  CallPoison(m_servers[0]);
  ASSERT_TRUE(
      RunUntil(m_loop, [&] { return m_store.Find(kKind, fingerprint)->at("trials") == 1; }));
  CrashSuspect cleared{.fingerprint = fingerprint, .is_cleared = true};
  std::string body = EncodeSuspects({.suspects = {cleared}});
  for (Fragile& server : m_servers) {
    SendAndWait(server.vm->settings.listen.peer_port, "POST", kSuspectsPath, "", body);
  }
  RunFor(m_loop, milliseconds(500));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_store.NamesOf(kKind).empty(); }));
}

// Requests that were running at the crashes but have been answered by a server are not blamed.
TEST_F(PoisonRequest, RequestsThatRunBesideItAreServed) {
  for (size_t i = 0; m_crashes < kCrashesToQuarantine + 2 && i < 100; ++i) {
    Fragile& entry = m_servers[i % kNodes];
    auto poison = Send(entry.vm->settings.listen.caller_port, "GET", kPoisonPath,
                       CallHeaders("poison-" + std::to_string(i)));
    constexpr int kPopularCalls = 6;
    std::vector<std::unique_ptr<FakeClient>> popular;
    popular.reserve(kPopularCalls);
    for (int k = 0; k < kPopularCalls; ++k) {
      popular.push_back(Send(entry.vm->settings.listen.caller_port, "GET", kPopularPath,
                             CallHeaders("popular-" + std::to_string(kPopularCalls * i + k))));
    }
    RunFor(m_loop, milliseconds(60));
    if (i >= 30) break;
  }
  ASSERT_GE(m_crashes, kCrashesToQuarantine);
  RunFor(m_loop, 2 * kTimeToRestart);
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(Call(*entry.vm, kPopularPath, "popular")->status(), kHttpOk);
    EXPECT_EQ(CallPoison(entry)->status(), kHttpServiceUnavailable);
  }
}

// A request that happens to run at three crashes, but is answered in between, is not to blame.
TEST_F(PoisonRequest, RequestThatIsAnsweredBetweenCrashesIsServed) {
  for (size_t i = 0; i < kCrashesToQuarantine; ++i) {
    Fragile& server = m_servers[i];
    bool is_running = false;
    auto handler = std::exchange(server.vm->handler,
                                 [&](FakeConnection&, const std::string&) { is_running = true; });
    std::vector<std::unique_ptr<FakeClient>> calls;
    ASSERT_TRUE(RunUntil(m_loop, [&] {
      calls.push_back(Send(m_servers[4].vm->settings.listen.caller_port, "GET", kPopularPath,
                           CallHeaders("popular-" + std::to_string(++m_calls))));
      RunFor(m_loop, milliseconds(5));
      return is_running;
    }));
    Crash(server);
    RunFor(m_loop, 2 * kTimeToRestart);
    server.vm->handler = handler;
    for (auto& call : calls) EXPECT_EQ(call->status(), kHttpOk);
  }
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(Call(*entry.vm, kPopularPath, "last")->status(), kHttpOk);
  }
}

// A node that starts anew asks others for suspects too, which nobody tells it of by itself.
TEST_F(PoisonRequest, RestartedNodeLearnsOfSuspects) {
  CrashServers(1);
  Vm& vm = *m_servers[4].vm;
  vm.node.reset();
  StartNode(vm);
  EXPECT_TRUE(RunUntil(m_loop, [&] {
    auto metrics = SendAndWait(vm.settings.listen.admin_port, "GET", "/metrics");
    // The request and its family.
    return metrics->body().find("crash_suspects 2") != std::string::npos;
  }));
}

// Processes that start anew get the quarantine from nodes that have kept it.
TEST_F(PoisonRequest, RestartedNodesKeepTheQuarantine) {
  CrashServers(kCrashesToQuarantine);
  size_t before = PoisonRuns();
  for (size_t i = 1; i < kNodes; ++i) {
    m_servers[i].vm->node.reset();
    StartNode(*m_servers[i].vm);
  }
  for (size_t i = 1; i < kNodes; ++i) {
    ASSERT_TRUE(CallUntil(*m_servers[i].vm, "/parts/3", kHttpOk));
  }
  RunFor(m_loop, milliseconds(2'500));
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(CallPoison(entry)->status(), kHttpServiceUnavailable);
  }
  EXPECT_EQ(PoisonRuns(), before);
}

// All processes that knew of the quarantine are lost at the same moment.
TEST_F(PoisonRequest, QuarantineOutlastsTheLossOfAllNodes) {
  CrashServers(kCrashesToQuarantine);
  size_t before = PoisonRuns();
  for (Fragile& server : m_servers) server.vm->node.reset();
  for (Fragile& server : m_servers) StartNode(*server.vm);
  for (Fragile& server : m_servers) {
    SendHeartbeat(*server.vm, IdOf(server), "ready", server.lifetime);
    ASSERT_TRUE(CallUntil(*server.vm, "/parts/3", kHttpOk));
  }
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(CallPoison(entry)->status(), kHttpServiceUnavailable);
  }
  EXPECT_EQ(PoisonRuns(), before);
}

// A quarantine that was found out while the store was away, or that the store has lost, is stored
// once it answers again.
TEST_F(PoisonRequest, QuarantineIsStoredAfterAnOutageAndAfterAReturnOfTheStore) {
  auto is_stored = [&] { return !m_store.NamesOf("guavatrail-quarantines").empty(); };
  auto copy = m_store.TakeCopy();
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  CrashServers(kCrashesToQuarantine);
  m_store.SetMode(FakeStore::Mode::kHealthy);
  ASSERT_TRUE(RunUntil(m_loop, is_stored));
  m_store.Restore(*copy);
  ASSERT_FALSE(is_stored());
  EXPECT_TRUE(RunUntil(m_loop, is_stored));
}

// The node that has found out the quarantine is lost before the store is back. Other nodes know of
// the quarantine and store it.
TEST_F(PoisonRequest, QuarantineIsStoredByOtherNodesIfItsFinderIsLost) {
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  CrashServers(kCrashesToQuarantine);
  // The third crash starts the quarantine; a retry may have crashed a fourth server since.
  for (size_t i = kCrashesToQuarantine - 1; i < m_crashed.size(); ++i) {
    m_crashed[i]->vm->node.reset();
  }
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return !m_store.NamesOf("guavatrail-quarantines").empty(); },
      milliseconds(3'000)));
}

// The quarantine was found out while the store was away, so nothing has stored it, and all
// processes that knew of it are lost. All nodes then send the request at the same moment.
class LostQuarantine : public PoisonRequest {
 protected:
  void LoseQuarantine() {
    m_store.SetMode(FakeStore::Mode::kUnavailable);
    CrashServers(kCrashesToQuarantine);
    for (Fragile& server : m_servers) server.vm->node.reset();
    m_store.SetMode(FakeStore::Mode::kHealthy);
    for (Fragile& server : m_servers) StartNode(*server.vm);
    for (Fragile& server : m_servers) {
      SendHeartbeat(*server.vm, IdOf(server), "ready", server.lifetime);
      ASSERT_TRUE(CallUntil(*server.vm, "/parts/3", kHttpOk));
    }
    // Each node knows all others.
    RunFor(m_loop, milliseconds(1'500));
  }

  std::vector<std::unique_ptr<FakeClient>> SendPoisonEverywhere() {
    std::vector<std::unique_ptr<FakeClient>> calls;
    calls.reserve(kNodes);
    for (Fragile& entry : m_servers) {
      calls.push_back(Send(entry.vm->settings.listen.caller_port, "GET", kPoisonPath,
                           CallHeaders("poison-" + std::to_string(++m_calls))));
    }
    return calls;
  }
};

TEST_F(LostQuarantine, RequestCrashesAtMostThreeServersAgain) {
  LoseQuarantine();
  size_t before = PoisonRuns();
  for (int i = 0; i < 4; ++i) {
    auto calls = SendPoisonEverywhere();
    RunFor(m_loop, 3 * kTimeToRestart);
    for (auto& call : calls) EXPECT_NE(call->status(), kHttpOk);
  }
  EXPECT_LE(PoisonRuns() - before, kCrashesToQuarantine);
}

// A request that no server has answered yet runs once at a time on a node, and then without limit.
TEST_F(LostQuarantine, InnocentRequestsAreServed) {
  LoseQuarantine();
  for (int i = 0; i < 30; ++i) {
    Fragile& entry = m_servers[static_cast<size_t>(i) % kNodes];
    EXPECT_EQ(Call(*entry.vm, "/parts/new-" + std::to_string(i), "new")->status(), kHttpOk) << i;
  }
  constexpr int kPopularCalls = 40;
  std::vector<std::unique_ptr<FakeClient>> popular;
  popular.reserve(kPopularCalls);
  for (int i = 0; i < kPopularCalls; ++i) {
    Fragile& entry = m_servers[static_cast<size_t>(i) % kNodes];
    popular.push_back(Send(entry.vm->settings.listen.caller_port, "GET", "/parts/3",
                           CallHeaders("popular-" + std::to_string(i))));
  }
  for (auto& call : popular) {
    ASSERT_TRUE(RunUntil(m_loop, [&] { return call->HasCompleteAnswer(); }));
    EXPECT_EQ(call->status(), kHttpOk);
  }
}

// A node that restarts alone learns from the others that nothing is lost.
TEST_F(LostQuarantine, RestartOfOneNodeLimitsNothing) {
  Vm& vm = *m_servers[4].vm;
  vm.node.reset();
  StartNode(vm);
  auto is_active = [&](std::string_view value) {
    auto metrics = SendAndWait(vm.settings.listen.admin_port, "GET", "/metrics");
    return metrics->body().find("crash_containment_active " + std::string(value)) !=
           std::string::npos;
  };
  ASSERT_TRUE(RunUntil(m_loop, [&] { return is_active("1"); }));
  EXPECT_TRUE(RunUntil(m_loop, [&] { return is_active("0"); }));
}

// A server that loses answers, or closes connections because it is full, has not crashed.
TEST_F(PoisonRequest, LostAnswersAreNotBlamedOnTheRequest) {
  size_t runs = 0;
  for (Fragile& server : m_servers) {
    server.vm->handler = [&runs](FakeConnection& c, const std::string& request) {
      if (request.starts_with("GET /parts/lost")) {
        ++runs;
        c.Close();
      } else {
        c.Send(ServerAnswer(request, "done"));
      }
    };
  }
  for (int i = 0; i < 20; ++i) {
    Call(*m_servers[0].vm, "/parts/lost", "lost-" + std::to_string(i));
    // A failing server gets no work until its next report.
    for (Fragile& server : m_servers) SendHeartbeat(*server.vm, IdOf(server), "ready", 1);
  }
  EXPECT_GE(runs, 10U);
}

}  // namespace
}  // namespace guavatrail
