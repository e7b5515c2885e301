// Guards against a deadline header that is misread, or whose time increases along a chain of calls.
#include <gtest/gtest.h>

#include "deadline.h"

namespace guavatrail {
namespace {

TEST(DeadlineHeaderIsChecked, ReadsMilliseconds) {
  EXPECT_EQ(ParseDeadlineMs("250"), 250);
  EXPECT_EQ(ParseDeadlineMs("0"), 0);
  EXPECT_EQ(ParseDeadlineMs("999999999999"), kMaxRemainingMs);
}

TEST(DeadlineHeaderIsChecked, RefusesNonNumbers) {
  for (const char* text : {"", "-1", "+1", " 1", "1 ", "1.5", "0x10", "9999999999999999999999"}) {
    EXPECT_FALSE(ParseDeadlineMs(text)) << text;
  }
}

TEST(DeadlineHeaderIsChecked, DoesNotIncreaseAlongACallChain) {
  EXPECT_EQ(FormatDeadlineMs(10'999, 1'000), "9");
  EXPECT_EQ(FormatDeadlineMs(10'000, 10'000), "0");
  EXPECT_EQ(FormatDeadlineMs(10'000, 90'000), "0");
}

}  // namespace
}  // namespace guavatrail
