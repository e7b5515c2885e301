// Guards against an acknowledged configuration that has no effect, as a whole or in part, without a
// log line, a metric or an answer of the operator's command that says so.
#include <gtest/gtest.h>

#include <sstream>

#include "captured_log.h"
#include "config_check.h"
#include "config_reader.h"
#include "config_spec.h"
#include "temp_file.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

json SoundConfig() {
  return MakeConfig(7, {MakeHost("x.example", {MakeRule("r", "/a/", ToService("catalogo"))})});
}

json RefusedConfig() {
  json config = SoundConfig();
  config["tenants"] = {{{"name", "a"}, {"api-keys", {"k"}}}, {{"name", "b"}, {"api-keys", {"k"}}}};
  return config;
}

json ConfigWithNotice() {
  json config = SoundConfig();
  config["listeners"][0]["ruleset"].push_back(MakeRule("q", "/b?c/", ToService("catalogo")));
  return config;
}

StoredObject Stored(uint64_t revision, const json& spec) {
  return {.name = "main", .revision = {revision, 1}, .spec = spec};
}

class ReadConfig : public testing::Test {
 protected:
  bool HasLine(const std::string& line) const {
    return m_metrics.Text().find("\n" + line + "\n") != std::string::npos;
  }
  Metrics m_metrics;
  ConfigReader m_reader{m_metrics};
};

TEST_F(ReadConfig, IsCountedOnceAndEndsWithASoundOne) {
  EXPECT_EQ(m_reader.Read(Stored(8, RefusedConfig())), nullptr);
  EXPECT_EQ(m_reader.Read(Stored(8, RefusedConfig())), nullptr);
  EXPECT_TRUE(HasLine("config_refused_total 1"));
  EXPECT_TRUE(HasLine("config_refused 1"));
  EXPECT_EQ(m_reader.Read(Stored(9, json("text"))), nullptr);
  EXPECT_TRUE(HasLine("config_refused_total 2"));
  EXPECT_NE(m_reader.Read(Stored(10, SoundConfig())), nullptr);
  EXPECT_TRUE(HasLine("config_refused 0"));
}

TEST_F(ReadConfig, PartThatNoRequestCanMatchIsReported) {
  auto table = m_reader.Read(Stored(8, ConfigWithNotice()));
  ASSERT_NE(table, nullptr);
  EXPECT_EQ(table->routes().size(), 1U);
  EXPECT_TRUE(HasLine("config_notices 1"));
  m_reader.Read(Stored(9, SoundConfig()));
  EXPECT_TRUE(HasLine("config_notices 0"));
}

// A line feed in the text of the operator would begin a line that the node has not written, and a
// quotation mark would end the value.
TEST_F(ReadConfig, TextOfTheOperatorStaysWithinItsValue) {
  constexpr char kText[] = "two\"\nevent=other";
  json refused = SoundConfig();
  refused["tenants"] = {{{"name", kText}, {"api-keys", {"k"}}}};
  json with_notice = SoundConfig();
  with_notice["listeners"][0]["ruleset"].push_back(
      MakeRule("q", std::string("/b?") + kText, ToService("catalogo")));
  CapturedLog log;
  EXPECT_EQ(m_reader.Read(Stored(8, refused)), nullptr);
  EXPECT_NE(m_reader.Read(Stored(9, with_notice)), nullptr);
  ASSERT_EQ(log.lines().size(), 2U);
  for (const std::string& line : log.lines()) {
    EXPECT_EQ(line.find('\n'), std::string::npos) << line;
    EXPECT_NE(line.find(R"(two\"\nevent=other)"), std::string::npos) << line;
  }
}

class CheckConfig : public testing::Test {
 protected:
  ExitCode Check(const std::string& text) {
    TempFile file(text);
    m_arguments.command = "check-config";
    m_arguments.operands = {file.path()};
    m_result.str("");
    m_error.str("");
    return RunCheckConfig(m_arguments, {m_result, m_error});
  }
  OperatorArguments m_arguments;
  std::ostringstream m_result;
  std::ostringstream m_error;
};

TEST_F(CheckConfig, SaysWhyAConfigurationIsRefused) {
  EXPECT_EQ(Check(RefusedConfig().dump()), ExitCode::kRefused);
  EXPECT_NE(m_error.str().find("workspace/b: api_keys: a key is already used by workspace/a"),
            std::string::npos)
      << m_error.str();
  EXPECT_EQ(Check("{"), ExitCode::kRefused);
}

TEST_F(CheckConfig, NamesThePlaceOfAnError) {
  json config = SoundConfig();
  config["listeners"][0]["ruleset"][0]["action"]["attempts"] = "two";
  EXPECT_EQ(Check(config.dump()), ExitCode::kRefused);
  EXPECT_NE(m_error.str().find("listeners[0].ruleset[0]: attempts is \"two\""), std::string::npos)
      << m_error.str();
}

TEST_F(CheckConfig, ListsWhatHasNoEffect) {
  EXPECT_EQ(Check(ConfigWithNotice().dump()), ExitCode::kDone);
  EXPECT_NE(m_result.str().find("notice: rule x.example/b?c/: left out"), std::string::npos)
      << m_result.str();
  m_arguments.json = true;
  EXPECT_EQ(Check(ConfigWithNotice().dump()), ExitCode::kDone);
  EXPECT_EQ(json::parse(m_result.str())["notices"].size(), 1U);
}

}  // namespace
}  // namespace guavatrail::platform
