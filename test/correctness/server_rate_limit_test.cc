// Checks which limit of a backend server is in force after each answer, and when requests may be
// sent under it. Guards against a limit that ends or returns because answers are read in another
// order than they were sent, and against bursts when a limit begins or a process was suspended.
#include "server_rate_limit.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr int64_t kSecond = 1'000'000;

// Sends as much as the limit allows from `from_us` on and returns the number of requests.
int SendAll(ServerRateLimit& limit, int64_t from_us, int64_t time_us) {
  int sent = 0;
  for (int64_t now_us = from_us; now_us < from_us + time_us; now_us += 1'000) {
    while (limit.CanSend(now_us)) {
      limit.OnSent(now_us);
      ++sent;
    }
  }
  return sent;
}

TEST(ServerRateLimitTest, NoLimitUnlessNamed) {
  ServerRateLimit limit;
  EXPECT_TRUE(limit.CanSend(0));
  EXPECT_FALSE(limit.OnAnswer(std::nullopt, 0, kSecond));
  EXPECT_EQ(limit.WaitUs(1'000, kSecond), 0);
}

TEST(ServerRateLimitTest, SendsTheNamedRate) {
  for (double per_s : {0.7, 3.0, 21.3, 400.0}) {
    ServerRateLimit limit;
    EXPECT_TRUE(limit.OnAnswer(per_s, 0, kSecond));
    int sent = SendAll(limit, kSecond, 10 * kSecond);
    EXPECT_LE(sent, 10 * per_s + 2) << per_s;
    EXPECT_GE(sent, 10 * per_s - 2) << per_s;
  }
}

// A server that takes nothing must be able to show that it takes requests again.
TEST(ServerRateLimitTest, ServerThatTakesNothingIsStillAsked) {
  ServerRateLimit limit;
  limit.OnAnswer(0, 0, kSecond);
  int sent = SendAll(limit, kSecond, 10 * kSecond);
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 6);
}

TEST(ServerRateLimitTest, UnusedTimeAllowsNoLargeBurst) {
  ServerRateLimit limit;
  limit.OnAnswer(20, 0, 0);
  SendAll(limit, 0, kSecond);
  // The process was suspended, or there was no demand, for an hour.
  EXPECT_LE(SendAll(limit, 3'600 * kSecond, 1'000), 5);
}

TEST(ServerRateLimitTest, LimitThatBeginsCountsTheLastRequest) {
  ServerRateLimit limit;
  limit.OnSent(kSecond);
  limit.OnAnswer(1, kSecond, kSecond + 100'000);
  EXPECT_FALSE(limit.CanSend(kSecond + 100'000));
  EXPECT_TRUE(limit.CanSend(2 * kSecond + 1'000));
}

TEST(ServerRateLimitTest, ChangedLimitApplies) {
  ServerRateLimit limit;
  limit.OnAnswer(100, 0, 0);
  SendAll(limit, 0, kSecond);
  EXPECT_TRUE(limit.OnAnswer(4, 0, kSecond));
  EXPECT_LE(SendAll(limit, kSecond, 2 * kSecond), 9);
  EXPECT_TRUE(limit.OnAnswer(50, 0, 3 * kSecond));
  EXPECT_GE(SendAll(limit, 3 * kSecond, kSecond), 48);
}

TEST(ServerRateLimitTest, EndsOnlyByAnAnswerToALaterRequest) {
  ServerRateLimit limit;
  limit.OnAnswer(5, 0, 10 * kSecond);
  // Sent before the limit was named: the answer may be older than the one that named it.
  EXPECT_FALSE(limit.OnAnswer(std::nullopt, 9 * kSecond, 11 * kSecond));
  EXPECT_EQ(limit.limit_per_s(), 5);
  EXPECT_TRUE(limit.OnAnswer(std::nullopt, 10 * kSecond + 1, 11 * kSecond));
  EXPECT_EQ(limit.limit_per_s(), std::nullopt);
}

TEST(ServerRateLimitTest, ReportOfAnotherNodeCountsUntilTheServerAnswers) {
  ServerRateLimit limit;
  EXPECT_TRUE(limit.OnReported(5, 0));
  EXPECT_FALSE(limit.OnReported(50, 0));
  EXPECT_EQ(limit.limit_per_s(), 5);
  EXPECT_TRUE(limit.OnAnswer(std::nullopt, 1, 2));
  // The report is older than the answer.
  EXPECT_FALSE(limit.OnReported(5, 3));
  EXPECT_EQ(limit.limit_per_s(), std::nullopt);
}

TEST(ServerRateLimitTest, WaitCountsTheRequestsBefore) {
  ServerRateLimit limit;
  limit.OnAnswer(10, 0, 0);
  SendAll(limit, 0, 1'000);
  EXPECT_NEAR(static_cast<double>(limit.WaitUs(0, 1'000)), 100'000, 2'000);
  EXPECT_NEAR(static_cast<double>(limit.WaitUs(9, 1'000)), kSecond, 2'000);
}

}  // namespace
}  // namespace guavatrail
