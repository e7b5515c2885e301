// Guards against invalid command lines that are accepted, and errors that do not name the problem.
#include "command_line.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

tl::expected<OperatorArguments, UsageError> Parse(std::vector<const char*> words) {
  words.insert(words.begin(), "guavatrail");
  return ParseOperatorArguments(static_cast<int>(words.size()), words.data());
}

TEST(CommandLineTest, AcceptsValidCommand) {
  auto arguments = Parse({"--platform", "127.0.0.1:9100", "--json", "show", "7"});
  ASSERT_TRUE(arguments) << arguments.error().message;
  EXPECT_EQ(arguments->command, "show");
  EXPECT_EQ(arguments->operands, std::vector<std::string>{"7"});
  EXPECT_TRUE(arguments->json);
  EXPECT_EQ(arguments->platform->port, 9100);
}

TEST(CommandLineTest, ErrorsNameMissingOrInvalidArguments) {
  EXPECT_EQ(Parse({"publish", "n.toml"}).error().message, "publish needs --platform IP:PORT");
  EXPECT_EQ(Parse({"frob"}).error().message, "unknown command \"frob\"");
  EXPECT_EQ(Parse({"--node", "x", "nodes"}).error().message,
            "--node: found \"x\", allowed is IP:PORT");
  EXPECT_FALSE(Parse({"--frob", "nodes"}));
  EXPECT_FALSE(Parse({"--platform", "127.0.0.1:1", "show"}));
  EXPECT_FALSE(Parse({"--platform", "127.0.0.1:1", "--wait", "5", "publish", "n.toml"}));
}

}  // namespace
}  // namespace guavatrail
