// Guards against requests that keep running for a caller that has left or for a connection that can
// carry no further answer, and against answers that reach the caller behind a broken one.
#include <event2/buffer.h>

#include <algorithm>

#include "pipeline_fixture.h"

namespace guavatrail {
namespace {

class PipelineCancellation : public PipelineFixture {
 protected:
  void SetUp() override {
    PipelineFixture::SetUp();
    m_client = Connect(Get("/lookups/1") + Get("/lookups/2") + Get("/lookups/3") +
                       Get("/lookups/4") + Get("/orders/5") + Get("/lookups/6"));
    ASSERT_TRUE(WaitForCalls(4));
  }

  void SendPart(size_t i) {
    DownstreamRequest& request = *m_calls[i]->request;
    request.StartReply(kHttpOk, "", {}, 10);
    evbuffer* data = evbuffer_new();
    evbuffer_add(data, "12345", 5);
    request.SendBody(data);
    evbuffer_free(data);
  }

  // Waits until all requests have ended, and checks that those from `first` on were cancelled once.
  void ExpectCancelledFrom(size_t first) {
    ASSERT_TRUE(RunUntil(m_loop, [&] {
      return std::all_of(m_calls.begin(), m_calls.end(),
                         [](auto& call) { return call->written + call->cancelled > 0; });
    }));
    EXPECT_TRUE(StaysAtCalls(4)) << "a request was started behind";
    for (size_t i = 0; i < 4; ++i) {
      EXPECT_EQ(m_calls[i]->written, i < first ? 1 : 0) << i;
      EXPECT_EQ(m_calls[i]->cancelled, i < first ? 0 : 1) << i;
      EXPECT_TRUE(m_calls[i]->request->has_ended()) << i;
    }
    EXPECT_TRUE(RunUntil(m_loop, [&] { return m_listener.connections() == 0; }));
  }

  std::unique_ptr<FakeClient> m_client;
};

TEST_F(PipelineCancellation, CallerLeaves) {
  Answer(2);
  SendPart(1);
  m_client->Close();
  ExpectCancelledFrom(0);
}

TEST_F(PipelineCancellation, HalfClosedCallerCountsAsGone) {
  m_client->CloseSending();
  ExpectCancelledFrom(0);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_client->closed_by_peer(); }));
}

TEST_F(PipelineCancellation, AnswerInItsTurnIsBrokenOff) {
  Answer(2);
  SendPart(0);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_client->received().ends_with("12345"); }));
  m_calls[0]->request->Abort();
  ExpectCancelledFrom(0);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_client->closed_by_peer(); }));
  EXPECT_FALSE(m_client->HasCompleteAnswer());
  EXPECT_TRUE(m_client->received().ends_with("12345"));
}

// The requests before the broken answer get theirs; it is not known to the caller as begun.
TEST_F(PipelineCancellation, AnswerBeforeItsTurnIsBrokenOff) {
  Answer(3);
  SendPart(2);
  m_calls[2]->request->Abort();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_calls[3]->cancelled == 1; }));
  m_client->Send(Get("/lookups/7"));
  EXPECT_TRUE(StaysAtCalls(4));
  Answer(1);
  Answer(0);
  ExpectCancelledFrom(2);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_client->closed_by_peer(); }));
  EXPECT_FALSE(m_client->was_reset());
  EXPECT_EQ(Bodies(*m_client, 2), "/lookups/1 /lookups/2");
  EXPECT_TRUE(m_client->received().ends_with("/lookups/2"));
}

TEST_F(PipelineCancellation, CallerLeavesBehindABrokenAnswer) {
  m_calls[1]->request->Abort();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_calls[3]->cancelled == 1; }));
  m_client->Close();
  ExpectCancelledFrom(0);
}

// An owner may destroy its requests in any order, as a process that ends does.
TEST_F(PipelineCancellation, RequestsAreDestroyed) {
  for (size_t i : {2, 0, 3, 1}) m_calls[i]->request.reset();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_client->closed_by_peer(); }));
  EXPECT_EQ(m_client->received(), "");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_listener.connections() == 0; }));
  for (auto& call : m_calls) EXPECT_EQ(call->written + call->cancelled, 0);
}

}  // namespace
}  // namespace guavatrail
