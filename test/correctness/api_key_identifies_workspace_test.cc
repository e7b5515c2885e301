// Guards against requests that run without a valid API key, keys that reach a backend server, and
// callers that choose the workspace under which their request runs.
#include "caller_identity.h"
#include "entry_fixture.h"

namespace guavatrail {
namespace {

class ApiKeyIdentifiesWorkspace : public EntryFixture {
 protected:
  void SetUp() override {
    m_resources.emplace_back(Workspace{
        .name = "Loja_4", .api_keys = {"key-a", "key-b"}, .importance = 2, .rate_per_s = 50});
    m_resources.emplace_back(Workspace{.name = "loja-5", .api_keys = {"key-c"}});
    m_resources.emplace_back(Route{.name = "open",
                                   .path_prefix = "/open",
                                   .service = "encomendas",
                                   .work = "lookup",
                                   .is_public = true});
    m_server = &AddServer(
        [](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, "spring")); });
    Start();
  }

  void SetVersion(uint64_t version) {
    auto table = ConfigTable::FromResources(version, m_resources);
    ASSERT_TRUE(table) << table.error().message;
    m_table = std::make_shared<const ConfigTable>(*table);
  }

  Server* m_server = nullptr;
};

TEST_F(ApiKeyIdentifiesWorkspace, ServerGetsTheNameAndNotTheKey) {
  auto client =
      SendAndWait("GET", "/pecas/1", "x-api-key: key-b\r\nX-Workspace: forged\r\nX-A: b\r\n");
  EXPECT_EQ(client->status(), 200);
  ASSERT_EQ(m_server->requests.size(), 1U);
  EXPECT_EQ(HeaderIn(m_server->requests[0], "X-Workspace"), "Loja_4");
  EXPECT_EQ(HeaderIn(m_server->requests[0], "X-A"), "b");
  EXPECT_EQ(m_server->requests[0].find("key-b"), std::string::npos);
  EXPECT_EQ(m_server->requests[0].find("forged"), std::string::npos);
}

TEST_F(ApiKeyIdentifiesWorkspace, RequestWithoutAValidKeyIsNotRun) {
  for (const std::string headers :
       {"", "X-Api-Key: \r\n", "X-Api-Key: key-d\r\n", "X-Api-Key: KEY-A\r\n",
        "X-Api-Key: key-a\r\nX-Api-Key: key-a\r\n", "X-Workspace: loja-5\r\n"}) {
    SCOPED_TRACE(headers);
    auto client = SendAndWait("GET", "/pecas/1", headers);
    EXPECT_EQ(client->status(), 401);
    EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "not-run");
  }
  std::string long_key(20'000, 'k');
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", "X-Api-Key: " + long_key + "\r\n")->status(), 401);
  EXPECT_TRUE(m_server->requests.empty());
}

TEST_F(ApiKeyIdentifiesWorkspace, PublicRouteNeedsNoKey) {
  EXPECT_EQ(SendAndWait("GET", "/open/1", "X-Workspace: forged\r\n")->status(), 200);
  EXPECT_EQ(SendAndWait("GET", "/open/1", "X-Api-Key: key-d\r\n")->status(), 200);
  EXPECT_EQ(SendAndWait("GET", "/open/1", "X-Api-Key: key-c\r\n")->status(), 200);
  ASSERT_EQ(m_server->requests.size(), 3U);
  EXPECT_EQ(HeaderIn(m_server->requests[0], "X-Workspace"), "");
  EXPECT_EQ(HeaderIn(m_server->requests[1], "X-Workspace"), "");
  EXPECT_EQ(HeaderIn(m_server->requests[1], "X-Api-Key"), "");
  EXPECT_EQ(HeaderIn(m_server->requests[2], "X-Workspace"), "loja-5");
}

