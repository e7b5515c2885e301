// Guards against short answers that wait behind large ones on a slow link, and against large
// answers that are accepted although the link cannot send them in time.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "answer_size_estimator.h"
#include "downstream_request.h"
#include "fake_server.h"
#include "http_listener.h"
#include "link_pacer.h"
#include "pending_replies.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

TEST(LargeAnswersDoNotFillTheLink, BacklogPredictsTheWait) {
  LinkBacklog backlog(1'000'000);
  EXPECT_EQ(backlog.TimeMs(0), 0);
  backlog.Add(90'000);
  EXPECT_EQ(backlog.TimeMs(0), 90);
  EXPECT_EQ(backlog.TimeMs(10'000), 100);
  backlog.Remove(50'000);
  EXPECT_EQ(backlog.TimeMs(0), 40);
  backlog.Remove(50'000);
  EXPECT_EQ(backlog.bytes(), 0);
  EXPECT_EQ(LinkBacklog(0).TimeMs(1'000'000), 0);
}

TEST(LargeAnswersDoNotFillTheLink, SizesAreEstimatedByKind) {
  AnswerSizeEstimator sizes;
  EXPECT_EQ(sizes.TypicalBytes("download"), 0);
  for (int i = 0; i < 50; ++i) {
    sizes.Add("download", 90'000);
    sizes.Add("check", 400);
  }
  EXPECT_EQ(sizes.TypicalBytes("download"), 90'000);
  EXPECT_EQ(sizes.TypicalBytes("check"), 400);
}

struct OverloadedLink {
  int accepted = 0;
  int in_time = 0;  // Accepted ones that were sent within the objective.
};

// Simulates a link of 1 MB/s that is asked for 15 answers of 100 kB at the start of each second,
// each of which takes 150 ms to produce. With `counts_pending`, accepted answers that are not yet
// produced count when the next one is accepted or refused.
OverloadedLink RunOverloadedLink(bool counts_pending) {
  constexpr int64_t kBytes = 100'000;
  constexpr int64_t kBytesPerMs = 1'000;
  constexpr int64_t kServiceMs = 150;
  constexpr int64_t kObjectiveMs = 1'000;
  LinkBacklog backlog(kBytesPerMs * 1'000);
  std::deque<int64_t> pending;                      // Arrival times.
  std::deque<std::pair<int64_t, int64_t>> sending;  // Arrival times and remaining bytes.
  OverloadedLink result;
  for (int64_t now_ms = 0; now_ms < 20'000; ++now_ms) {
    for (int i = 0; i < 15 && now_ms % 1'000 == 0; ++i) {
      int64_t pending_bytes = counts_pending ? static_cast<int64_t>(pending.size()) * kBytes : 0;
      if (backlog.RefusalWaitMs(
              {.bytes = kBytes, .pending_bytes = pending_bytes, .remaining_ms = kObjectiveMs})) {
        continue;
      }
      ++result.accepted;
      pending.push_back(now_ms);
    }
    while (!pending.empty() && now_ms - pending.front() >= kServiceMs) {
      sending.emplace_back(pending.front(), kBytes);
      pending.pop_front();
      backlog.Add(kBytes);
    }
    // All connections share the bandwidth.
    for (auto& [arrival_ms, bytes] : sending) {
      int64_t part = std::min(bytes, kBytesPerMs / static_cast<int64_t>(sending.size()));
      bytes -= part;
      backlog.Remove(part);
    }
    std::erase_if(sending, [&](const auto& answer) {
      bool is_sent = answer.second <= 0;
      if (is_sent && now_ms - answer.first <= kObjectiveMs) ++result.in_time;
      return is_sent;
    });
  }
  return result;
}

TEST(LargeAnswersDoNotFillTheLink, AcceptedAnswersAreInTimeOnAnOverloadedLink) {
  OverloadedLink result = RunOverloadedLink(true);
  OverloadedLink without_pending = RunOverloadedLink(false);
  std::printf("overloaded link: %d of %d in time, %d of %d if pending answers are not counted\n",
              result.in_time, result.accepted, without_pending.in_time, without_pending.accepted);
  EXPECT_GE(result.in_time, result.accepted * 95 / 100);
  // Half of the objective may be spent on sending. In that time the link sends 5 answers of each of
  // the 20 bursts.
  EXPECT_GE(result.in_time, 95);
}

TEST(LargeAnswersDoNotFillTheLink, OffersAreRefusedAtALowerBacklog) {
  LinkBacklog backlog(1'000'000);
  LargeRequest request{.bytes = 100'000, .pending_bytes = 250'000, .remaining_ms = 1'000};
  EXPECT_FALSE(backlog.RefusalWaitMs(request));
  request.is_offer = true;
  EXPECT_EQ(backlog.RefusalWaitMs(request), 250);
  request.pending_bytes = 0;
  EXPECT_FALSE(backlog.RefusalWaitMs(request));
  request.remaining_ms = 150;
  EXPECT_EQ(backlog.RefusalWaitMs(request), 1);
}

// Ten large answers and a short one on a link of 8 Mbit/s.
TEST(LargeAnswersDoNotFillTheLink, LargeAnswersAreLimitedToTheirShare) {
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
  EXPECT_GT(pacer.backlog().TimeMs(0), 250);
  FakeClient short_client(loop, listener.port());
  int64_t short_start_us = EventLoop::NowUs();
  short_client.Send("GET /brief HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return short_client.HasCompleteAnswer(); }));
  EXPECT_LT(EventLoop::NowUs() - short_start_us, 100'000);
  for (auto& client : clients) {
    ASSERT_TRUE(RunUntil(loop, [&] { return client->HasCompleteAnswer(); }));
  }
  // 600 kB at 60% of 1 MB/s take 1 s.
  EXPECT_GT(EventLoop::NowUs() - start_us, 850'000);
  // The last byte leaves the backlog in the loop iteration after it was written.
  EXPECT_TRUE(RunUntil(loop, [&] { return pacer.backlog().bytes() == 0; }));
}

}  // namespace
}  // namespace guavatrail
