// Checks that a large body arrives whole, is held once while it is received and forwarded, and is
// handed over without a copy where a node is entry node and serving node of the request. Guards
// against a node that needs a multiple of the memory of a body.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include "body_buffer.h"
#include "entry_fixture.h"
#include "local_bodies.h"

namespace guavatrail {
namespace {

TEST(BodyBuffer, TakesPartsOfAnySize) {
  for (size_t part : {1UL, 3UL, 1000UL, 65'536UL, 300'000UL}) {
    BodyBuffer buffer;
    evbuffer* data = evbuffer_new();
    std::string expected;
    for (size_t sent = 0; sent < 600'000 && sent < 20'000 * part; sent += part) {
      std::string text(part, static_cast<char>('a' + expected.size() % 26));
      evbuffer_add(data, text.data(), text.size());
      buffer.Append(data);
      expected += text;
    }
    EXPECT_EQ(evbuffer_get_length(data), 0U);
    EXPECT_EQ(buffer.size(), expected.size());
    EXPECT_LE(buffer.held_bytes(), 4 * expected.size());
    if (expected.size() > 100'000) {
      EXPECT_LE(buffer.held_bytes(), expected.size() + 4'096);
    }
    EXPECT_EQ(buffer.Take(), expected);
    EXPECT_EQ(buffer.size(), 0U);
    EXPECT_EQ(buffer.held_bytes(), 0U);
    evbuffer_free(data);
  }
}

TEST(LocalBodies, TokenIsValidOnceAndWhileTheBodyIsHeld) {
  LocalBodies bodies;
  auto body = std::make_shared<const std::string>("body");
  std::string token = bodies.Offer(body);
  EXPECT_EQ(bodies.Take("0" + token), nullptr);
  EXPECT_EQ(bodies.Take(token), body);
  EXPECT_EQ(bodies.Take(token), nullptr);
  std::string late = bodies.Offer(body);
  body.reset();
  EXPECT_EQ(bodies.Take(late), nullptr);
}

class LargeBody : public EntryFixture {
 protected:
  void StartNodes() {
    Server& server = AddServer([this](FakeConnection& c, const std::string& request) {
      m_received = request;
      c.Send(MakeAnswer(200, "done"));
    });
    server.proxy->SetLocalBodies(m_bodies);
    Start();
    m_entry->SetLocalBodies(m_bodies);
  }

  std::string m_body = std::string(200'000, 'x') + "end";
  std::string m_received;
  LocalBodies m_bodies;
};

TEST_F(LargeBody, ReachesTheServerOfAnotherNode) {
  StartNodes();
  auto client = Send("POST", "/pecas/1", "", m_body);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
  EXPECT_EQ(client->status(), 200);
  EXPECT_TRUE(m_received.ends_with("\r\n\r\n" + m_body));
}

TEST_F(LargeBody, UnknownTokenIsRefusedAsNotRun) {
  StartNodes();
  FakeClient peer(m_loop, m_endpoints[0].peer_port);
  peer.Send(MakeRequest("POST", "/pecas/1", "X-Guavatrail-Local-Body: 00\r\n", ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return peer.HasCompleteAnswer(); }));
  EXPECT_EQ(peer.status(), 503);
  EXPECT_EQ(peer.header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_TRUE(m_received.empty());
}

}  // namespace
}  // namespace guavatrail
