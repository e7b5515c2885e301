// Under random faults of servers and callers, checks that no order runs twice or is reported
// wrongly, that no answer reaches another caller or is truncated unnoticed, and that all calls
// and slots are released.
#include <map>

#include "entry_fixture.h"

namespace guavatrail {
namespace {

class CallPathSurvivesRandomFaults : public EntryFixture,
                                     public testing::WithParamInterface<uint64_t> {
 protected:
  static std::string NameOf(const std::string& request) {
    size_t start = request.find('/');
    return request.substr(start, request.find(' ', start) - start);
  }

  // Each answer contains the path of its request, so that an answer to another request is
  // detected.
  void Serve(FakeConnection& c, const std::string& request) {
    std::string name = NameOf(request);
    ++m_executions[name];
    std::string body = name + std::string(m_faults.Below(40'000), 'x');
    std::string answer = MakeAnswer(200, body);
    switch (m_faults.Below(8)) {
      case 0:
        c.Send(answer.substr(0, answer.size() / 2));
        c.Close();
        break;
      case 1:
        c.Close();
        break;
      case 2:  // Hangs.
        break;
      case 3:
        c.Send(Chunked(body));
        break;
      case 4:
        c.Send(MakeAnswer(503, name));
        break;
      default:
        c.Send(answer);
    }
  }

  static std::string Chunked(const std::string& body) {
    char size[16];
    snprintf(size, sizeof(size), "%zx", body.size());
    return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size + "\r\n" +
           body + "\r\n0\r\n\r\n";
  }

  struct Caller {
    std::string name;
    std::unique_ptr<FakeClient> client;
    bool is_leaving = false;
  };

  // Sends keyed orders and lookups, and selects the callers that disconnect early.
  void StartCallers() {
    constexpr int kCallers = 120;
    std::vector<std::string> keys;
    for (int i = 0; i < kCallers / 2; ++i) {
      std::string key = SendAndWait("POST", "/orders/key")->header("Idempotency-Key");
      ASSERT_FALSE(key.empty());
      keys.push_back(KeyHeader(key));
    }
    for (int i = 0; i < kCallers; ++i) {
      Caller caller;
      bool is_order = i % 2 == 0;
      caller.name = (is_order ? "/orders/" : "/pecas/") + std::to_string(i);
      std::string headers = "X-Guavatrail-Deadline-Ms: 400\r\n";
      if (is_order) headers += keys[i / 2];
      caller.client = Send(is_order ? "POST" : "GET", caller.name, headers);
      caller.is_leaving = m_faults.Below(6) == 0;
      m_callers.push_back(std::move(caller));
    }
  }

  void CheckOutcome(const Caller& caller) {
    const FakeClient& client = *caller.client;
    bool is_order = caller.name.starts_with("/orders/");
    int executions = m_executions[caller.name];
    if (is_order) {
      EXPECT_LE(executions, 1) << caller.name;
    }
    if (!client.HasCompleteAnswer()) return;
    if (client.header("X-Guavatrail-Outcome") == "not-run") {
      EXPECT_EQ(executions, 0) << caller.name;
    }
    if (client.header("X-Guavatrail-Outcome") == "answered") {
      EXPECT_TRUE(client.body().starts_with(caller.name)) << client.body().substr(0, 40);
    }
  }

  RandomSource m_faults{GetParam()};
  std::map<std::string, int> m_executions;
  std::vector<Caller> m_callers;
};

TEST_P(CallPathSurvivesRandomFaults, OutcomesAreCorrectAndEverythingIsReleased) {
  for (int i = 0; i < 3; ++i) {
    AddServer([this](FakeConnection& c, const std::string& request) { Serve(c, request); });
  }
  Start();
  StartCallers();
  RunFor(m_loop, std::chrono::milliseconds(10));
  for (Caller& caller : m_callers) {
    if (caller.is_leaving) caller.client->Close();
  }
  for (Caller& caller : m_callers) {
    if (caller.is_leaving) continue;
    ASSERT_TRUE(RunUntil(m_loop, [&] {
      return caller.client->HasCompleteAnswer() || caller.client->closed_by_peer();
    })) << caller.name;
    CheckOutcome(caller);
  }
  bool idle = false;
  m_entry->StartDrain([&] { idle = true; });
  EXPECT_TRUE(RunUntil(m_loop, [&] { return idle; }));
  // Orders on hung servers continue to run. Once the servers close, nothing is left in service.
  for (auto& server : m_servers) {
    for (auto& connection : server->server->connection_list()) connection->Close();
  }
  for (auto& server : m_servers) {
    EXPECT_TRUE(RunUntil(m_loop, [&] {
      return server->proxy->load().in_service == 0 && server->proxy->load().queued == 0;
    }));
  }
  // Requests reported as not run must not have run in the meantime.
  for (Caller& caller : m_callers) {
    if (!caller.is_leaving) CheckOutcome(caller);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CallPathSurvivesRandomFaults, testing::Values(1, 2, 3, 4));

}  // namespace
}  // namespace guavatrail
