// Guards against servers that drop out of use because their entries lapsed while the platform was
// away, and against entries that stay in use although their node does not write them again.
#include <gtest/gtest.h>

#include "endpoint_directory.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecondUs = 1'000'000;

class EndpointDirectoryOutlastsLapses : public testing::Test {
 protected:
  static Endpoint EndpointOf(const std::string& node) {
    Endpoint endpoint;
    endpoint.node = node;
    endpoint.service = "catalogo";
    return endpoint;
  }

  EndpointDirectory m_directory{{.lapse_grace_us = 3 * kSecondUs}};
};

TEST_F(EndpointDirectoryOutlastsLapses, ARemovedEntryStaysForTheGrace) {
  m_directory.Put(EndpointOf("a"));
  m_directory.Remove("a", 10 * kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 13 * kSecondUs);
  EXPECT_FALSE(m_directory.Expire(12 * kSecondUs));
  EXPECT_NE(m_directory.list()->FindNode("a"), nullptr);
  EXPECT_TRUE(m_directory.Expire(13 * kSecondUs));
  EXPECT_EQ(m_directory.list()->FindNode("a"), nullptr);
}

TEST_F(EndpointDirectoryOutlastsLapses, AnEntryWrittenAgainStays) {
  m_directory.Put(EndpointOf("a"));
  m_directory.Remove("a", 10 * kSecondUs);
  m_directory.Put(EndpointOf("a"));
  EXPECT_FALSE(m_directory.NextExpiryUs());
  EXPECT_FALSE(m_directory.Expire(20 * kSecondUs));
}

TEST_F(EndpointDirectoryOutlastsLapses, AFullReadingFindsWhatIsMissing) {
  m_directory.Put(EndpointOf("a"));
  m_directory.Put(EndpointOf("b"));
  m_directory.StartReading();
  m_directory.Put(EndpointOf("b"));
  m_directory.FinishReading(kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 4 * kSecondUs);
  m_directory.Expire(4 * kSecondUs);
  EXPECT_EQ(m_directory.list()->FindNode("a"), nullptr);
  EXPECT_NE(m_directory.list()->FindNode("b"), nullptr);
}

TEST_F(EndpointDirectoryOutlastsLapses, ARepeatedRemovalDoesNotProlongTheGrace) {
  m_directory.Put(EndpointOf("a"));
  m_directory.Remove("a", kSecondUs);
  m_directory.Remove("a", 2 * kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 4 * kSecondUs);
}

}  // namespace
}  // namespace guavatrail
