// Guards against answers that fill the memory of a node while they wait for the answer of an
// earlier request, or for a caller that reads slowly, and against a link backlog that is not
// returned.
#include <algorithm>

#include "pipeline_fixture.h"
#include "relay_proxy.h"

namespace guavatrail {
namespace {

constexpr size_t kRequests = 8;
constexpr size_t kAnswerBytes = 4'000'000;
constexpr size_t kReadBytes = 65'536;  // Largest read from upstream.
// Held bytes: the high watermark of a relay, and for each answer one read.
constexpr size_t kHeldBound = StreamRelay::kHighWatermarkBytes + kRequests * kReadBytes;
// The answer that is being sent has the limit of a single answer.
constexpr size_t kBound = kHeldBound + StreamRelay::kHighWatermarkBytes + kReadBytes;

class HeldAnswersBoundMemory : public testing::Test {
 protected:
  HeldAnswersBoundMemory() {
    m_proxy.listener().SetPacer(m_pacer);
    m_proxy.listener().SetOverlapPredicate([](const RequestTarget&) { return true; });
  }

  // Sends the answer only as fast as its connection accepts it.
  struct Source {
    FakeConnection* connection = nullptr;
    std::string path;
    size_t sent = 0;
  };

  static void SendMore(Source& source) {
    constexpr size_t kPart = 65'536;
    while (source.sent < kAnswerBytes && source.connection->unsent_bytes() < kPart) {
      size_t n = std::min(kPart, kAnswerBytes - source.sent);
      source.connection->Send(std::string(n, source.path.back()));
      source.sent += n;
    }
  }

  // Lets all sources but the first `skipped` send, and notes the largest number of bytes that were
  // read from upstream and not yet written to the caller.
  void Step(size_t skipped) {
    for (Source& source : m_sources) {
      if (source.path.back() - '0' >= static_cast<int>(skipped)) SendMore(source);
    }
    uint64_t read = 0;
    uint64_t written = 0;
    for (auto& call : m_proxy.calls) {
      read += call->relay.body_bytes();
      written += call->downstream->written_bytes();
    }
    if (read > written) m_largest = std::max(m_largest, read - written);
  }

  // Runs until the sources can send no more.
  void RunUntilBlocked(size_t skipped) {
    size_t before = 1;
    size_t sent = 0;
    while (before != sent || sent == 0) {
      before = sent;
      RunUntil(
          m_loop,
          [&] {
            Step(skipped);
            return false;
          },
          std::chrono::milliseconds(100));
      sent = 0;
      for (const Source& source : m_sources) sent += source.sent;
    }
  }

  EventLoop m_loop;
  LinkPacer m_pacer{m_loop, 400};
  std::vector<Source> m_sources;
  FakeServer m_server{
      m_loop, [this](FakeConnection& c, const std::string& request) {
        m_sources.push_back({&c, request.substr(4, request.find(' ', 4) - 4)});
        c.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n");
      }};
  RelayProxy m_proxy{m_loop, m_server.port()};
  uint64_t m_largest = 0;
};

TEST_F(HeldAnswersBoundMemory, WhileTheFirstAnswerIsLateAndTheCallerReadsSlowly) {
  FakeClient client(m_loop, m_proxy.port());
  std::string bytes;
  for (size_t i = 0; i < kRequests; ++i) {
    bytes += MakeRequest("GET", "/" + std::to_string(i), "", "");
  }
  client.Send(bytes);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_sources.size() == kRequests; }));
  RunUntilBlocked(1);
  EXPECT_GT(m_largest, StreamRelay::kHighWatermarkBytes / 2);
  EXPECT_LT(m_largest, kHeldBound) << "while the first answer is late";
  // All of them but the head of the first one, which was written.
  EXPECT_GT(m_pacer.backlog().bytes(), static_cast<int64_t>(kRequests * kAnswerBytes) - 100);
  client.PauseReading();
  RunUntilBlocked(0);
  EXPECT_LT(m_largest, kBound) << "while the caller does not read";
  client.ResumeReading();
  ASSERT_TRUE(RunUntil(
      m_loop,
      [&] {
        Step(0);
        return client.received().size() > kRequests * kAnswerBytes &&
               AnswersIn(client.received()).size() == kRequests;
      },
      std::chrono::seconds(60)));
  EXPECT_LT(m_largest, kBound);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_pacer.backlog().bytes() == 0; }));
  auto answers = AnswersIn(client.received());
  ASSERT_EQ(answers.size(), kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    EXPECT_TRUE(answers[i].body == std::string(kAnswerBytes, static_cast<char>('0' + i))) << i;
  }
}

TEST_F(HeldAnswersBoundMemory, BacklogOfACallerThatLeavesIsReturned) {
  FakeClient client(m_loop, m_proxy.port());
  client.Send(MakeRequest("GET", "/0", "", "") + MakeRequest("GET", "/1", "", ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_pacer.backlog().bytes() > 0; }));
  RunUntilBlocked(0);
  client.Close();
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_pacer.backlog().bytes() == 0; }));
  EXPECT_EQ(m_proxy.calls[0]->end_count + m_proxy.calls[1]->end_count, 2);
}

TEST_F(HeldAnswersBoundMemory, BacklogOfCancelledAnswersIsReturned) {
  FakeClient client(m_loop, m_proxy.port());
  for (const char* path : {"/0", "/1", "/2"}) client.Send(MakeRequest("GET", path, "", ""));
  constexpr auto kAnswer = static_cast<int64_t>(kAnswerBytes);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_pacer.backlog().bytes() > 2 * kAnswer; }));
  // The second answer breaks off before its turn, and the third one is cancelled.
  for (Source& source : m_sources) {
    if (source.path == "/1") source.connection->Close();
  }
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_pacer.backlog().bytes() <= kAnswer; }));
  EXPECT_GT(m_pacer.backlog().bytes(), kAnswer - 100);
  EXPECT_EQ(m_proxy.calls[2]->end_count, 1);
}

}  // namespace
}  // namespace guavatrail
