// Guards against a caller that takes unlimited server slots or memory with requests sent ahead on
// one connection.
#include "pipeline_fixture.h"
#include "request_pipeline.h"

namespace guavatrail {
namespace {

constexpr size_t kMax = RequestPipeline::kMaxRequests;

class PipelineIsBounded : public PipelineFixture {};

TEST_F(PipelineIsBounded, ByNumberOfRequests) {
  std::string bytes;
  for (size_t i = 0; i < 3 * kMax; ++i) bytes += Get("/lookups/" + std::to_string(i));
  auto client = Connect(bytes);
  ASSERT_TRUE(WaitForCalls(kMax));
  EXPECT_TRUE(StaysAtCalls(kMax));
  // A request that is answered before its turn makes no room.
  Answer(1);
  EXPECT_TRUE(StaysAtCalls(kMax));
  Answer(0);
  ASSERT_TRUE(WaitForCalls(kMax + 2));
  EXPECT_TRUE(StaysAtCalls(kMax + 2));
  for (size_t i = 2; i < 3 * kMax; ++i) {
    ASSERT_TRUE(WaitForCalls(i + 1));
    Answer(i);
  }
  EXPECT_TRUE(Bodies(*client, 3 * kMax).ends_with("/lookups/23"));
}

TEST_F(PipelineIsBounded, ByBytesOfRequests) {
  const std::string body(30'000, 'b');
  std::string bytes;
  for (int i = 0; i < 6; ++i) bytes += MakeRequest("POST", "/lookups/1", "", body);
  auto client = Connect(bytes);
  // The first does not count, and two more fit into the limit.
  ASSERT_TRUE(WaitForCalls(3));
  EXPECT_TRUE(StaysAtCalls(3));
  for (size_t i = 0; i < 6; ++i) {
    ASSERT_TRUE(WaitForCalls(i + 1));
    EXPECT_EQ(*m_calls[i]->request->body(), body);
    Answer(i);
  }
  EXPECT_EQ(AnswersIn(client->received()).size() + 1, 6U) << "the last one is being written";
}

// Input that fills the read-ahead while a request was in progress kept the loop busy: libevent
// repeats the callback as long as the input is full.
TEST_F(PipelineIsBounded, FullReadAheadLeavesProcessorTime) {
  auto client =
      Connect(Get("/orders/1") + MakeRequest("POST", "/orders/2", "", std::string(300'000, 'b')) +
              Get("/orders/3"));
  ASSERT_TRUE(WaitForCalls(1));
  RunFor(m_loop, std::chrono::milliseconds(50));
  int callbacks = 0;
  m_loop.SetPassObserver([&](const LoopPass&) { ++callbacks; });
  m_loop.StopAfter(std::chrono::milliseconds(300));
  m_loop.Run();
  EXPECT_LT(callbacks, 100);
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(WaitForCalls(i + 1));
    Answer(i);
  }
  EXPECT_EQ(Bodies(*client, 3), "/orders/1 /orders/2 /orders/3");
}

// A chunked body has no known size, so it is read when its turn has come.
TEST_F(PipelineIsBounded, ChunkedBodyWaitsForEarlierAnswers) {
  auto client = Connect(Get("/lookups/1") +
                        "POST /lookups/2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n0\r\n\r\n" +
                        Get("/lookups/3"));
  ASSERT_TRUE(WaitForCalls(1));
  EXPECT_TRUE(StaysAtCalls(1));
  Answer(0);
  ASSERT_TRUE(WaitForCalls(3));
  EXPECT_EQ(*m_calls[1]->request->body(), "abc");
  Answer(2);
  Answer(1);
  EXPECT_EQ(Bodies(*client, 3), "/lookups/1 /lookups/2 /lookups/3");
}

TEST_F(PipelineIsBounded, ToOneRequestWithoutPredicate) {
  m_listener.SetOverlapPredicate(nullptr);
  auto client = Connect(Get("/lookups/1") + Get("/lookups/2"));
  ASSERT_TRUE(WaitForCalls(1));
  EXPECT_TRUE(StaysAtCalls(1));
  Answer(0);
  ASSERT_TRUE(WaitForCalls(2));
  Answer(1);
  EXPECT_EQ(Bodies(*client, 2), "/lookups/1 /lookups/2");
}

}  // namespace
}  // namespace guavatrail
