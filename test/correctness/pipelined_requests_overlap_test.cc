// Guards against pipelined lookups that run one after the other, and against answers that reach the
// caller in another order than it sent the requests.
#include "entry_fixture.h"
#include "pipeline_fixture.h"

namespace guavatrail {
namespace {

class PipelinedRequestsOverlap : public EntryFixture {
 protected:
  // Adds a serving node that keeps its requests until AnswerKept().
  Server& AddHoldingNode() {
    return AddFakeNode([this](FakeConnection& c, const std::string& request) {
      m_kept.emplace_back(&c, request);
    });
  }

  // Sends `count` lookups in one write.
  std::unique_ptr<FakeClient> SendLookups(int count) {
    auto client = std::make_unique<FakeClient>(m_loop, m_entry->port());
    std::string bytes;
    for (int i = 1; i <= count; ++i) {
      bytes += MakeRequest("GET", "/pecas/" + std::to_string(i), "", "");
    }
    client->Send(bytes);
    return client;
  }

  // Answers the request for `path` with its path.
  void AnswerKept(const std::string& path) {
    for (auto& [connection, request] : m_kept) {
      if (!request.starts_with("GET " + path + " ")) continue;
      connection->Send(NodeAnswer(request, 200, "answered", path));
      return;
    }
    ADD_FAILURE() << "no request for " << path;
  }

  std::vector<std::pair<FakeConnection*, std::string>> m_kept;
};

TEST_F(PipelinedRequestsOverlap, AnswersKeepTheOrderOfTheRequests) {
  AddHoldingNode();
  AddHoldingNode();
  Start();
  auto client = SendLookups(5);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 5; }));
  for (int i = 5; i > 1; --i) {
    AnswerKept("/pecas/" + std::to_string(i));
    RunFor(m_loop, std::chrono::milliseconds(20));
  }
  EXPECT_EQ(client->received(), "");
  AnswerKept("/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return AnswersIn(client->received()).size() == 5; }));
  for (int i = 1; i <= 5; ++i) {
    const ReceivedAnswer answer = AnswersIn(client->received())[static_cast<size_t>(i - 1)];
    EXPECT_EQ(answer.body, "/pecas/" + std::to_string(i));
    EXPECT_EQ(HeaderIn(answer.head, "Connection"), "");
  }
  EXPECT_FALSE(client->closed_by_peer());
  RunUntil(m_loop, [&] { return m_entry->calls() == 0; });
  EXPECT_EQ(m_outcomes.size(), 5U);
  for (const char* ahead : {"1", "2", "3", "4"}) {
    std::string label = std::string("ahead=\"") + ahead + "\"";
    EXPECT_EQ(m_metrics.GetCounter("pipelined_requests_total", label).value(), 1U) << ahead;
  }
}

TEST_F(PipelinedRequestsOverlap, OrderRunsAlone) {
  AddHoldingNode();
  Start();
  auto client = SendLookups(2);
  client->Send(MakeRequest("POST", "/notes/3", "", "one") + MakeRequest("GET", "/pecas/4", "", "") +
               MakeRequest("GET", "/notes/5", "", ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 2; }));
  AnswerKept("/pecas/2");
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_kept.size(), 2U) << "the order started before an earlier answer was complete";
  AnswerKept("/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 3; }));
  EXPECT_TRUE(m_kept[2].second.starts_with("POST /notes/3 "));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_kept.size(), 3U) << "a request behind the order started before its answer";
  m_kept[2].first->Send(NodeAnswer(m_kept[2].second, 200, "answered", "ordered"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 4; }));
  // A lookup by an order kind is not repeatable either.
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_kept.size(), 4U);
  AnswerKept("/pecas/4");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 5; }));
  AnswerKept("/notes/5");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return AnswersIn(client->received()).size() == 5; }));
}

// The order was read while its kind was idempotent, and starts under the configuration that makes
// it an order.
TEST_F(PipelinedRequestsOverlap, ConfigurationInForceAtTheStartDecides) {
  AddHoldingNode();
  Start();
  auto client = SendLookups(1);
  client->Send(MakeRequest("POST", "/pecas/2", "", "12345").substr(0, 56));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 1; }));
  for (Resource& resource : m_resources) {
    auto* kind = std::get_if<WorkKind>(&resource);
    if (kind != nullptr && kind->name == "lookup") kind->idempotent = false;
  }
  auto table = ConfigTable::FromResources(2, m_resources);
  ASSERT_TRUE(table) << table.error().message;
  m_table = std::make_shared<const ConfigTable>(*table);
  client->Send(MakeRequest("POST", "/pecas/2", "", "12345").substr(56));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_kept.size(), 1U);
  AnswerKept("/pecas/1");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 2; }));
}

TEST_F(PipelinedRequestsOverlap, DrainingNodeStartsNothingBesideOthers) {
  AddHoldingNode();
  Start();
  auto client = SendLookups(2);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_kept.size() == 2; }));
  m_entry->StartDrain([] {});
  client->Send(MakeRequest("GET", "/pecas/3", "", ""));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_entry->calls(), 2U);
  AnswerKept("/pecas/2");
  AnswerKept("/pecas/1");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return AnswersIn(client->received()).size() == 3; }));
  EXPECT_EQ(AnswersIn(client->received())[1].body, "/pecas/2");
  EXPECT_EQ(AnswersIn(client->received())[2].status, 503);
  EXPECT_EQ(m_kept.size(), 2U);
}

}  // namespace
}  // namespace guavatrail
