// Checks that entries that expire in the store during a platform outage stay in use for the grace
// period, so that live servers keep getting work, and that entries not written again are dropped.
#include <gtest/gtest.h>

#include "endpoint_directory.h"

namespace guavatrail {
namespace {

constexpr int64_t kSecondUs = 1'000'000;

class EndpointDirectoryRemovalGrace : public testing::Test {
 protected:
  static Endpoint EndpointOf(const std::string& node) {
    Endpoint endpoint;
    endpoint.node = node;
    endpoint.service = "catalogo";
    return endpoint;
  }

  void Put(const Endpoint& endpoint) { m_directory.Put(endpoint, {++m_revision}); }

  uint64_t m_revision = 0;
  EndpointDirectory m_directory{{.removal_grace_us = 3 * kSecondUs}};
};

TEST_F(EndpointDirectoryRemovalGrace, RemovedEntryStaysForTheGracePeriod) {
  Put(EndpointOf("a"));
  m_directory.Remove("a", 10 * kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 13 * kSecondUs);
  EXPECT_FALSE(m_directory.RemoveExpired(12 * kSecondUs));
  EXPECT_NE(m_directory.list()->FindNode("a"), nullptr);
  EXPECT_TRUE(m_directory.RemoveExpired(13 * kSecondUs));
  EXPECT_EQ(m_directory.list()->FindNode("a"), nullptr);
}

// The entry of a lost VM stays in the store while its address is reassigned. Requests must not be
// sent to the new node on behalf of the old entry, since it may belong to another service.
TEST_F(EndpointDirectoryRemovalGrace, AnAddressBelongsToTheLaterServer) {
  auto at_address = [](const std::string& node, uint64_t incarnation) {
    Endpoint endpoint = EndpointOf(node);
    endpoint.ip = "10.1.0.8";
    endpoint.peer_port = 7620;
    endpoint.incarnation = incarnation;
    return endpoint;
  };
  Endpoint other = at_address("other", 1);
  other.ip = "10.1.0.9";
  Put(other);
  Put(at_address("later", 2000));
  Put(at_address("lost", 1000));
  EXPECT_EQ(m_directory.list()->FindNode("lost"), nullptr);
  EXPECT_NE(m_directory.list()->FindNode("later"), nullptr);
  EXPECT_NE(m_directory.list()->FindNode("other"), nullptr);
}

TEST_F(EndpointDirectoryRemovalGrace, EntryWrittenAgainIsKept) {
  Put(EndpointOf("a"));
  m_directory.Remove("a", 10 * kSecondUs);
  Put(EndpointOf("a"));
  EXPECT_FALSE(m_directory.NextExpiryUs());
  EXPECT_FALSE(m_directory.RemoveExpired(20 * kSecondUs));
}

TEST_F(EndpointDirectoryRemovalGrace, FullSyncRemovesMissingEntries) {
  Put(EndpointOf("a"));
  Put(EndpointOf("b"));
  m_directory.BeginFullSync();
  Put(EndpointOf("b"));
  m_directory.FinishFullSync(kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 4 * kSecondUs);
  m_directory.RemoveExpired(4 * kSecondUs);
  EXPECT_EQ(m_directory.list()->FindNode("a"), nullptr);
  EXPECT_NE(m_directory.list()->FindNode("b"), nullptr);
}

TEST_F(EndpointDirectoryRemovalGrace, RepeatedRemovalDoesNotExtendTheGracePeriod) {
  Put(EndpointOf("a"));
  m_directory.Remove("a", kSecondUs);
  m_directory.Remove("a", 2 * kSecondUs);
  EXPECT_EQ(m_directory.NextExpiryUs(), 4 * kSecondUs);
}

}  // namespace
}  // namespace guavatrail
