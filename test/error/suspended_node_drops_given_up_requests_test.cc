// Guards against a node that was suspended and then acts on requests whose senders gave up
// meanwhile: the time that they were given has run out, and their callers were told so.
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

TEST_F(SuspendedNode, DoesNotRunARequestWhoseSenderHasLeft) {
  Start();
  auto client = Send("POST", "/", Once("1"));
  // The request is on its way when the node is suspended.
  ASSERT_TRUE(RunUntil(m_loop, [&] { return WaitForRunning(1); }));
  AnswerNext();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  client->DiscardAnswer();
  // Nothing of the loop runs in this time, as in a suspended process.
  client->SendBlocking(MakeRequest("POST", "/", Once("2"), ""));
  client->Close();
  std::this_thread::sleep_for(kSuspension);
  RunFor(m_loop, std::chrono::milliseconds(200));
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(SuspendedNode, RunsARequestWhoseSenderStillWaits) {
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
