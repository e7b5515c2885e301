// Guards against a server that never answers a request it cannot queue, nor any later one on that
// connection: the request must end in time with a true outcome, and neither a slot, nor the
// connection, nor the server itself may be lost with it.
#include <gtest/gtest.h>

#include <set>

#include "serving_fixture.h"

namespace guavatrail {
namespace {

class SilentRefusals : public ServingFixture {
 protected:
  // Answers all requests but those for `silent_path` and those that follow one on its connection.
  void AnswerAllBut(const std::string& silent_path) {
    for (const Running& running : m_running) {
      int number = running.connection->number();
      if (running.request.find(" " + silent_path) != std::string::npos) m_silent.insert(number);
      if (!m_silent.contains(number)) running.connection->Send(MakeAnswer(200, "done"));
    }
    m_running.clear();
  }

  bool AnswersUntil(const std::function<bool()>& condition) {
    return RunUntil(m_loop, [&] {
      AnswerAllBut("/hang");
      return condition();
    });
  }

  std::unique_ptr<FakeClient> AskServed(const std::string& path, const std::string& headers) {
    auto client = Send("GET", path, headers);
    EXPECT_TRUE(AnswersUntil([&] { return client->HasCompleteAnswer(); }));
    return client;
  }

  static std::string Once(const std::string& id, int deadline_ms) {
    return "X-Guavatrail-Work: order;importance=3;short;once\r\nX-Guavatrail-Request-Id: " + id +
           "\r\nX-Guavatrail-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }

  std::set<int> m_silent;  // Connections.
};

TEST_F(SilentRefusals, EndAtTheDeadlineWithAnUnknownOutcomeAndAreNotSentAgain) {
  Start();
  auto client = AskServed("/hang", Once("1", 200));
  EXPECT_EQ(client->status(), 504);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(SilentRefusals, TheirConnectionCarriesNothingMore) {
  Start();
  EXPECT_EQ(AskServed("/hang", Once("1", 200))->status(), 504);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_server.connection_list().front()->peer_closed(); }));
  EXPECT_EQ(AskServed("/", Lookup("2"))->status(), 200);
  EXPECT_EQ(m_server.last_connection().number(), 2);
}

TEST_F(SilentRefusals, TheirSlotsAreFreeAgain) {
  m_slots = 3;
  Start();
  for (int round = 0; round < 4; ++round) {
    std::vector<std::unique_ptr<FakeClient>> clients;
    clients.reserve(static_cast<size_t>(m_slots));
    for (int i = 0; i < m_slots; ++i) {
      clients.push_back(Send("GET", "/hang", Once(std::to_string(round * 10 + i), 100)));
    }
    for (auto& client : clients) {
      ASSERT_TRUE(AnswersUntil([&] { return client->HasCompleteAnswer(); }));
    }
  }
  EXPECT_EQ(m_proxy->load().in_service, 0);
  EXPECT_EQ(m_proxy->load().queued, 0);
  EXPECT_EQ(AskServed("/", Lookup("last"))->status(), 200);
}

TEST_F(SilentRefusals, OneAmongAnswersDoesNotMakeTheServerLookBad) {
  Start();
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(AskServed("/", Lookup("before-" + std::to_string(i)))->status(), 200);
  }
  EXPECT_EQ(AskServed("/hang", Once("1", 100))->status(), 504);
  auto next = AskServed("/", Lookup("next"));
  EXPECT_EQ(next->status(), 200);
  EXPECT_TRUE(m_proxy->is_gate_open());
  // "failing=6" at the most, after one of the last sixteen.
  size_t at = next->header("X-Guavatrail-Load").find("failing=");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(next->header("X-Guavatrail-Load").substr(at + 8)), 6);
}

}  // namespace
}  // namespace guavatrail
