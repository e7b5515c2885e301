// Guards against a node that admits requests without a key because it does not learn, with the
// configuration or a change of it, that callers need keys.
#include <gtest/gtest.h>

#include "caller_identity.h"
#include "config_codec.h"
#include "config_relay.h"
#include "config_relay_fixture.h"
#include "publish_fixture.h"
#include "release_note.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

std::vector<Resource> Resources(bool has_workspace) {
  std::vector<Resource> resources = {Service{.name = "s"}, WorkKind{.name = "w"},
                                     Route{"r", "/r/", "s", "w"}};
  if (has_workspace) resources.emplace_back(Workspace{.name = "loja", .api_keys = {"k"}});
  return resources;
}

ConfigTable Open(uint64_t version) {
  return *ConfigTable::FromResources(version, Resources(false));
}
ConfigTable WithWorkspace(uint64_t version) {
  return *ConfigTable::FromResources(version, Resources(true));
}
ConfigTable Closed(uint64_t version) {
  ConfigTable table = Open(version);
  table.RequireApiKeys();
  return table;
}

bool Admits(const ConfigTable& table) {
  return IdentifyCaller(table, table.routes().at("r"), {{"X-Api-Key", "any"}}, "X-Api-Key")
      .has_value();
}

// The table as an older build encodes it.
std::string EncodedWithoutPolicy(const ConfigTable& table) {
  pb::Table message;
  EXPECT_TRUE(message.ParseFromString(EncodeTable(table)));
  message.clear_api_key_policy();
  return SerializeCanonical(message);
}

TEST(ApiKeyPolicyTravels, WithTheTable) {
  for (const ConfigTable& table : {Open(7), WithWorkspace(7), Closed(7)}) {
    auto decoded = DecodeTable(EncodeTable(table));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(*decoded, table);
    EXPECT_EQ(Admits(*decoded), !table.requires_api_keys());
  }
  EXPECT_NE(EncodeTable(Open(7)), EncodeTable(Closed(7)));
}

TEST(ApiKeyPolicyTravels, WithTheChangeBetweenTwoTables) {
  std::vector<ConfigTable> tables = {Open(7), WithWorkspace(7), Closed(7)};
  for (const ConfigTable& before : tables) {
    for (const ConfigTable& after : tables) {
      if (before == after) continue;
      auto change = DecodeChange(EncodeNote(after.ChangeSince(before)));
      ASSERT_TRUE(change) << change.error().message;
      auto applied = before.ApplyChange(*change);
      ASSERT_TRUE(applied) << applied.error().message;
      EXPECT_EQ(applied->AtVersion(7), after);
    }
  }
}

TEST(ApiKeyPolicyTravels, TableOfAnOlderBuildIsRefusedUnlessItHasWorkspaces) {
  EXPECT_FALSE(DecodeTable(EncodedWithoutPolicy(Open(7))));
  EXPECT_FALSE(DecodeTable(EncodedWithoutPolicy(Closed(7))));
  auto decoded = DecodeTable(EncodedWithoutPolicy(WithWorkspace(7)));
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_FALSE(Admits(*decoded));
}

// An older build does not know the field, so it cannot encode the table to the same bytes again,
// and refuses it. A change that it can apply leaves it with another digest.
TEST(ApiKeyPolicyTravels, OlderBuildDoesNotTakeATableThatNeedsKeys) {
  ConfigTable closed = Closed(9);
  EXPECT_NE(EncodedWithoutPolicy(closed), EncodeTable(closed));
  ReleaseNote change = closed.ChangeSince(WithWorkspace(7));
  EXPECT_FALSE(change.requires_api_keys.has_value());
  EXPECT_EQ(change.withdrawn.size(), 1U);
  EXPECT_NE(DigestOf(EncodedWithoutPolicy(closed)), DigestOf(EncodeTable(closed)));
}

