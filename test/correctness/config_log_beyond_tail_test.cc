// Guards against the loss of entries, notes or note ids when the log grows beyond the tail of the
// head.
#include "publish_fixture.h"

namespace guavatrail {
namespace {

class ConfigLogBeyondTail : public PublishFixture {};

TEST_F(ConfigLogBeyondTail, KeepsEveryEntryNoteAndIdBeyondTheTail) {
  constexpr uint64_t kNotes = 200;
  for (uint64_t i = 1; i <= kNotes; ++i) {
    std::string name = "n" + std::to_string(i);
    auto result = Publish(AddService(name, name));
    ASSERT_TRUE(std::holds_alternative<Published>(result)) << i;
    ASSERT_EQ(std::get<Published>(result).version, i);
  }
  HeadObject head = Head();
  EXPECT_LE(head.head.tail.size(), kMaxTail);
  EXPECT_EQ(head.head.segmented_version, 2 * kSegmentEntries);
  EXPECT_EQ(head.head.snapshot.version, 3 * kSnapshotInterval);
  std::vector<LogEntry> history = History();
  ASSERT_EQ(history.size(), kNotes);
  for (uint64_t i = 1; i <= kNotes; ++i) EXPECT_EQ(history[i - 1].note_id, "n" + std::to_string(i));
  // An id whose entry has moved out of the tail is still recognized as published.
  EXPECT_TRUE(std::holds_alternative<AlreadyPublished>(Publish(AddService("n3", "n3"))));
  EXPECT_TRUE(std::holds_alternative<PublishRefused>(Publish(AddService("n3", "other"))));
  ReadNoteAt(m_client, 3, [&](auto note) {
    ASSERT_TRUE(note) << note.error().message;
    EXPECT_EQ(note->note, AddService("n3", "n3"));
    m_loop.Stop();
  });
  m_loop.Run();
  ReadCurrentTable(m_client, [&](auto table) {
    ASSERT_TRUE(table) << table.error().message;
    EXPECT_EQ((*table)->version(), kNotes);
    EXPECT_EQ((*table)->services().size(), kNotes);
    m_loop.Stop();
  });
  m_loop.Run();
}

}  // namespace
}  // namespace guavatrail
