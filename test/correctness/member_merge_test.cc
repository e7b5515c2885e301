// Guards against member tables that differ although the nodes received the same records, only in a
// different order, grouping or number of repetitions.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "member_fixture.h"
#include "member_table.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kRounds = 300;
constexpr int64_t kNowMs = 1'000'000;

std::vector<pb::MemberRecord> RandomRecords(RandomSource& random) {
  std::vector<pb::MemberRecord> records;
  constexpr size_t kRecords = 40;
  for (size_t i = 0; i < kRecords; ++i) {
    pb::MemberRecord record =
        test::MakeMember("node-" + std::to_string(random.Below(5)), 1 + random.Below(4),
                         static_cast<pb::MemberStateCode>(random.Below(4)));
    record.set_draining(random.Below(3) == 0);
    record.set_config_version(random.Below(10));
    records.push_back(record);
  }
  return records;
}

// The comparable content of a table: each record in encoded form, and the digest.
std::map<std::string, std::string> ContentOf(const MemberTable& table) {
  std::map<std::string, std::string> content;
  table.ForEach(
      [&](const pb::MemberRecord& record) { content[record.name()] = record.SerializeAsString(); });
  content["digest"] = std::to_string(table.Digest());
  return content;
}

MemberTable Merged(const std::vector<pb::MemberRecord>& records) {
  MemberTable table(test::MakeMember("observer", 1));
  for (const pb::MemberRecord& record : records) table.Merge(record, kNowMs);
  return table;
}

TEST(MemberMerge, MergeIsCommutative) {
  RandomSource random(kSeed);
  std::mt19937_64 shuffle(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<pb::MemberRecord> records = RandomRecords(random);
    auto expected = ContentOf(Merged(records));
    std::shuffle(records.begin(), records.end(), shuffle);
    ASSERT_EQ(ContentOf(Merged(records)), expected) << "round " << round;
  }
}

TEST(MemberMerge, MergeIsAssociative) {
  RandomSource random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<pb::MemberRecord> records = RandomRecords(random);
    auto middle = records.begin() + static_cast<ptrdiff_t>(random.Below(records.size()));
    MemberTable first = Merged({records.begin(), middle});
    MemberTable second = Merged({middle, records.end()});
    for (const pb::MemberRecord& record : second.ExportAll(kNowMs)) first.Merge(record, kNowMs);
    ASSERT_EQ(ContentOf(first), ContentOf(Merged(records))) << "round " << round;
  }
}

TEST(MemberMerge, MergeIsIdempotent) {
  RandomSource random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<pb::MemberRecord> records = RandomRecords(random);
    MemberTable table = Merged(records);
    auto expected = ContentOf(table);
    table.TakeChanged();
    for (const pb::MemberRecord& record : records) {
      MergeResult result = table.Merge(record, kNowMs);
      ASSERT_EQ(result, MergeResult::kUnchanged) << "round " << round;
    }
    ASSERT_EQ(ContentOf(table), expected);
    ASSERT_TRUE(table.TakeChanged().empty());
  }
}

TEST(MemberMerge, DigestCoversAllChangesExceptVersions) {
  MemberTable table = Merged({test::MakeMember("a", 5), test::MakeMember("b", 5)});
  uint64_t digest = table.Digest();
  table.RaiseVersion("a", 7);
  EXPECT_EQ(table.Digest(), digest);
  ASSERT_TRUE(table.DeclareState("a", 5, pb::MEMBER_SUSPECT, kNowMs));
  EXPECT_NE(table.Digest(), digest);
  uint64_t suspect = table.Digest();
  ASSERT_TRUE(table.DeclareState("a", 5, pb::MEMBER_DEAD, kNowMs));
  EXPECT_NE(table.Digest(), suspect);
  EXPECT_EQ(table.Digest(), Merged({test::MakeMember("b", 5)}).Digest());
  EXPECT_FALSE(table.DeclareState("b", 4, pb::MEMBER_DEAD, kNowMs));
}

}  // namespace
}  // namespace guavatrail
