// Guards against a keeper that vouches for a floor although it was restarted after the promise, and
// against a young mesh in which no restarted node may serve for 30 s.
#include <gtest/gtest.h>

#include "version_guard.h"

namespace guavatrail {
namespace {

TEST(KeeperKnowsSettledPromises, OnlyAfterTheRecordHasSettledOrALongLifetime) {
  PromiseBook book(0);
  EXPECT_FALSE(book.KnowsAllPromisesOf("a", 1'000));
  book.Record("a", 3, 1'000);
  EXPECT_EQ(book.Floor("a"), 3u);
  EXPECT_FALSE(book.KnowsAllPromisesOf("a", 5'999));
  book.Record("a", 5, 5'000);
  EXPECT_TRUE(book.KnowsAllPromisesOf("a", 6'000));
  EXPECT_FALSE(book.KnowsAllPromisesOf("b", 6'000));
  EXPECT_TRUE(book.KnowsAllPromisesOf("b", PromiseBook::kNewlyStartedMs));
}

}  // namespace
}  // namespace guavatrail
