// Checks that what nodes tell each other of a backend server is read back as it was written, and
// that text of another form is refused.
#include "server_statement.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

TEST(ServerStatementTest, IsReadBackAsWritten) {
  ServerStatement limited{.server = {"i-7;limit=1;", 1'700'000'000'000}, .limit_per_s = 21.25};
  EXPECT_EQ(ParseServerStatement(FormatServerStatement(limited)), limited);
  ServerStatement leaving{.server = {"i-9", 5}, .limit_per_s = 3, .is_leaving = true};
  EXPECT_EQ(ParseServerStatement(FormatServerStatement(leaving)), leaving);
  ServerStatement unlimited{.server = {"i-8", -1}};
  EXPECT_EQ(ParseServerStatement(FormatServerStatement(unlimited)), unlimited);
}

TEST(ServerStatementTest, OtherTextIsRefused) {
  for (const char* text :
       {"", "id=i-1", "started=;id=i-1", "started=1x;id=i-1", "started=1;id=", "started=1",
        "started=1;limit=;id=i-1", "started=1;limit=-2;id=i-1", "started=1;limit=nan;id=i-1",
        "limit=2;started=1;id=i-1", "started=1;leaving=0;id=i-1", "started=1;leaving=1;",
        "started=99999999999999999999;id=i-1"}) {
    EXPECT_EQ(ParseServerStatement(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace guavatrail
