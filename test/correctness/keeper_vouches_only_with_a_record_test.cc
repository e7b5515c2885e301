// Guards against a keeper that was restarted and reports a promised version without a record of the
// node's promises.
#include <gtest/gtest.h>

#include "version_guard.h"

namespace guavatrail {
namespace {

TEST(KeeperVouchesOnlyWithARecord, AndKeepsTheHighestPromise) {
  PromiseBook book;
  EXPECT_FALSE(book.KnowsPromisesOf("a"));
  book.Record("a", 5);
  book.Record("a", 3);
  EXPECT_TRUE(book.KnowsPromisesOf("a"));
  EXPECT_EQ(book.Floor("a"), 5u);
  EXPECT_FALSE(book.KnowsPromisesOf("b"));
  EXPECT_EQ(book.Floor("b"), 0u);
}

}  // namespace
}  // namespace guavatrail
