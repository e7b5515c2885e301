// Guards against a seed list that loses live contacts, grows without bound, or keeps nodes from
// joining when its value is malformed.
#include "seed_list.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

using Addresses = std::vector<std::string>;

bool NoneIsDead(const std::string&) { return false; }

TEST(SeedList, FillsFreeEntries) {
  EXPECT_EQ(AddSeed({}, "10.0.0.1:1", NoneIsDead), Addresses{"10.0.0.1:1"});
  EXPECT_EQ(AddSeed({"10.0.0.1:1"}, "10.0.0.1:1", NoneIsDead), std::nullopt);
}

TEST(SeedList, ReplacesOnlyDeadEntries) {
  Addresses full = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"};
  EXPECT_EQ(AddSeed(full, "10.0.0.9:1", NoneIsDead), std::nullopt);
  auto third_is_dead = [&](const std::string& address) { return address == full[2]; };
  Addresses expected = full;
  expected[2] = "10.0.0.9:1";
  EXPECT_EQ(AddSeed(full, "10.0.0.9:1", third_is_dead), expected);
}

TEST(SeedList, RoundTripAndMaximumSize) {
  Addresses addresses = {"10.0.0.1:1", "10.0.0.2:65535"};
  EXPECT_EQ(DecodeSeeds(EncodeSeeds(addresses)), addresses);
  EXPECT_EQ(DecodeSeeds(EncodeSeeds(Addresses(20, "10.0.0.1:1"))).size(), kMaxSeeds);
}

TEST(SeedList, MalformedEntriesAreSkipped) {
  for (const char* value : {"", "{", "[]", "7", "{\"addresses\": 7}", "\xff\xfe"}) {
    EXPECT_TRUE(DecodeSeeds(value).empty()) << value;
  }
  EXPECT_EQ(DecodeSeeds(R"({"addresses": [1, "host:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000",
                             "10.0.0.1:1x", "10.0.0.2:5"]})"),
            Addresses{"10.0.0.2:5"});
}

}  // namespace
}  // namespace guavatrail
