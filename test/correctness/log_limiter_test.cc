// Guards against unbounded log volume under load or with a blocked reader, and against lines that
// are dropped without being counted.
#include <gtest/gtest.h>

#include "log_output.h"

namespace guavatrail {
namespace {

TEST(LogLimiterTest, LinesBeyondTheRateAreDroppedAndCounted) {
  LogLimiter limiter({.lines_per_second = 10, .burst_lines = 5, .buffer_bytes = 1'000});
  int taken = 0;
  for (int i = 0; i < 20; ++i) taken += limiter.TryAppend("a\n", false, 1) ? 1 : 0;
  EXPECT_EQ(taken, 5);
  EXPECT_EQ(limiter.dropped(), 15U);
  EXPECT_TRUE(limiter.TryAppend("b\n", false, 1'000'001));
  EXPECT_NE(limiter.pending().find("event=log_lines_dropped count=15"), std::string::npos);
}

TEST(LogLimiterTest, UrgentLinesNeedNoToken) {
  LogLimiter limiter({.lines_per_second = 1, .burst_lines = 1, .buffer_bytes = 1'000});
  EXPECT_TRUE(limiter.TryAppend("a\n", false, 1));
  EXPECT_FALSE(limiter.TryAppend("b\n", false, 1));
  EXPECT_TRUE(limiter.TryAppend("c\n", true, 1));
}

TEST(LogLimiterTest, BlockedReaderFillsOnlyTheBuffer) {
  LogLimiter limiter({.lines_per_second = 1e6, .burst_lines = 1e6, .buffer_bytes = 100});
  for (int i = 0; i < 1000; ++i) limiter.TryAppend("0123456789\n", true, i);
  EXPECT_LE(limiter.pending().size(), 100U);
  EXPECT_GE(limiter.dropped(), 900U);
  limiter.Consume(limiter.pending().size());
  EXPECT_TRUE(limiter.TryAppend("after\n", false, 2'000));
}

}  // namespace
}  // namespace guavatrail
