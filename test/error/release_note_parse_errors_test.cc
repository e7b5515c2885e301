// Guards against parse errors of a release note that do not name the place and the allowed values.
#include <gtest/gtest.h>

#include "release_note.h"

namespace guavatrail {
namespace {

constexpr char kValid[] = R"(id = "n"
author = "a"
summary = "s"
[[add]]
type = "work"
name = "w"
deadline_ms = 100
idempotent = false
key = "per_request"
length = "long"
[[withdraw]]
type = "service"
name = "s"
)";

std::string ErrorOf(const std::string& from, const std::string& to) {
  std::string text = kValid;
  text.replace(text.find(from), from.size(), to);
  auto note = ParseReleaseNote(text, "n.toml");
  return note ? "no error" : note.error().message;
}

TEST(ReleaseNoteParseErrors, AcceptsAValidNote) {
  auto note = ParseReleaseNote(kValid, "n.toml");
  ASSERT_TRUE(note) << note.error().message;
  const auto& work = std::get<WorkKind>(note->added.at(0));
  EXPECT_EQ(work.key, KeyMode::kPerRequest);
  EXPECT_FALSE(work.is_short);
  EXPECT_EQ(note->withdrawn.at(0), (ResourceRef{ResourceType::kService, "s"}));
}

TEST(ReleaseNoteParseErrors, NamesFileLineKeyFoundAndAllowed) {
  EXPECT_EQ(ErrorOf("= 100", "= 0"),
            "n.toml:7: add.deadline_ms: found 0, allowed is an integer from 1 to 600000");
  EXPECT_EQ(ErrorOf("\"long\"", "\"tall\""),
            "n.toml:10: add.length: found \"tall\", allowed is one of \"short\" \"long\"");
  EXPECT_EQ(ErrorOf("type = \"service\"", "type = \"shop\""),
            "n.toml:12: withdraw.type: found \"shop\", allowed is one of \"service\" \"work\" "
            "\"route\" \"workspace\"");
}

TEST(ReleaseNoteParseErrors, NamesMissingAndUnknownKeys) {
  EXPECT_EQ(ErrorOf("id = \"n\"", ""),
            "n.toml:1: id: missing, required is a name of 1 to 63 characters a-z, 0-9 and -");
  EXPECT_EQ(ErrorOf("length", "lenght"),
            "n.toml:10: unknown key add.lenght, allowed are type, name, deadline_ms, idempotent, "
            "importance, length, key, attempts, objective_ms");
}

// Errors of the whole note name line 1.
TEST(ReleaseNoteParseErrors, NamesAResourceThatIsNamedTwice) {
  EXPECT_EQ(ErrorOf("[[withdraw]]\ntype = \"service\"\nname = \"s\"",
                    "[[withdraw]]\ntype = \"work\"\nname = \"w\""),
            "n.toml:1: work/w: named more than once in the note");
}

TEST(ReleaseNoteParseErrors, NamesTheLineOfASyntaxError) {
  EXPECT_TRUE(ErrorOf("author = \"a\"", "author = \"a").starts_with("n.toml:2: "));
}

}  // namespace
}  // namespace guavatrail
