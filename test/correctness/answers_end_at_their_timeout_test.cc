// Guards against callers that wait for the rest of an answer beyond the timeout of their work kind,
// and against answers that are cut off although they are within it.
#include <functional>

#include "entry_fixture.h"

namespace guavatrail {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kTimeoutMs = 400;
// A request that lasts longer than its timeout must have ended by then.
constexpr int64_t kMaxDelayMs = 500;
constexpr milliseconds kDripInterval{50};

const std::string kLengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class AnswersEndAtTheirTimeout : public EntryFixture {
 protected:
  AnswersEndAtTheirTimeout() {
    for (Resource& resource : m_resources) {
      if (auto* kind = std::get_if<WorkKind>(&resource)) kind->deadline_ms = kTimeoutMs;
    }
  }

  // Sends `start` as the answer, and then `part` again and again until the node has closed the
  // connection. Without `part` the server falls silent.
  FakeServer::Handler AnswerWith(const std::string& start, const std::string& part = "") {
    return [this, start, part](FakeConnection& c, const std::string&) {
      c.Send(start);
      if (!part.empty()) Drip(m_servers[0]->server.get(), c.number(), part);
    };
  }

  void Drip(FakeServer* server, int number, const std::string& part) {
    m_timers.push_back(std::make_unique<Timer>(m_loop, [this, server, number, part] {
      FakeConnection* connection = server->Find(number);
      if (connection == nullptr || connection->peer_closed()) return;
      connection->Send(part);
      Drip(server, number, part);
    }));
    m_timers.back()->Start(kDripInterval);
  }

  void After(milliseconds delay, std::function<void()> action) {
    m_timers.push_back(std::make_unique<Timer>(m_loop, std::move(action)));
    m_timers.back()->Start(delay);
  }

  // Checks that the answer to a request ends incomplete, at its timeout and not before, and that
  // the server is rid of the request then.
  void ExpectCutOff(const std::string& method, const std::string& path,
                    const std::string& reason = "answer_timeout") {
    int64_t start_us = EventLoop::NowUs();
    auto client = Send(method, path);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
    int64_t waited_ms = (EventLoop::NowUs() - start_us) / 1000;
    EXPECT_GE(waited_ms, kTimeoutMs);
    EXPECT_LE(waited_ms, kTimeoutMs + kMaxDelayMs);
    EXPECT_EQ(client->status(), 200);
    EXPECT_FALSE(client->HasCompleteAnswer());
    EXPECT_EQ(m_outcomes.back(), CallOutcome::kIncomplete);
    EXPECT_EQ(TimedOut(m_metrics, "answers_timed_out_total", reason), 1);
  }

  void ExpectSlotIsFreed(Server& server) {
    EXPECT_TRUE(RunUntil(m_loop, [&] { return server.proxy->load().in_service == 0; }));
    EXPECT_TRUE(RunUntil(m_loop, [&] { return server.server->last_connection().peer_closed(); }));
  }

  static int TimedOut(Metrics& metrics, const std::string& name, const std::string& reason) {
    return static_cast<int>(metrics.GetCounter(name, "reason=\"" + reason + "\"").value());
  }

  std::vector<std::unique_ptr<Timer>> m_timers;
};

TEST_F(AnswersEndAtTheirTimeout, ServerFallsSilentAfterTheHead) {
  Server& server = AddServer(AnswerWith(kLengthHead));
  Start();
  ExpectCutOff("GET", "/pecas/1");
  ExpectSlotIsFreed(server);
}

TEST_F(AnswersEndAtTheirTimeout, ServerFallsSilentInABodyWithALength) {
  Server& server = AddServer(AnswerWith(kLengthHead + "part"));
  Start();
  ExpectCutOff("GET", "/pecas/1");
  ExpectSlotIsFreed(server);
  EXPECT_EQ(TimedOut(m_serving_metrics, "serving_answers_timed_out_total", "answer_timeout"), 1);
}

TEST_F(AnswersEndAtTheirTimeout, ServerFallsSilentInAChunkedBody) {
  Server& server = AddServer(AnswerWith(kChunkedHead + "4\r\npart\r\n"));
  Start();
  ExpectCutOff("GET", "/pecas/1");
  ExpectSlotIsFreed(server);
}

TEST_F(AnswersEndAtTheirTimeout, ServerSendsABodyWithALengthTooSlowly) {
  Server& server = AddServer(AnswerWith(kLengthHead, "x"));
  Start();
  ExpectCutOff("GET", "/pecas/1");
  ExpectSlotIsFreed(server);
}

TEST_F(AnswersEndAtTheirTimeout, ServerSendsAChunkedBodyWithoutEnd) {
  Server& server = AddServer(AnswerWith(kChunkedHead, "1\r\nx\r\n"));
  Start();
  ExpectCutOff("GET", "/pecas/1");
  ExpectSlotIsFreed(server);
}

TEST_F(AnswersEndAtTheirTimeout, ServerFallsSilentInTheAnswerToAnOrder) {
  Server& server = AddServer(AnswerWith(kLengthHead + "part"));
  Start();
  ExpectCutOff("POST", "/notes/1");
  ExpectSlotIsFreed(server);
  EXPECT_EQ(server.requests.size(), 1U);
}

// The end of an HTTP/1.0 answer without a length is the end of its connection, so the connection
// must be reset.
TEST_F(AnswersEndAtTheirTimeout, CallerOfHttp10SeesThatTheAnswerIsCutOff) {
  AddServer(AnswerWith(kChunkedHead + "4\r\npart\r\n"));
  Start();
  FakeClient client(m_loop, m_entry->port());
  client.Send("GET /pecas/1 HTTP/1.0\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.closed_by_peer(); }));
  EXPECT_TRUE(client.was_reset());
}

// The caller of a keyed order is not kept waiting either, but the order runs on, so that a repeat
// of its key gets the answer.
TEST_F(AnswersEndAtTheirTimeout, KeyedOrderRunsOnWithoutItsCaller) {
  Server& server = AddServer([this](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    After(milliseconds(2 * kTimeoutMs), [&c] { c.Send("part"); });
  });
  Start();
  std::string key = SendAndWait("POST", "/orders/1")->header("Idempotency-Key");
  auto client = Send("POST", "/orders/1", KeyHeader(key));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_FALSE(client->HasCompleteAnswer());
  EXPECT_EQ(server.proxy->load().in_service, 1);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return server.proxy->load().in_service == 0; }));
  EXPECT_EQ(SendAndWait("POST", "/orders/1", KeyHeader(key))->body(), "partpart");
  EXPECT_EQ(server.requests.size(), 1U);
}

