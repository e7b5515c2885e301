// A server may never answer a request that it cannot queue, nor any later one on that connection.
// Checks that such a request ends at its deadline with a correct outcome, and that its slot, the
// connection pool and the server stay usable.
#include <gtest/gtest.h>

#include <set>

#include "serving_fixture.h"

namespace guavatrail {
namespace {

class UnansweredRequests : public ServingFixture {
 protected:
  // Answers all requests except those for `silent_path` and later ones on the same connection.
  void AnswerAllExcept(const std::string& silent_path) {
    for (const Running& running : m_running) {
      int number = running.connection->number();
      if (running.request.find(" " + silent_path) != std::string::npos) m_silent.insert(number);
      if (!m_silent.contains(number)) running.connection->Send(MakeAnswer(200, "done"));
    }
    m_running.clear();
  }

  bool AnswerUntil(const std::function<bool()>& condition) {
    return RunUntil(m_loop, [&] {
      AnswerAllExcept("/hang");
      return condition();
    });
  }

  std::unique_ptr<FakeClient> SendAndAnswer(const std::string& path, const std::string& headers) {
    auto client = Send("GET", path, headers);
    EXPECT_TRUE(AnswerUntil([&] { return client->HasCompleteAnswer(); }));
    return client;
  }

  static std::string Once(const std::string& id, int deadline_ms) {
    return "X-Guavatrail-Work: order;importance=3;short;once\r\nX-Guavatrail-Request-Id: " + id +
           "\r\nX-Guavatrail-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }

  std::set<int> m_silent;  // Numbers of the connections that are no longer answered.
};

TEST_F(UnansweredRequests, EndAtTheDeadlineAndAreNotResent) {
  Start();
  auto client = SendAndAnswer("/hang", Once("1", 200));
  EXPECT_EQ(client->status(), 504);
  EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown");
  EXPECT_EQ(m_server.requests(), 1);
}

TEST_F(UnansweredRequests, ConnectionIsNotReused) {
  Start();
  EXPECT_EQ(SendAndAnswer("/hang", Once("1", 200))->status(), 504);
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_server.connection_list().front()->peer_closed(); }));
  EXPECT_EQ(SendAndAnswer("/", Lookup("2"))->status(), 200);
  EXPECT_EQ(m_server.last_connection().number(), 2);
}

TEST_F(UnansweredRequests, SlotsAreFreed) {
  m_slots = 3;
  Start();
  for (int round = 0; round < 4; ++round) {
    std::vector<std::unique_ptr<FakeClient>> clients;
    clients.reserve(static_cast<size_t>(m_slots));
    for (int i = 0; i < m_slots; ++i) {
      clients.push_back(Send("GET", "/hang", Once(std::to_string(round * 10 + i), 100)));
    }
    for (auto& client : clients) {
      ASSERT_TRUE(AnswerUntil([&] { return client->HasCompleteAnswer(); }));
    }
  }
  EXPECT_EQ(m_proxy->load().in_service, 0);
  EXPECT_EQ(m_proxy->load().queued, 0);
  EXPECT_EQ(SendAndAnswer("/", Lookup("last"))->status(), 200);
}

TEST_F(UnansweredRequests, OneFailureDoesNotCloseTheGate) {
  Start();
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(SendAndAnswer("/", Lookup("before-" + std::to_string(i)))->status(), 200);
  }
  EXPECT_EQ(SendAndAnswer("/hang", Once("1", 100))->status(), 504);
  auto next = SendAndAnswer("/", Lookup("next"));
  EXPECT_EQ(next->status(), 200);
  EXPECT_TRUE(m_proxy->is_gate_open());
  // One failure among the last 16 requests: at most 6 percent.
  size_t at = next->header("X-Guavatrail-Load").find("failing=");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(next->header("X-Guavatrail-Load").substr(at + 8)), 6);
}

}  // namespace
}  // namespace guavatrail
