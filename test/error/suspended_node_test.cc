// A node may be suspended while requests wait in its sockets. Checks that after resuming it does
// not run requests whose clients have disconnected, since their callers already have an outcome.
#include <gtest/gtest.h>

#include <thread>

#include "serving_fixture.h"

namespace guavatrail {
namespace {

constexpr std::chrono::milliseconds kSuspension{300};

class SuspendedNode : public ServingFixture {
 protected:
  static std::string Once(const std::string& id) {
    return "X-Guavatrail-Work: order;importance=3;short;once\r\nX-Guavatrail-Request-Id: " + id +
           "\r\nX-Guavatrail-Deadline-Ms: 5000\r\n";
  }
};

TEST_F(SuspendedNode, DoesNotRunARequestOfADisconnectedClient) {
  Start();
  auto client = Send("POST", "/", Once("1"));
  // Opens the connection with a first request, which is answered before the suspension.
  ASSERT_TRUE(RunUntil(m_loop, [&] { return WaitForRunning(1); }));
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  client->DiscardAnswer();
  // The loop does not run during the sleep, as in a suspended process.
  client->SendBlocking(MakeRequest("POST", "/", Once("2"), ""));
  client->Close();
  std::this_thread::sleep_for(kSuspension);
  RunFor(m_loop, std::chrono::milliseconds(200));
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(SuspendedNode, RunsARequestOfAWaitingClient) {
  Start();
  auto client = Send("POST", "/", Once("1"));
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  client->DiscardAnswer();
  client->SendBlocking(MakeRequest("POST", "/", Once("2"), ""));
  std::this_thread::sleep_for(kSuspension);
  ASSERT_TRUE(WaitForRunning(1));
  AnswerNext();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
}

}  // namespace
}  // namespace guavatrail
