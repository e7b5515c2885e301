// Guards against an answer whose status is none (000, 600, 999): the caller must not get it as an
// answer, and a status below 100 must not count as an interim answer, after which the caller would
// wait for another one until its deadline.
#include "serving_fixture.h"

namespace guavatrail {
namespace {

class AnswerStatusRange : public GuardedServingFixture {};

TEST_F(AnswerStatusRange, StatusOutsideTheRangeIsNoAnswer) {
  StartGuarded();
  for (const std::string status : {"000", "0", "001", "099", "600", "999"}) {
    for (const std::string framing : {"", "Content-Length: 0\r\n", "Content-Length: 2\r\n"}) {
      std::string head = "HTTP/1.1 " + status;
      head.append(" Odd\r\nX-Id: 1\r\n").append(framing).append("\r\n");
      SCOPED_TRACE(head);
      auto client = Send("GET", "/1", Repeatable("1"));
      ASSERT_TRUE(WaitForRunning(1));
      // The server keeps the connection open.
      AnswerWith(head + (framing.ends_with("2\r\n") ? "ok" : ""));
      ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
      EXPECT_EQ(client->status(), kHttpBadGateway);
      EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
    }
  }
}

TEST_F(AnswerStatusRange, FirstAndLastStatusAreAnswers) {
  StartGuarded();
  for (const std::string status : {"200", "599"}) {
    auto client = Send("GET", "/1", Repeatable("1"));
    ASSERT_TRUE(WaitForRunning(1));
    AnswerWith("HTTP/1.1 " + status + " Odd\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
    EXPECT_EQ(std::to_string(client->status()), status);
    EXPECT_EQ(client->body(), "ok");
  }
}

}  // namespace
}  // namespace guavatrail
