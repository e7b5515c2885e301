// Guards against racing publishers that lose a note, overwrite one with another, or refuse a note
// without naming the conflicting one.
#include "publish_fixture.h"

namespace guavatrail {
namespace {

class PublisherRace : public PublishFixture {};

TEST_F(PublisherRace, DisjointNotesAreAllPublished) {
  std::vector<ReleaseNote> notes(6);
  for (size_t i = 0; i < notes.size(); ++i) {
    notes[i] = AddService("note-" + std::to_string(i), "service-" + std::to_string(i));
  }
  for (const PublishResult& result : PublishAll(notes)) {
    EXPECT_TRUE(std::holds_alternative<Published>(result));
  }
  EXPECT_EQ(History().size(), notes.size());
}

TEST_F(PublisherRace, RefusalNamesTheConflictingNote) {
  auto results = PublishAll({AddService("one", "s"), AddService("two", "s")});
  bool first_won = std::holds_alternative<Published>(results[0]);
  const PublishResult& lost = results[first_won ? 1 : 0];
  ASSERT_TRUE(std::holds_alternative<PublishRefused>(lost));
  EXPECT_EQ(std::get<PublishRefused>(lost).conflicting_note, first_won ? "one" : "two");
  EXPECT_EQ(History().size(), 1u);
}

TEST_F(PublisherRace, RefusalNamesTheNoteOfAWithdrawnReference) {
  ReleaseNote base = AddService("base", "s");
  base.added.emplace_back(WorkKind{.name = "w"});
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(base)));
  ReleaseNote route{"route", "t", "", {Route{"r", "/r", "s", "w"}}, {}, {}};
  ReleaseNote withdraw{"withdraw", "t", "", {}, {}, {{ResourceType::kService, "s"}}};
  auto results = PublishAll({route, withdraw});
  bool first_won = std::holds_alternative<Published>(results[0]);
  const PublishResult& lost = results[first_won ? 1 : 0];
  ASSERT_TRUE(std::holds_alternative<PublishRefused>(lost));
  EXPECT_EQ(std::get<PublishRefused>(lost).conflicting_note, first_won ? "route" : "withdraw");
}

TEST_F(PublisherRace, SameNoteTwiceIsPublishedOnce) {
  auto results = PublishAll({AddService("a", "s"), AddService("a", "s")});
  for (const PublishResult& result : results) {
    EXPECT_FALSE(std::holds_alternative<PublishRefused>(result));
    EXPECT_FALSE(std::holds_alternative<PublishUnknown>(result));
  }
  EXPECT_EQ(CountInLog("a"), 1u);
}

TEST_F(PublisherRace, SameIdWithAnotherDigestIsRefused) {
  ASSERT_TRUE(std::holds_alternative<Published>(Publish(AddService("a", "s"))));
  auto result = Publish(AddService("a", "other"));
  ASSERT_TRUE(std::holds_alternative<PublishRefused>(result));
  EXPECT_EQ(std::get<PublishRefused>(result).conflicting_note, "a");
  EXPECT_EQ(History().size(), 1u);
}

}  // namespace
}  // namespace guavatrail
