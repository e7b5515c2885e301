// Guards against a node that ends, with all its calls, because a value that it stores contains
// bytes that are not text.
#include <gtest/gtest.h>

#include "fake_store.h"
#include "store_client.h"
#include "test_loop.h"

namespace guavatrail::platform {
namespace {

TEST(StoreWritesAnyText, BytesThatAreNotTextAreReplaced) {
  EventLoop loop;
  Metrics metrics;
  FakeStore store(loop);
  StoreClient client(loop, {"127.0.0.1", store.port(), std::chrono::milliseconds(500)}, metrics);
  int stored = 0;
  auto count = [&](const auto& object) { stored += object ? 1 : 0; };
  EXPECT_NO_THROW(client.Create("things", "one", {{"version", "v\xff\xfe"}}, count));
  EXPECT_TRUE(RunUntil(loop, [&] { return stored == 1; }));
  EXPECT_NO_THROW(client.Create("things", "two\xc3", {{"version", "v1"}}, count));
  EXPECT_TRUE(RunUntil(loop, [&] { return stored == 2; }));
}

}  // namespace
}  // namespace guavatrail::platform
