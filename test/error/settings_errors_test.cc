// Guards against settings errors that lack the location, the value found or the allowed values.
#include <gtest/gtest.h>

#include "settings.h"

namespace guavatrail {
namespace {

constexpr char kValid[] = R"([node]
name = "catalogo-1"
service = "catalogo"
region = "pt-norte"
data_centre = "braga"
[listen]
ip = "127.0.0.1"
caller_port = 8001
peer_port = 8002
control_port = 8003
admin_port = 8004
[server]
ip = "127.0.0.1"
port = 9001
[platform]
ip = "127.0.0.1"
port = 9100
[control]
public_key = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
secret_key = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)";

TEST(SettingsErrorsTest, AcceptsValidFile) {
  auto settings = ParseSettings(kValid, "node.toml");
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_EQ(settings->listen.peer_port, 8002);
}

TEST(SettingsErrorsTest, ErrorHasLineKeyValueAndAllowedValues) {
  std::string text = kValid;
  text.replace(text.find("8002"), 4, "70000");
  auto settings = ParseSettings(text, "node.toml");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().message,
            "node.toml:9: listen.peer_port: found 70000, allowed is an integer from 1 to 65535");
}

TEST(SettingsErrorsTest, RejectsUnknownKeysAndSections) {
  auto key = ParseSettings(std::string(kValid) + "colour = 1\n", "n");
  ASSERT_FALSE(key);
  EXPECT_EQ(key.error().message, "n:21: unknown key control.colour");
  auto section = ParseSettings(std::string(kValid) + "[paint]\n", "n");
  ASSERT_FALSE(section);
  EXPECT_EQ(section.error().message, "n:21: unknown section paint");
}

TEST(SettingsErrorsTest, ReportsMissingKey) {
  std::string text = kValid;
  text.erase(text.find("peer_port = 8002\n"), 17);
  auto settings = ParseSettings(text, "n");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().message,
            "n:1: listen.peer_port: missing, required is an integer from 1 to 65535");
}

}  // namespace
}  // namespace guavatrail
