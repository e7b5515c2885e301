// Guards against a corrupted control message that crashes a node, adds an invalid record to the
// member table, or blocks later messages.
#include <gtest/gtest.h>

#include "control_fixture.h"
#include "member_fixture.h"
#include "member_table.h"
#include "random_source.h"

namespace guavatrail {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kMutations = 20'000;

std::string EncodedTable() {
  pb::ControlMessage message;
  message.set_sender("b");
  for (int i = 0; i < 5; ++i) {
    *message.mutable_member_table()->add_members() =
        test::MakeMember("node-" + std::to_string(i), 100 + static_cast<uint64_t>(i));
  }
  return message.SerializeAsString();
}

std::string EncodedVersions(const MemberTable& table) {
  pb::ControlMessage message;
  message.set_sender("b");
  *message.mutable_member_versions() = table.VersionsSince(0);
  pb::VersionGroup& group = *message.mutable_member_versions()->add_groups();
  group.set_version(3);
  group.add_runs(1);
  group.add_runs(2);
  return message.SerializeAsString();
}

// Applies 1 to 4 random changes: replaces a byte, removes up to 3 bytes, or inserts a byte.
std::string Mutate(std::string bytes, RandomSource& random) {
  constexpr uint64_t kByteValues = 256;
  for (uint64_t i = 0; i <= random.Below(4) && !bytes.empty(); ++i) {
    size_t at = random.Below(bytes.size());
    char value = static_cast<char>(random.Below(kByteValues));
    switch (random.Below(3)) {
      case 0:
        bytes[at] = value;
        break;
      case 1:
        bytes.erase(at, 1 + random.Below(3));
        break;
      default:
        bytes.insert(at, 1, value);
    }
  }
  return bytes;
}

TEST(ControlMessageFuzz, MemberTableKeepsOnlyValidRecords) {
  RandomSource random(kSeed);
  MemberTable table(test::MakeMember("self", 100));
  for (int i = 0; i < 5; ++i) {
    table.Merge(test::MakeMember("node-" + std::to_string(i), 100 + static_cast<uint64_t>(i)), 0);
  }
  std::vector<std::string> originals = {EncodedTable(), EncodedVersions(table)};
  int decoded = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = Mutate(originals[random.Below(originals.size())], random);
    pb::ControlMessage message;
    if (!message.ParseFromString(bytes)) continue;
    ++decoded;
    for (const pb::MemberRecord& record : message.member_table().members()) {
      MergeResult result = table.Merge(record, 0);
      ASSERT_EQ(result == MergeResult::kInvalid, !IsValidRecord(record));
    }
    table.MergeVersions(message.member_versions());
  }
  EXPECT_GT(decoded, 0);
  table.ForEach([](const pb::MemberRecord& record) {
    EXPECT_TRUE(IsValidRecord(record)) << record.ShortDebugString();
  });
  EXPECT_EQ(table.self().started_ms(), 100U);
}

TEST(ControlMessageFuzz, EveryMessageIsDeliveredOrCounted) {
  EventLoop loop;
  Metrics metrics;
  test::KeyPair keys = test::MakeKeyPair();
  TransportOptions options = test::MakeTransportOptions("a", keys);
  ControlTransport transport(loop, options, metrics);
  uint64_t delivered = 0;
  transport.SetHandler([&](std::string_view, const pb::ControlMessage&) { ++delivered; });
  ASSERT_TRUE(transport.Listen());
  test::RawPeer peer("b", test::AddressOf(options), keys, keys.public_key);
  RandomSource random(kSeed);
  std::string original = EncodedTable();
  constexpr uint64_t kSent = 1000;
  auto count = [&](std::string_view name, std::string_view labels = "") {
    return metrics.GetCounter(name, labels).value();
  };
  for (uint64_t sent = 0; sent < kSent; ++sent) {
    peer.Send(Mutate(original, random));
    // Limits the messages in flight, so that none is dropped at the high-water mark.
    constexpr uint64_t kInFlight = 20;
    ASSERT_TRUE(test::RunUntil(
        loop,
        [&] { return count("control_messages_total", "direction=\"in\"") + kInFlight > sent; },
        5000));
  }
  ASSERT_TRUE(test::RunUntil(
      loop, [&] { return count("control_messages_total", "direction=\"in\"") == kSent; }, 5000));
  EXPECT_EQ(delivered + count("control_undecodable_total") + count("control_misaddressed_total"),
            kSent);
  uint64_t before = delivered;
  peer.Send(original);
  EXPECT_TRUE(test::RunUntil(
      loop, [&] { return delivered == before + 1; }, 5000));
}

}  // namespace
}  // namespace guavatrail
