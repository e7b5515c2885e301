// Guards against short answers that wait behind large ones on a thin link, and against large
// answers that are sent where the link is behind.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "answer_size_estimator.h"
#include "downstream_request.h"
#include "fake_server.h"
#include "link_pacer.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

TEST(LargeAnswersLeaveRoomOnTheLink, TheBacklogTellsTheWait) {
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

TEST(LargeAnswersLeaveRoomOnTheLink, SizesAreLearntByKind) {
  AnswerSizeEstimator sizes;
  EXPECT_EQ(sizes.TypicalBytes("download"), 0);
  for (int i = 0; i < 50; ++i) {
    sizes.Add("download", 90'000);
    sizes.Add("check", 400);
  }
  EXPECT_EQ(sizes.TypicalBytes("download"), 90'000);
  EXPECT_EQ(sizes.TypicalBytes("check"), 400);
}

// A link that sends 1 MB/s, asked for 15 answers of 100 kB at once in each second; each takes 150
// ms to make.
struct OverloadedLink {
  int taken = 0;
  int in_time = 0;  // Within the objective, of those taken.
};

OverloadedLink RunOverloadedLink(bool counts_promised) {
  constexpr int64_t kBytes = 100'000;
  constexpr int64_t kBytesPerMs = 1'000;
  constexpr int64_t kMakingMs = 150;
  constexpr int64_t kObjectiveMs = 1'000;
  LinkBacklog backlog(kBytesPerMs * 1'000);
  std::deque<int64_t> being_made;                      // Arrival times.
  std::deque<std::pair<int64_t, int64_t>> being_sent;  // Arrival times and bytes left.
  OverloadedLink result;
  for (int64_t now_ms = 0; now_ms < 20'000; ++now_ms) {
    for (int i = 0; i < 15 && now_ms % 1'000 == 0; ++i) {
      int64_t promised = counts_promised ? static_cast<int64_t>(being_made.size()) * kBytes : 0;
      if (backlog.RefusalWaitMs(
              {.bytes = kBytes, .pending_bytes = promised, .remaining_ms = kObjectiveMs})) {
        continue;
      }
      ++result.taken;
      being_made.push_back(now_ms);
    }
    while (!being_made.empty() && now_ms - being_made.front() >= kMakingMs) {
      being_sent.emplace_back(being_made.front(), kBytes);
      being_made.pop_front();
      backlog.Add(kBytes);
    }
    // All connections share the rate.
    for (auto& [arrival_ms, bytes] : being_sent) {
      int64_t part = std::min(bytes, kBytesPerMs / static_cast<int64_t>(being_sent.size()));
      bytes -= part;
      backlog.Remove(part);
    }
    std::erase_if(being_sent, [&](const auto& answer) {
      bool is_sent = answer.second <= 0;
      if (is_sent && now_ms - answer.first <= kObjectiveMs) ++result.in_time;
      return is_sent;
    });
  }
  return result;
}

TEST(LargeAnswersLeaveRoomOnTheLink, WhatIsTakenIsInTimeWhereMoreIsAskedThanFits) {
  OverloadedLink ours = RunOverloadedLink(true);
  OverloadedLink blind = RunOverloadedLink(false);
  std::printf("overloaded link: ours %d of %d in time, without answers being made %d of %d\n",
              ours.in_time, ours.taken, blind.in_time, blind.taken);
  EXPECT_GE(ours.in_time, ours.taken * 95 / 100);
  // In half of the objective the link carries 5 answers of each burst.
  EXPECT_GE(ours.in_time, 95);
}

TEST(LargeAnswersLeaveRoomOnTheLink, AnOfferIsRefusedSooner) {
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
  EXPECT_GT(pacer.backlog().TimeMs(0), 250);
  FakeClient brief(loop, listener.port());
  int64_t brief_us = EventLoop::NowUs();
  brief.Send("GET /brief HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return brief.HasCompleteAnswer(); }));
  EXPECT_LT(EventLoop::NowUs() - brief_us, 100'000);
  for (auto& client : clients) {
    ASSERT_TRUE(RunUntil(loop, [&] { return client->HasCompleteAnswer(); }));
  }
  // 600 kB at 60% of 1 MB/s take 1 s.
  EXPECT_GT(EventLoop::NowUs() - start_us, 850'000);
  // The last byte leaves the account in the turn after it was written.
  EXPECT_TRUE(RunUntil(loop, [&] { return pacer.backlog().bytes() == 0; }));
}

}  // namespace
}  // namespace guavatrail
