// Guards against a malformed load header that is accepted as a load report.
#include <gtest/gtest.h>

#include "placement.h"

namespace guavatrail {
namespace {

TEST(LoadHeaderIsChecked, AcceptsWhatFormatLoadWrites) {
  ServerLoad load{.in_service = 9, .queued = 120, .service_us = 4'500'000'000};
  EXPECT_EQ(ParseLoad(FormatLoad(load)), load);
  load.failing_percent = 45;
  EXPECT_EQ(ParseLoad(FormatLoad(load)), load);
  load.usable_slots = 2;
  EXPECT_EQ(ParseLoad(FormatLoad(load)), load);
  load.failing_percent = 0;
  EXPECT_EQ(ParseLoad(FormatLoad(load)), load);
}

TEST(LoadHeaderIsChecked, RefusesAnythingElse) {
  for (const char* text :
       {"", "in_service=1",
        "in_service=1,queued=2,service_us=", "in_service=-1,queued=0,service_us=1",
        "in_service=1,queued=2,service_us=3,", "in_service=1,queued=2,service_us=3x",
        "in_service=99999999999999999999,queued=0,service_us=1",
        "in_service=4294967296,queued=0,service_us=1", "queued=1,in_service=1,service_us=1",
        "in_service=1,queued=2,service_us=3,failing=",
        "in_service=1,queued=2,service_us=3,failing=101",
        "in_service=1,queued=2,service_us=3,failing=4,",
        "in_service=1,queued=2,service_us=3,usable=",
        "in_service=1,queued=2,service_us=3,usable=-1",
        "in_service=1,queued=2,service_us=3,usable=2,failing=4"}) {
    EXPECT_FALSE(ParseLoad(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace guavatrail
