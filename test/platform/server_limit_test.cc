// Checks that a backend server which names a limit gets no more requests than that from all nodes
// together. Guards against nodes that ignore the limit, count only their own requests, or forget
// the limit when they restart.
#include "limit_fixture.h"

namespace guavatrail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindow{4'000};

class ServerLimitTest : public LimitFixture {};

TEST_F(ServerLimitTest, RequestsOfAllEntryNodesTogetherKeepTheLimit) {
  Backend backend{.notice = Limit("8")};
  AddServer("i-1", backend);
  StartEntries();
  int64_t told_us = EventLoop::NowUs();
  Flood(60, kWindow);
  WaitForAnswers();
  EXPECT_LE(MostArrivals(backend, kWindow, told_us), Allowed(8, kWindow));
  // A limited server is used: most of what it takes reaches it.
  EXPECT_GE(MostArrivals(backend, kWindow, told_us), 8 * 4 * 3 / 4);
}

TEST_F(ServerLimitTest, RefusalsAreTrueAndSayWhenToReturn) {
  Backend backend{.notice = Limit("8")};
  AddServer("i-1", backend);
  StartEntries();
  Flood(60, milliseconds(1'500));
  WaitForAnswers();
  int refused = 0;
  for (const Sent& sent : m_sent) {
    if (sent.client->status() == 200) continue;
    ++refused;
    EXPECT_EQ(sent.client->status(), 503);
    EXPECT_NE(sent.client->header("Retry-After"), "");
    EXPECT_FALSE(backend.ids.contains(sent.id)) << "refused as not run, but has run";
  }
  EXPECT_GT(refused, 20);
}

// The new process has seen no answer of the server, but the entry nodes have.
TEST_F(ServerLimitTest, RestartedServingNodeKeepsTheLimit) {
  Backend backend{.notice = Limit("2")};
  Vm& serving = AddServer("i-1", backend);
  StartEntries();
  for (Vm* entry : m_entries) ASSERT_TRUE(CallUntil(*entry, "/parts/1", 200));
  int64_t told_us = EventLoop::NowUs();
  // The server does not answer, so that a new process cannot learn the limit from it.
  serving.handler = [&](FakeConnection&, const std::string&) {
    backend.arrival_us.push_back(EventLoop::NowUs());
  };
  for (int i = 0; i < 3; ++i) {
    serving.node.reset();
    StartNode(serving);
    Flood(60, milliseconds(1'000));
  }
  EXPECT_LE(MostArrivals(backend, kWindow, told_us), Allowed(2, kWindow));
}

TEST_F(ServerLimitTest, WorkGoesToServersWithRoom) {
  Backend limited{.notice = Limit("4")};
  Backend other;
  AddServer("i-1", limited);
  AddServer("i-2", other);
  StartEntries();
  int64_t told_us = EventLoop::NowUs();
  Flood(60, milliseconds(3'000));
  WaitForAnswers();
  EXPECT_LE(MostArrivals(limited, milliseconds(3'000), told_us), Allowed(4, milliseconds(3'000)));
  auto served = std::count_if(m_sent.begin(), m_sent.end(),
                              [](const Sent& sent) { return sent.client->status() == 200; });
  EXPECT_GE(served, static_cast<int64_t>(m_sent.size()) * 98 / 100);
}

// Guards against a limit that outlives the need of the server, also where it was so low that no
// request would show its end.
TEST_F(ServerLimitTest, LimitEndsWhenAnswersNoLongerNameIt) {
  Backend backend{.notice = Limit("0")};
  AddServer("i-1", backend);
  StartEntries();
  Flood(30, milliseconds(1'000));
  backend.notice = "";
  Flood(30, milliseconds(3'000));
  WaitForAnswers();
  m_sent.clear();
  Flood(30, milliseconds(1'000));
  WaitForAnswers();
  auto served = std::count_if(m_sent.begin(), m_sent.end(),
                              [](const Sent& sent) { return sent.client->status() == 200; });
  EXPECT_EQ(served, static_cast<int64_t>(m_sent.size()));
}

// Guards against a limit of a former run of the server that is applied to the next one.
TEST_F(ServerLimitTest, LimitEndsWithTheLifetimeOfTheServer) {
  Backend backend{.notice = Limit("1")};
  Vm& serving = AddServer("i-1", backend);
  StartEntries();
  backend.notice = "";
  serving.sequence = 0;
  ASSERT_EQ(SendHeartbeat(serving, "i-1", "ready", 2000), 200);
  Flood(30, milliseconds(1'000));
  WaitForAnswers();
  auto served = std::count_if(m_sent.begin(), m_sent.end(),
                              [](const Sent& sent) { return sent.client->status() == 200; });
  EXPECT_EQ(served, static_cast<int64_t>(m_sent.size()));
}

// Guards against a gauge that shows the limit of a former run of the server.
TEST_F(ServerLimitTest, GaugeShowsNoLimitAfterTheLifetimeOfTheServer) {
  Backend backend{.notice = Limit("8")};
  Vm& serving = AddServer("i-1", backend);
  StartEntries();
  auto metrics = [&] {
    return SendAndWait(serving.settings.listen.admin_port, "GET", "/metrics")->body();
  };
  ASSERT_NE(metrics().find("server_limit_per_s 8\n"), std::string::npos);
  serving.sequence = 0;
  ASSERT_EQ(SendHeartbeat(serving, "i-1", "ready", 2000), 200);
  EXPECT_NE(metrics().find("server_limit_per_s -1\n"), std::string::npos);
}

}  // namespace
}  // namespace guavatrail
