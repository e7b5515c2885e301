// Guards against a restarted acceptor that reports a promised version without a record of the
// node's promises.
#include <gtest/gtest.h>

#include "version_guard.h"

namespace guavatrail {
namespace {

TEST(PromiseLogTest, RecordsTheHighestPromisePerNode) {
  PromiseLog promises;
  EXPECT_FALSE(promises.HasRecordOf("a"));
  promises.Record("a", 5);
  promises.Record("a", 3);
  EXPECT_TRUE(promises.HasRecordOf("a"));
  EXPECT_EQ(promises.HighestPromised("a"), 5u);
  EXPECT_FALSE(promises.HasRecordOf("b"));
  EXPECT_EQ(promises.HighestPromised("b"), 0u);
}

}  // namespace
}  // namespace guavatrail
