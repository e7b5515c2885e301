// Guards against a crash, or a value that breaks a rule, when the note parser or a decoder reads
// damaged bytes. Fixed seed and count.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "config_log.h"
#include "random_source.h"
#include "release_note.h"

namespace guavatrail {
namespace {

constexpr uint64_t kSeed = 20240607;
constexpr int kMutants = 20'000;

std::string ExampleText() {
  std::ifstream in(std::string(GUAVATRAIL_EXAMPLES_DIR) + "/notes/gaveta-viva.toml");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Changes, removes, repeats or inserts 1 to 4 stretches of bytes.
std::string Mutate(std::string bytes, RandomSource& random) {
  for (uint64_t i = 0, count = 1 + random.Below(4); i < count && !bytes.empty(); ++i) {
    size_t at = random.Below(bytes.size());
    size_t length = std::min<size_t>(1 + random.Below(8), bytes.size() - at);
    switch (random.Below(5)) {
      case 0:
        bytes[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.Below(8)));
        break;
      case 2:
        bytes.erase(at, length);
        break;
      case 3:
        bytes.insert(random.Below(bytes.size()), bytes.substr(at, length));
        break;
      default:
        bytes.resize(at);
        break;
    }
  }
  return bytes;
}

// Runs `accept` on mutants of `bytes`; it returns whether the mutant was accepted.
void RunMutants(const std::string& name, const std::string& bytes,
                const std::function<bool(const std::string&)>& accept) {
  RandomSource random(kSeed);
  int accepted = 0;
  for (int i = 0; i < kMutants; ++i) accepted += accept(Mutate(bytes, random)) ? 1 : 0;
  std::cout << "input=" << name << " mutants=" << kMutants << " accepted=" << accepted << '\n';
  EXPECT_LT(accepted, kMutants);
}

ReleaseNote ExampleNote() { return *ParseReleaseNote(ExampleText(), "example"); }

TEST(MutatedBytes, NoteParserGivesAnErrorOrAValidNote) {
  RunMutants("toml", ExampleText(), [](const std::string& text) {
    auto note = ParseReleaseNote(text, "m");
    if (!note) {
      EXPECT_TRUE(note.error().message.starts_with("m:")) << note.error().message;
      return false;
    }
    EXPECT_TRUE(ValidateNote(*note));
    return true;
  });
}

TEST(MutatedBytes, NoteDecoderGivesAnErrorOrAValidCanonicalNote) {
  RunMutants("note", EncodeNote(ExampleNote()), [](const std::string& bytes) {
    auto note = DecodeNote(bytes);
    if (!note) return false;
    EXPECT_TRUE(ValidateNote(*note));
    EXPECT_EQ(EncodeNote(*note), bytes);
    return true;
  });
}

TEST(MutatedBytes, TableDecoderGivesAnErrorOrAValidTable) {
  RunMutants("table", EncodeTable(*ConfigTable().Apply(ExampleNote())),
             [](const std::string& bytes) {
               auto table = DecodeTable(bytes);
               if (!table) return false;
               EXPECT_TRUE(table->Validate());
               return true;
             });
}

TEST(MutatedBytes, HeadAndSegmentDecodersGiveAnErrorOrAContiguousLog) {
  ConfigTable table = *ConfigTable().Apply(ExampleNote());
  ConfigHead head = AppendEntry({}, MakeLogEntry(ExampleNote()), table).head;
  std::vector<LogEntry> entries;
  for (uint64_t i = 1; i <= kSegmentEntries; ++i) {
    LogEntry entry = MakeLogEntry({"n" + std::to_string(i), "t", "", {}, {}, {}});
    entry.version = i;
    entries.push_back(std::move(entry));
  }
  RunMutants("head", EncodeHead(head), [](const std::string& bytes) {
    auto decoded = DecodeHead(bytes);
    if (!decoded) return false;
    EXPECT_EQ(decoded->segmented_version + decoded->tail.size(), decoded->version);
    return true;
  });
  RunMutants("segment", EncodeSegment(entries), [](const std::string& bytes) {
    auto decoded = DecodeSegment(bytes, 1);
    if (!decoded) return false;
    EXPECT_EQ(decoded->size(), kSegmentEntries);
    EXPECT_EQ(decoded->back().version, kSegmentEntries);
    return true;
  });
}

}  // namespace
}  // namespace guavatrail
