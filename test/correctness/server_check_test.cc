// Guards against a new process that uses a server which has left, and against one that does not use
// a server which is in service.
#include "server_check.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

ServerCheckResult Evaluate(int status, const HeaderList& headers) {
  ExternalProtocol protocol;
  protocol.server_id_header = "X-Server-Id";
  protocol.server_leaving_header = "X-Leaving";
  protocol.not_run_header = "X-Rejected";
  return EvaluateHealthReply(protocol, "i-1", HttpReply{.status = status, .headers = headers});
}

TEST(ServerCheckTest, SuccessOfTheServerMeansInService) {
  EXPECT_EQ(Evaluate(200, {{"X-Server-Id", "i-1"}}), ServerCheckResult::kInService);
}

TEST(ServerCheckTest, FailureMeansNotInService) {
  EXPECT_EQ(Evaluate(503, {{"X-Server-Id", "i-1"}}), ServerCheckResult::kNotInService);
  EXPECT_EQ(Evaluate(500, {}), ServerCheckResult::kNotInService);
  EXPECT_EQ(Evaluate(404, {}), ServerCheckResult::kNotInService);
}

// A full server rejects the check like any other request, and may be leaving all the same.
TEST(ServerCheckTest, RejectionDoesNotMeanInService) {
  EXPECT_EQ(Evaluate(503, {{"X-Rejected", "1"}}), ServerCheckResult::kNotInService);
}

TEST(ServerCheckTest, StatedLeaveCountsInEachAnswer) {
  EXPECT_EQ(Evaluate(200, {{"X-Server-Id", "i-1"}, {"X-Leaving", "1"}}),
            ServerCheckResult::kLeaving);
  EXPECT_EQ(Evaluate(503, {{"X-Rejected", "1"}, {"X-Leaving", "1"}}), ServerCheckResult::kLeaving);
}

TEST(ServerCheckTest, AnswerOfAnotherServerSaysNothingAboutThisOne) {
  EXPECT_EQ(Evaluate(200, {{"X-Server-Id", "i-2"}}), ServerCheckResult::kOtherServer);
  EXPECT_EQ(Evaluate(503, {{"X-Server-Id", "i-2"}, {"X-Leaving", "1"}}),
            ServerCheckResult::kOtherServer);
}

TEST(ServerCheckTest, NoAnswerIsNoAnswer) {
  EXPECT_EQ(EvaluateHealthReply(ExternalProtocol(), "i-1", std::nullopt),
            ServerCheckResult::kNoAnswer);
}

}  // namespace
}  // namespace guavatrail