TEST_F(ApiKeyIdentifiesWorkspace, RevokedKeyIsRefusedOnAnOpenConnection) {
  const std::string request = MakeRequest("GET", "/pecas/1", "X-Api-Key: key-c\r\n", "");
  FakeClient client(m_loop, m_entry->port());
  client.Send(request);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.status(), 200);
  auto& workspace = std::get<Workspace>(m_resources[m_resources.size() - 2]);
  ASSERT_EQ(workspace.name, "loja-5");
  workspace.api_keys = {"key-d"};
  SetVersion(2);
  client.Send(request);
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return client.received().find("HTTP/1.1 401") != std::string::npos; }));
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", "X-Api-Key: key-d\r\n")->status(), 200);
  EXPECT_EQ(m_server->requests.size(), 2U);
}

TEST_F(ApiKeyIdentifiesWorkspace, NodeWithoutConfigurationDoesNotDenyKeys) {
  m_table = nullptr;
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", "X-Api-Key: key-a\r\n")->status(), 503);
  EXPECT_EQ(SendAndWait("GET", "/pecas/1")->status(), 503);
}

TEST(ApiKeys, KeyOfTwoWorkspacesIsInvalid) {
  auto table = ConfigTable::FromResources(
      1, {Workspace{.name = "a", .api_keys = {"k"}}, Workspace{.name = "b", .api_keys = {"k"}}});
  ASSERT_FALSE(table);
  EXPECT_EQ(table.error().code, ConfigError::Code::kDuplicate);
  EXPECT_NE(table.error().message.find("api_keys"), std::string::npos);
}

TEST(ApiKeys, NegativeQuotaIsInvalid) {
  EXPECT_FALSE(ConfigTable::FromResources(1, {Workspace{.name = "a", .rate_per_s = -1}}));
  EXPECT_FALSE(ConfigTable::FromResources(1, {Workspace{.name = "a", .burst = -1}}));
}

// A note may move a key from one workspace to another.
TEST(ApiKeys, KeyMovesToAnotherWorkspace) {
  Workspace a{.name = "a", .api_keys = {"k", "l"}};
  Workspace b{.name = "b", .api_keys = {"m"}};
  auto table = ConfigTable::FromResources(1, {a, b});
  ASSERT_TRUE(table);
  ReleaseNote note{.id = "move", .author = "ana", .summary = "move a key"};
  a.api_keys = {"l"};
  b.api_keys = {"k"};
  note.changed = {b, a};
  auto next = table->Apply(note);
  ASSERT_TRUE(next) << next.error().message;
  EXPECT_EQ(next->FindWorkspaceByKey("k")->name, "b");
  EXPECT_EQ(next->FindWorkspaceByKey("l")->name, "a");
  EXPECT_EQ(next->FindWorkspaceByKey("m"), nullptr);
}

TEST(WorkspaceTags, TextIsReadBack) {
  WorkspaceTag tag{"Loja_4", 3, 532};
  EXPECT_EQ(ParseWorkspaceTag(FormatWorkspaceTag(tag)), tag);
  for (const char* text :
       {"", "a", "a;importance=4;weight=1", "a;importance=-1;weight=1", "a;importance=1;weight=0",
        ";importance=1;weight=1", "a;importance=1;weight=1;x", "a b;importance=1;weight=1"}) {
    EXPECT_EQ(ParseWorkspaceTag(text), WorkspaceTag{}) << text;
  }
}

// Requests without a tag rank with the most important workspaces.
TEST(WorkspaceTags, UnreadableTagDoesNotRankAsNone) {
  EXPECT_EQ(WorkspaceTagIn({}), WorkspaceTag{});
  EXPECT_EQ(WorkspaceTagIn({{kWorkspaceHeader, "loja;importance=2;weight=5"}}),
            (WorkspaceTag{"loja", 2, 5}));
  for (const char* text : {"", "loja", "a b;importance=1;weight=1", ";importance=3;weight=1"}) {
    WorkspaceTag tag = WorkspaceTagIn({{kWorkspaceHeader, text}});
    EXPECT_FALSE(tag.name.empty()) << text;
    EXPECT_EQ(tag.importance, 0) << text;
  }
}

}  // namespace
}  // namespace guavatrail
