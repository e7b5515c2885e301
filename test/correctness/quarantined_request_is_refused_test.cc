// Guards against a request in quarantine that still reaches the server, because it was queued
// before, and against a server that leaves and is taken for one that a request has crashed.
#include "crash_blame.h"
#include "request_fingerprint.h"
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class QuarantinedRequestIsRefused : public GuardedServingFixture {
 protected:
  void SetUp() override {
    m_slots = 1;
    StartGuarded();
    m_proxy->SetCrashBlame(m_blame, [this](const std::vector<std::string>& fingerprints) {
      m_suspects = fingerprints;
    });
  }

  // Lets the server crash while it runs `path`. Returns the fingerprint of the request.
  std::string CrashWith(const std::string& path) {
    auto client = Send("GET", path, Repeatable("crash"));
    EXPECT_TRUE(WaitForRunning(1));
    m_running.clear();
    m_server.Crash();
    EXPECT_TRUE(RunUntil(m_loop, [&] { return !m_suspects.empty(); }));
    m_server.Restart();
    m_proxy->OpenGate({.id = "server-1", .started_ms = ++m_started_ms}, m_slots);
    return m_suspects.empty() ? "" : m_suspects.front();
  }

  CrashBlame m_blame;
  std::vector<std::string> m_suspects;
  int64_t m_started_ms = 0;
};

TEST_F(QuarantinedRequestIsRefused, AlsoIfItWasQueuedBefore) {
  std::string fingerprint = CrashWith("/poison");
  auto running = Send("GET", "/1", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  auto queued = Send("GET", "/poison", Repeatable("2"));
  auto behind = Send("GET", "/3", Repeatable("3"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_proxy->load().queued == 2; }));
  // Another node has seen it crash two more servers.
  CrashSuspect known = *m_blame.Find(fingerprint, EventLoop::NowUs());
  known.crashes.insert(known.crashes.end(), {"8/server-8", "9/server-9"});
  m_blame.Merge(std::vector<CrashSuspect>{known}, EventLoop::NowUs());
  AnswerWith(MakeAnswer(200, "one", "X-Id: 1\r\n"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return queued->HasCompleteAnswer(); }));
  EXPECT_EQ(queued->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(queued->header("X-Guavatrail-Reason"), "quarantined");
  // The next one in the queue gets the slot.
  ASSERT_TRUE(WaitForRunning(1));
  EXPECT_TRUE(m_running[0].request.starts_with("GET /3 "));
}

TEST_F(QuarantinedRequestIsRefused, ServerThatLeavesHasNotCrashed) {
  m_proxy->StateLeave({.id = "server-1"});
  auto client = Send("GET", "/1", Repeatable("1"));
  ASSERT_TRUE(WaitForRunning(1));
  m_server.Crash();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_TRUE(m_suspects.empty());
}

}  // namespace
}  // namespace guavatrail
