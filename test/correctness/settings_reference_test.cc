// Guards against a settings reference or sample settings that differ from what the parser accepts.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "settings.h"

namespace guavatrail {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

const std::filesystem::path kExamples = GUAVATRAIL_EXAMPLES_DIR;

TEST(SettingsReferenceTest, PageEqualsGeneratedReference) {
  EXPECT_EQ(ReadFile(kExamples.parent_path() / "docs" / "settings.md"), SettingsReference())
      << "run: build/guavatraild --settings-reference > docs/settings.md";
}

TEST(SettingsReferenceTest, SampleSettingsAreAccepted) {
  size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kExamples / "settings")) {
    auto settings = LoadSettings(entry.path().string());
    EXPECT_TRUE(settings) << settings.error().message;
    ++files;
  }
  EXPECT_GT(files, 0u);
}

}  // namespace
}  // namespace guavatrail
