// Guards against short answers that wait behind large ones on a thin link, and against large
// answers that are sent where the link is behind.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include "answer_sizes.h"
#include "downstream_request.h"
#include "fake_server.h"
#include "link_pacer.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

TEST(LargeAnswersLeaveRoomOnTheLink, TheBacklogTellsTheWait) {
  LinkBacklog backlog(1'000'000);
  EXPECT_EQ(backlog.WaitMs(), 0);
  backlog.Add(90'000);
  EXPECT_EQ(backlog.WaitMs(), 90);
  EXPECT_EQ(backlog.TimeMs(10'000), 100);
  backlog.Remove(50'000);
  EXPECT_EQ(backlog.WaitMs(), 40);
  backlog.Remove(50'000);
  EXPECT_EQ(backlog.bytes(), 0);
  EXPECT_EQ(LinkBacklog(0).TimeMs(1'000'000), 0);
}

TEST(LargeAnswersLeaveRoomOnTheLink, SizesAreLearntByKind) {
  AnswerSizes sizes;
  EXPECT_EQ(sizes.TypicalBytes("download"), 0);
  for (int i = 0; i < 50; ++i) {
    sizes.Add("download", 90'000);
    sizes.Add("check", 400);
  }
  EXPECT_EQ(sizes.TypicalBytes("download"), 90'000);
  EXPECT_EQ(sizes.TypicalBytes("check"), 400);
}

// Ten large answers over a link of 8 Mbit/s, and short ones meanwhile.
TEST(LargeAnswersLeaveRoomOnTheLink, LargeAnswersTakeTheirShareOnly) {
  EventLoop loop;
  LinkPacer pacer(loop, 8);
  PendingReplies replies(loop);
  HttpListener listener(loop, [&](std::unique_ptr<DownstreamRequest> request) {
    bool is_large = request->path() == "/large";
    replies.Reply(std::move(request), 200, {}, std::string(is_large ? 60'000 : 100, 'x'));
  });
  listener.SetPacer(pacer);
  ASSERT_TRUE(listener.Listen("127.0.0.1", 0));
  std::vector<std::unique_ptr<FakeClient>> clients;
  int64_t start_us = EventLoop::NowUs();
  for (int i = 0; i < 10; ++i) {
    clients.push_back(std::make_unique<FakeClient>(loop, listener.port()));
    clients.back()->Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  RunFor(loop, std::chrono::milliseconds(50));
  EXPECT_GT(pacer.backlog().WaitMs(), 250);
  FakeClient brief(loop, listener.port());
  int64_t brief_us = EventLoop::NowUs();
  brief.Send("GET /brief HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return brief.HasWholeAnswer(); }));
  EXPECT_LT(EventLoop::NowUs() - brief_us, 100'000);
  for (auto& client : clients) {
    ASSERT_TRUE(RunUntil(loop, [&] { return client->HasWholeAnswer(); }));
  }
  // 600 kB at 90% of 1 MB/s take 0.67 s.
  EXPECT_GT(EventLoop::NowUs() - start_us, 550'000);
  // The last byte leaves the account in the turn after it was written.
  EXPECT_TRUE(RunUntil(loop, [&] { return pacer.backlog().bytes() == 0; }));
}

}  // namespace
}  // namespace guavatrail
