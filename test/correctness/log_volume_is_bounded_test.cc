// Guards against unbounded log volume under load or with a blocked reader, and against lines that
// are dropped without being counted.
#include <gtest/gtest.h>

#include "log_output.h"

namespace guavatrail {
namespace {

TEST(LogVolumeIsBounded, LinesBeyondTheRateAreDroppedAndCounted) {
  LogVolume volume({.lines_per_second = 10, .burst_lines = 5, .buffer_bytes = 1'000});
  int taken = 0;
  for (int i = 0; i < 20; ++i) taken += volume.Offer("a\n", false, 1) ? 1 : 0;
  EXPECT_EQ(taken, 5);
  EXPECT_EQ(volume.dropped(), 15U);
  EXPECT_TRUE(volume.Offer("b\n", false, 1'000'001));
  EXPECT_NE(volume.pending().find("event=log_lines_dropped count=15"), std::string::npos);
}

TEST(LogVolumeIsBounded, UrgentLinesNeedNoToken) {
  LogVolume volume({.lines_per_second = 1, .burst_lines = 1, .buffer_bytes = 1'000});
  EXPECT_TRUE(volume.Offer("a\n", false, 1));
  EXPECT_FALSE(volume.Offer("b\n", false, 1));
  EXPECT_TRUE(volume.Offer("c\n", true, 1));
}

TEST(LogVolumeIsBounded, BlockedReaderFillsOnlyTheBuffer) {
  LogVolume volume({.lines_per_second = 1e6, .burst_lines = 1e6, .buffer_bytes = 100});
  for (int i = 0; i < 1000; ++i) volume.Offer("0123456789\n", true, i);
  EXPECT_LE(volume.pending().size(), 100U);
  EXPECT_GE(volume.dropped(), 900U);
  volume.Written(volume.pending().size());
  EXPECT_TRUE(volume.Offer("after\n", false, 2'000));
}

}  // namespace
}  // namespace guavatrail