// The node turns to the platform, whose configuration it reads itself.
TEST(ApiKeyPolicyTravels, NodeDoesNotFollowAnOlderBuildToAnOpenTable) {
  EventLoop loop;
  Metrics metrics;
  RandomSource random(7);
  FakeServer source(loop, [](FakeConnection& c, const std::string&) {
    std::string body = EncodedWithoutPolicy(Open(9));
    c.Send(
        "HTTP/1.1 200 OK\r\nX-Guavatrail-Config-Version: 9\r\nX-Guavatrail-Config-Age-Ms: 10\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  PeerClient peers(loop, "");
  bool has_adopted = false;
  bool watches_platform = false;
  ConfigRelay relay(loop, {"node-1", "braga"}, peers, metrics, random,
                    {.on_newer_table = [&](auto) { has_adopted = true; },
                     .watch_platform = [&](bool on) { watches_platform = on; }});
  relay.SetTable(std::make_shared<const ConfigTable>(WithWorkspace(7)));
  relay.OnPlatformConfirmation();
  relay.Start();
  relay.SetEndpoints(MakeSourceEndpoints(source.port()));
  EXPECT_TRUE(RunUntil(loop, [&] { return watches_platform; }));
  EXPECT_FALSE(has_adopted);
}

ReleaseNote Note(const std::string& id, std::vector<Resource> added,
                 std::vector<ResourceRef> withdrawn = {}) {
  return {id, "ana", "", std::move(added), {}, std::move(withdrawn)};
}

TEST(ApiKeyPolicyTravels, WithdrawingTheLastWorkspaceAdmitsNobody) {
  auto table = ConfigTable().Apply(Note("a", Resources(true)));
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_FALSE(Admits(*table));
  auto next = table->Apply(Note("b", {}, {{ResourceType::kWorkspace, "loja"}}));
  ASSERT_TRUE(next) << next.error().message;
  EXPECT_FALSE(Admits(*next));
}

TEST(ApiKeyPolicyTravels, NoteCanEndTheNeedForKeysOnceThereAreNoWorkspaces) {
  constexpr char kText[] =
      "id = \"open\"\nauthor = \"ana\"\nsummary = \"\"\n"
      "requires_api_keys = false\n";
  auto open = ParseReleaseNote(kText, "n.toml");
  ASSERT_TRUE(open) << open.error().message;
  auto table = ConfigTable().Apply(Note("a", Resources(true)));
  ASSERT_TRUE(table);
  EXPECT_FALSE(table->Apply(*open));
  auto closed = table->Apply(Note("b", {}, {{ResourceType::kWorkspace, "loja"}}));
  ASSERT_TRUE(closed);
  auto opened = closed->Apply(*DecodeNote(EncodeNote(*open)));
  ASSERT_TRUE(opened) << opened.error().message;
  EXPECT_TRUE(Admits(*opened));
}

class ApiKeyPolicyOfStoredNotes : public PublishFixture {
 protected:
  ConfigTable Current() {
    ConfigTable current;
    ReadCurrentTable(m_client, [&](auto table) {
      EXPECT_TRUE(table) << table.error().message;
      if (table) current = **table;
      m_loop.Stop();
    });
    m_loop.Run();
    return current;
  }

  void ExpectPublished(const ReleaseNote& note) {
    EXPECT_TRUE(std::holds_alternative<Published>(Publish(note))) << note.id;
  }

  // Replaces the snapshot by one that an older build has stored.
  void StoreSnapshotOfOlderBuild(const ConfigTable& table) {
    HeadObject head = Head();
    std::string bytes = EncodedWithoutPolicy(table);
    head.head.snapshot = {table.version(), DigestOf(bytes), 1};
    m_platform.Put(SnapshotKey(head.head.snapshot, 0), bytes);
    m_platform.Put(std::string(kHeadKey), EncodeHead(head.head));
  }
};

TEST_F(ApiKeyPolicyOfStoredNotes, SnapshotOfAnOlderBuildDoesNotOpenTheMesh) {
  ExpectPublished(Note("first", Resources(true)));
  ExpectPublished(Note("last", {}, {{ResourceType::kWorkspace, "loja"}}));
  for (uint64_t i = 0; i < 2 * kSnapshotInterval; ++i) {
    std::string name = "n" + std::to_string(i);
    ExpectPublished(AddService(name, name));
  }
  ConfigTable table = Current();
  EXPECT_FALSE(Admits(table));
  StoreSnapshotOfOlderBuild(table);
  EXPECT_EQ(Current(), table);
}

}  // namespace
}  // namespace guavatrail
