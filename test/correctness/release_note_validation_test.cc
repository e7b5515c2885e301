// Guards against notes that are applied in part, or accepted although they break a rule.
#include <gtest/gtest.h>

#include "config_table.h"

namespace guavatrail {
namespace {

using Code = ConfigError::Code;

ReleaseNote Note(std::vector<Resource> added, std::vector<Resource> changed = {},
                 std::vector<ResourceRef> withdrawn = {}) {
  return {"n", "t", "", std::move(added), std::move(changed), std::move(withdrawn)};
}

ConfigTable Base() {
  auto table = ConfigTable().Apply(
      Note({Service{"s", "t", 0.9}, WorkKind{.name = "w"}, Route{"r", "/r", "s", "w"}}));
  EXPECT_TRUE(table);
  return *table;
}

void ExpectRefused(const ReleaseNote& note, Code code, const std::string& resource) {
  ConfigTable base = Base();
  auto result = base.Apply(note);
  ASSERT_FALSE(result);
  EXPECT_EQ(ToString(result.error().code), ToString(code));
  EXPECT_EQ(ToString(result.error().resource), resource);
  EXPECT_EQ(base, Base());
}

TEST(ReleaseNoteValidation, RefusesToAddAnExistingResource) {
  ExpectRefused(Note({Service{"new", "t", 0.9}, Service{"s", "t", 0.9}}), Code::kAlreadyExists,
                "service/s");
}

TEST(ReleaseNoteValidation, RefusesToChangeOrWithdrawAMissingResource) {
  ExpectRefused(Note({}, {Service{"x", "t", 0.9}}), Code::kNotFound, "service/x");
  ExpectRefused(Note({}, {}, {{ResourceType::kRoute, "x"}}), Code::kNotFound, "route/x");
}

TEST(ReleaseNoteValidation, RefusesAResourceNamedTwice) {
  ExpectRefused(Note({}, {Service{"s", "t", 0.8}}, {{ResourceType::kService, "s"}}),
                Code::kDuplicate, "service/s");
}

TEST(ReleaseNoteValidation, RefusesDanglingReferences) {
  ExpectRefused(Note({}, {}, {{ResourceType::kService, "s"}}), Code::kDanglingReference, "route/r");
  ExpectRefused(Note({}, {}, {{ResourceType::kWorkKind, "w"}}), Code::kDanglingReference,
                "route/r");
  ExpectRefused(Note({Route{"q", "/q", "none", "w"}}), Code::kDanglingReference, "route/q");
}

TEST(ReleaseNoteValidation, RefusesTwoRoutesWithOnePathPrefix) {
  ExpectRefused(Note({Route{"z", "/r", "s", "w"}}), Code::kDuplicate, "route/z");
}

TEST(ReleaseNoteValidation, RefusesValuesOutOfRange) {
  ExpectRefused(Note({Service{"x", "t", 1.0}}), Code::kInvalidValue, "service/x");
  ExpectRefused(Note({WorkKind{.name = "x", .deadline_ms = 0}}), Code::kInvalidValue, "work/x");
  ExpectRefused(Note({WorkKind{.name = "x", .importance = 4}}), Code::kInvalidValue, "work/x");
  ExpectRefused(Note({Route{"x", "no-slash", "s", "w"}}), Code::kInvalidValue, "route/x");
  ExpectRefused(Note({Service{"Upper", "t", 0.9}}), Code::kInvalidValue, "service/Upper");
  EXPECT_FALSE(Base().Apply(Note({})));
}

TEST(ReleaseNoteValidation, WithdrawsAResourceTogetherWithItsReferences) {
  auto table =
      Base().Apply(Note({}, {}, {{ResourceType::kService, "s"}, {ResourceType::kRoute, "r"}}));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(table->version(), 2u);
  EXPECT_EQ(table->FindService("s"), nullptr);
  EXPECT_EQ(table->MatchRoute("/r"), nullptr);
}

TEST(ReleaseNoteValidation, MovesAPathPrefixBetweenRoutesInOneNote) {
  auto table = Base().Apply(Note({Route{"q", "/r", "s", "w"}}, {}, {{ResourceType::kRoute, "r"}}));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(table->MatchRoute("/r/1")->name, "q");
}

}  // namespace
}  // namespace guavatrail