// The time counts from the arrival of the request, not from the start of the attempt.
TEST_F(AnswersEndAtTheirTimeout, RetryThatBeginsLateEndsAtTheSameTime) {
  int requests = 0;
  auto handler = [&](FakeConnection& c, const std::string&) {
    if (requests++ == 0) {
      After(milliseconds(kTimeoutMs / 2), [&c] { c.Close(); });
    } else {
      c.Send(kLengthHead + "part");
    }
  };
  AddServer(handler);
  AddServer(handler);
  Start();
  ExpectCutOff("GET", "/pecas/1");
  EXPECT_GE(requests, 2);
}

// A configuration applies to the requests that arrive after it.
TEST_F(AnswersEndAtTheirTimeout, NewTimeoutDoesNotChangeRunningAnswers) {
  AddServer(AnswerWith(kLengthHead + "part"));
  Start();
  After(milliseconds(kTimeoutMs / 2), [this] {
    for (Resource& resource : m_resources) {
      if (auto* kind = std::get_if<WorkKind>(&resource)) kind->deadline_ms = 10 * kTimeoutMs;
    }
    m_table = std::make_shared<const ConfigTable>(*ConfigTable::FromResources(2, m_resources));
  });
  ExpectCutOff("GET", "/pecas/1");
}

// A server that is silent for most of the time is no reason to end an answer.
TEST_F(AnswersEndAtTheirTimeout, AnswerWithinTheTimeoutIsWhole) {
  AddServer([this](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    After(milliseconds(kTimeoutMs * 3 / 4), [&c] { c.Send("part"); });
  });
  Start();
  EXPECT_EQ(SendAndWait("GET", "/pecas/1")->body(), "partpart");
}

// The deadline of the caller bounds the time to the head. A caller that still waits then gets its
// answer.
TEST_F(AnswersEndAtTheirTimeout, DeadlineOfTheCallerDoesNotCutOffItsAnswer) {
  AddServer([this](FakeConnection& c, const std::string&) {
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    After(milliseconds(kTimeoutMs / 2), [&c] { c.Send("part"); });
  });
  Start();
  std::string deadline = "X-Guavatrail-Deadline-Ms: " + std::to_string(kTimeoutMs / 4) + "\r\n";
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", deadline)->body(), "partpart");
}

// A server keeps its slot as long as it sends, and a caller that does not read holds up the server.
TEST_F(AnswersEndAtTheirTimeout, CallerThatDoesNotReadFreesTheSlot) {
  constexpr size_t kLargeBytes = 64'000'000;
  Server& server = AddServer([](FakeConnection& c, const std::string&) {
    c.Send(MakeAnswer(200, std::string(kLargeBytes, 'x')));
  });
  Start();
  FakeClient client(m_loop, m_entry->port());
  client.PauseReading();
  client.Send(MakeRequest("GET", "/pecas/1", "", ""));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return server.proxy->load().in_service == 1; }));
  ExpectSlotIsFreed(server);
  EXPECT_EQ(TimedOut(m_metrics, "answers_timed_out_total", "caller_slow"), 1);
  EXPECT_EQ(TimedOut(m_serving_metrics, "serving_answers_timed_out_total", "caller_slow"), 1);
}

// An answer that the node has received completely is delivered, however slowly it is read.
TEST_F(AnswersEndAtTheirTimeout, CompleteAnswerIsDeliveredToASlowCaller) {
  const std::string body(100'000, 'x');
  AddServer([&](FakeConnection& c, const std::string&) { c.Send(MakeAnswer(200, body)); });
  Start();
  FakeClient client(m_loop, m_entry->port());
  client.PauseReading();
  client.Send(MakeRequest("GET", "/pecas/1", "", ""));
  RunFor(m_loop, milliseconds(2 * kTimeoutMs));
  client.ResumeReading();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
  EXPECT_EQ(client.body(), body);
}

}  // namespace
}  // namespace guavatrail
