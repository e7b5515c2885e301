// Checks that a path prefix matches whole segments only: /manuais must not match /manuais-antigos.
#include <gtest/gtest.h>

#include "config_table.h"

namespace guavatrail {
namespace {

TEST(RoutesMatchWholeSegments, LongestPrefixWins) {
  Service service{.name = "manuais"};
  WorkKind work{.name = "download"};
  auto table =
      ConfigTable::FromResources(1, {service, work, Route{"all", "/", "manuais", "download"},
                                     Route{"manuais", "/manuais", "manuais", "download"},
                                     Route{"checks", "/manuais/check", "manuais", "download"}});
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(table->MatchRoute("/manuais")->name, "manuais");
  EXPECT_EQ(table->MatchRoute("/manuais/7")->name, "manuais");
  EXPECT_EQ(table->MatchRoute("/manuais/check/7")->name, "checks");
  EXPECT_EQ(table->MatchRoute("/manuais/checks")->name, "manuais");
  EXPECT_EQ(table->MatchRoute("/manuais-antigos")->name, "all");
}

}  // namespace
}  // namespace guavatrail
