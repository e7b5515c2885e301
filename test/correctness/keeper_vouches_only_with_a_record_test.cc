// Guards against a keeper that was restarted and reports a promised version without a record of the
// node's promises.
#include <gtest/gtest.h>

#include "version_guard.h"

namespace guavatrail {
namespace {

TEST(KeeperVouchesOnlyWithARecord, RecordsTheHighestPromisePerNode) {
  PromiseLog book;
  EXPECT_FALSE(book.HasRecordOf("a"));
  book.Record("a", 5);
  book.Record("a", 3);
  EXPECT_TRUE(book.HasRecordOf("a"));
  EXPECT_EQ(book.HighestPromised("a"), 5u);
  EXPECT_FALSE(book.HasRecordOf("b"));
  EXPECT_EQ(book.HighestPromised("b"), 0u);
}

}  // namespace
}  // namespace guavatrail
