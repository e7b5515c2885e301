// Guards against a planned stop that accepts requests, passes them on, and cuts them off when the
// process ends, before their deadline.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

// The process ends 0.5 s before this time.
constexpr double kGraceS = 4;
constexpr std::chrono::milliseconds kProcessTime{3'500};
// Callers are still accepted at this time.
constexpr std::chrono::milliseconds kLateInGrace{2'000};
constexpr std::chrono::milliseconds kSlowWork{1'800};

class StopCutsNoRequest : public MeshFixture {
 protected:
  void SetUp() override {
    m_entry = &AddVm("front");
    m_entry->settings.lifecycle.grace_s = kGraceS;
    m_entry->node.reset();
    StartNode(*m_entry);
    m_serving = &AddVm("catalogo");
    PutConfig(7, "catalogo", 3);
    ASSERT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
    ASSERT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
    m_serving->requests.clear();
    m_serving->handler = [this](FakeConnection& c, const std::string& request) {
      m_connection = &c;
      m_request = request;
      m_work_timer.Start(kSlowWork);
    };
  }

  // Sends an order whose caller waits `limit_ms`.
  std::unique_ptr<FakeClient> SendOrder(const std::string& limit_ms) {
    return Send(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                "X-Request-Id: order\r\nX-Deadline-Ms: " + limit_ms + "\r\n", "one");
  }

  // Ends the process as the stop does.
  void EndEntry(int64_t stop_us) {
    int64_t left_us =
        stop_us + std::chrono::microseconds(kProcessTime).count() - EventLoop::NowUs();
    RunFor(m_loop, std::chrono::milliseconds(left_us / 1000));
    m_entry->node.reset();
    RunFor(m_loop, std::chrono::milliseconds(20));
  }

  Vm* m_entry = nullptr;
  Vm* m_serving = nullptr;
  FakeConnection* m_connection = nullptr;
  std::string m_request;
  Timer m_work_timer{m_loop, [this] { m_connection->Send(ServerAnswer(m_request, "done")); }};
};

TEST_F(StopCutsNoRequest, OrderThatCouldOutliveTheProcessIsRefusedAsNotRun) {
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  RunFor(m_loop, kLateInGrace);
  auto client = SendOrder("3000");
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 503);
  EXPECT_NE(client->header("Retry-After"), "");
  EXPECT_TRUE(m_serving->requests.empty());
}

// Refusing all requests from the stop signal on would turn away callers that can be served.
TEST_F(StopCutsNoRequest, OrderWithinTheTimeOfTheProcessIsServed) {
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  RunFor(m_loop, std::chrono::milliseconds(300));
  auto client = SendOrder("3000");
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 200);
}

// Without a time limit of the caller, the timeout of the route counts.
TEST_F(StopCutsNoRequest, OrderWithoutATimeLimitIsRefusedAsNotRun) {
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  RunFor(m_loop, kLateInGrace);
  auto client = Send(m_entry->settings.listen.caller_port, "POST", "/orders/1",
                     "X-Request-Id: order\r\n", "one");
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
}

// The order is accepted just before the stop signal, with a time limit within that of the process.
TEST_F(StopCutsNoRequest, OrderAcceptedBeforeTheSignalIsServed) {
  auto client = SendOrder("3000");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_connection != nullptr; }));
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 200);
}

// The node that relays the answer and the node beside the server stop at the same moment.
TEST_F(StopCutsNoRequest, OrderIsServedWhenBothNodesStopTogether) {
  auto client = SendOrder("3000");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_connection != nullptr; }));
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  m_serving->node->Stop();
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 200);
}

// The body of the order arrives in part before the stop signal and in part after it.
TEST_F(StopCutsNoRequest, OrderWhoseBodyArrivesDuringTheStopIsAnswered) {
  auto client = std::make_unique<FakeClient>(
      m_loop, static_cast<uint16_t>(m_entry->settings.listen.caller_port));
  client->Send(
      "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: order\r\n"
      "X-Deadline-Ms: 2500\r\nContent-Length: 6\r\n\r\none");
  RunFor(m_loop, std::chrono::milliseconds(100));
  int64_t stop_us = EventLoop::NowUs();
  m_entry->node->Stop();
  RunFor(m_loop, std::chrono::milliseconds(700));
  client->Send("two");
  EndEntry(stop_us);
  ASSERT_TRUE(client->HasCompleteAnswer());
  EXPECT_EQ(client->status(), 200);
  EXPECT_EQ(m_serving->requests.size(), 1U);
}

// A node that stops must not accept work from other nodes that it would cut off.
TEST_F(StopCutsNoRequest, ServingNodeRefusesWorkThatCouldOutliveTheProcess) {
  m_serving->settings.lifecycle.grace_s = kGraceS;
  m_serving->node.reset();
  StartNode(*m_serving);
  ASSERT_EQ(SendHeartbeat(*m_serving, "i-1"), 200);
  m_serving->handler = [](FakeConnection& c, const std::string& request) {
    c.Send(ServerAnswer(request, "done"));
  };
  ASSERT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
  m_serving->requests.clear();
  m_serving->node->Stop();
  RunFor(m_loop, std::chrono::milliseconds(700));
  auto refused = SendOrder("3000");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return refused->HasCompleteAnswer(); }));
  EXPECT_EQ(refused->status(), 503);
  EXPECT_TRUE(m_serving->requests.empty());
  auto served = SendOrder("1000");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return served->HasCompleteAnswer(); }));
  EXPECT_EQ(served->status(), 200);
}

}  // namespace
}  // namespace guavatrail
