// Checks what a node reads from the statements of a backend server about itself. Guards against a
// value that is taken for no limit, or for a wrong one, although it cannot be read.
#include "server_notice.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

ExternalProtocol Protocol() {
  ExternalProtocol protocol;
  protocol.server_limit_header = "X-Limit";
  protocol.server_leaving_header = "X-Leaving";
  return protocol;
}

TEST(ServerNoticeTest, LimitIsADecimalNumber) {
  EXPECT_EQ(ParseServerNotice(Protocol(), {{"x-limit", "21.3"}}).limit_per_s, 21.3);
  EXPECT_EQ(ParseServerNotice(Protocol(), {{"X-Limit", "0"}}).limit_per_s, 0);
  EXPECT_EQ(ParseServerNotice(Protocol(), {}).limit_per_s, std::nullopt);
  EXPECT_FALSE(ParseServerNotice(Protocol(), {}).has_invalid_limit);
}

TEST(ServerNoticeTest, UnreadableLimitIsReported) {
  for (const char* text : {"", "-1", "-0.0", "inf", "nan", "1e3", "5 ", "5,0", "0x10", "many"}) {
    ServerNotice notice = ParseServerNotice(Protocol(), {{"X-Limit", text}});
    EXPECT_EQ(notice.limit_per_s, std::nullopt) << text;
    EXPECT_TRUE(notice.has_invalid_limit) << text;
  }
}

TEST(ServerNoticeTest, LeavingIsStatedByTheValueOne) {
  EXPECT_TRUE(ParseServerNotice(Protocol(), {{"X-Leaving", "1"}}).is_leaving);
  EXPECT_FALSE(ParseServerNotice(Protocol(), {{"X-Leaving", "0"}}).is_leaving);
  EXPECT_FALSE(ParseServerNotice(Protocol(), {}).is_leaving);
}

TEST(ServerNoticeTest, HeadersWithoutANameAreNotUsed) {
  ServerNotice notice = ParseServerNotice({}, {{"X-Limit", "5"}, {"X-Leaving", "1"}, {"", "7"}});
  EXPECT_EQ(notice.limit_per_s, std::nullopt);
  EXPECT_FALSE(notice.is_leaving);
}

}  // namespace
}  // namespace guavatrail
