// Checks that an endless head or body sent by a peer does not exhaust memory, delay a request
// beyond its deadline, pass for a complete answer, or slow down other requests.
#include <gtest/gtest.h>
#include <malloc.h>

#include <list>

#include "serving_fixture.h"

namespace guavatrail {
namespace {

constexpr std::chrono::milliseconds kPumpPause{1};
constexpr size_t kPumpBytes = 65'536;
constexpr size_t kMaxGrowthBytes = 32'000'000;
// What the node and the fake server may hold of one answer, of which many megabytes are sent.
constexpr size_t kMaxKeptBytes = 2'000'000;

std::string Repeated(const std::string& part) {
  std::string text;
  while (text.size() < kPumpBytes) text += part;
  return text;
}

// Bytes that a peer sends: `start` once, then `part` repeatedly.
struct Endless {
  std::string name;
  std::string start;
  std::string part;
};

std::vector<Endless> Heads() {
  return {{"head_line", "HTTP/1.1 200 ", Repeated("O")},
          {"header_lines", "HTTP/1.1 200 OK\r\n", Repeated("X-More: yes\r\n")},
          {"header_value", "HTTP/1.1 200 OK\r\nX-More: ", Repeated("y")},
          {"interim_answers", "", Repeated("HTTP/1.1 102 Processing\r\n\r\n")},
          {"line_ends", "", Repeated("\r\n")},
          {"no_http", "", Repeated("?")}};
}

std::vector<Endless> Bodies() {
  std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {{"chunks", chunked, Repeated("400\r\n" + std::string(0x400, 'x') + "\r\n")},
          {"chunk_extension", chunked + "4;a=", Repeated("b")},
          {"trailers", chunked + "0\r\n", Repeated("X-More: yes\r\n")},
          {"refusal_body", "HTTP/1.1 421 Misdirected\r\nTransfer-Encoding: chunked\r\n\r\n",
           Repeated("400\r\n" + std::string(0x400, 'x') + "\r\n")}};
}

class UnboundedInput : public ServingFixture {
 protected:
  // Sends `endless` on `connection` until the peer closes it.
  void Pump(FakeConnection& connection, const Endless& endless) {
    connection.Send(endless.start);
    int number = connection.number();
    m_pumps.push_back(std::make_unique<Timer>(m_loop, [] {}));
    PumpOn(m_pumps.size() - 1, number, endless.part);
  }

  void PumpOn(size_t index, int number, const std::string& part) {
    m_pumps[index] = std::make_unique<Timer>(m_loop, [this, index, number, part] {
      FakeConnection* connection = m_server.Find(number);
      if (connection == nullptr || connection->peer_closed()) return;
      if (connection->unsent_bytes() < kPumpBytes) connection->Send(part);
      m_deferred.Post([this, index, number, part] { PumpOn(index, number, part); });
    });
    m_pumps[index]->Start(kPumpPause);
  }

  // The connection on which the server received request `id`; null if it has not. Other requests in
  // m_running may be resends of requests whose answers were aborted.
  FakeConnection* FindRunning(const std::string& id) {
    for (const Running& running : m_running) {
      if (running.request.find(": " + id + "\r\n") != std::string::npos) return running.connection;
    }
    return nullptr;
  }

  bool AllClosed() {
    for (const auto& connection : m_server.connection_list()) {
      if (!connection->peer_closed()) return false;
    }
    return true;
  }

  std::vector<std::unique_ptr<Timer>> m_pumps;
  DeferredQueue m_deferred{m_loop};
};

TEST_F(UnboundedInput, EndlessAnswerHeadGivesAnUnknownOutcome) {
  Start();
  for (const Endless& endless : Heads()) {
    m_running.clear();
    auto client = Send("GET", "/", Lookup("1", 400));
    ASSERT_TRUE(WaitForRunning(1)) << endless.name;
    Pump(*m_running[0].connection, endless);
    ASSERT_TRUE(RunUntil(
        m_loop, [&] { return client->HasCompleteAnswer(); }, std::chrono::milliseconds(1'000)))
        << endless.name;
    EXPECT_GE(client->status(), 500) << endless.name;
    EXPECT_EQ(client->header("X-Guavatrail-Outcome"), "unknown") << endless.name;
    EXPECT_TRUE(RunUntil(m_loop, [&] { return AllClosed(); })) << endless.name;
  }
}

TEST_F(UnboundedInput, EndlessAnswerBodyNeverCompletes) {
  Start();
  for (const Endless& endless : Bodies()) {
    if (endless.name == "refusal_body") continue;
    m_running.clear();
    auto client = Send("GET", "/", Lookup("1", 300));
    ASSERT_TRUE(WaitForRunning(1)) << endless.name;
    Pump(*m_running[0].connection, endless);
    // The timeout of the answer, and some time to process what has arrived.
    EXPECT_TRUE(RunUntil(
        m_loop, [&] { return client->closed_by_peer(); }, std::chrono::milliseconds(1'500)))
        << endless.name;
    EXPECT_FALSE(client->HasCompleteAnswer() && client->status() == 200) << endless.name;
    EXPECT_TRUE(RunUntil(m_loop, [&] { return AllClosed(); })) << endless.name;
  }
}

TEST_F(UnboundedInput, TenEndlessServersDoNotExhaustMemoryOrDelayOthers) {
  m_slots = 12;
  Start();
  std::vector<Endless> all = Heads();
  for (const Endless& endless : Bodies()) all.push_back(endless);
  size_t before = mallinfo2().uordblks;
  std::list<std::unique_ptr<FakeClient>> clients;
  for (size_t i = 0; i < all.size(); ++i) {
    clients.push_back(Send("GET", "/", Lookup(std::to_string(i), 1'500)));
    // An entry node that does not read keeps the answer in the serving node.
    clients.back()->PauseReading();
    ASSERT_TRUE(WaitForRunning(i + 1));
    Pump(*m_running[i].connection, all[i]);
  }
  int answered = 0;
  size_t peak = 0;
  for (int i = 0; i < 40; ++i) {
    std::string id = "other-" + std::to_string(i);
    auto client = Send("GET", "/", Lookup(id));
    ASSERT_TRUE(RunUntil(m_loop, [&] { return FindRunning(id) != nullptr; }));
    FindRunning(id)->Send(MakeAnswer(200, "done"));
    answered +=
        RunUntil(
            m_loop, [&] { return client->HasCompleteAnswer(); }, std::chrono::milliseconds(100))
            ? 1
            : 0;
    peak = std::max<size_t>(peak, mallinfo2().uordblks);
  }
  EXPECT_EQ(answered, 40);
  EXPECT_LT(peak - std::min(peak, before), kMaxGrowthBytes);
}

// The answer to a keyed order is kept for repeats of its key, also when its caller has left.
TEST_F(UnboundedInput, EndlessAnswerToAKeyedOrderIsNotKept) {
  Start();
  std::string chunks = Repeated("400\r\n" + std::string(0x400, 'x') + "\r\n");
  Endless endless{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks};
  auto client = Send("POST", "/orders", Order(IssueKey(), 300));
  ASSERT_TRUE(WaitForRunning(1));
  size_t before = mallinfo2().uordblks;
  Pump(*m_running[0].connection, endless);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return client->closed_by_peer(); }));
  EXPECT_FALSE(client->HasCompleteAnswer());
  client.reset();
  RunFor(m_loop, std::chrono::milliseconds(500));
  size_t after = mallinfo2().uordblks;
  EXPECT_LT(after - std::min(after, before), kMaxKeptBytes);
}

// A caller that sends an endless head or body is refused or disconnected.
TEST_F(UnboundedInput, EndlessRequestsAreRefused) {
  Start();
  std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
  std::vector<Endless> requests = {
      {"header_lines", start, Repeated("X-More: yes\r\n")},
      {"line_ends", "", Repeated("\r\n")},
      {"chunks", start + "Transfer-Encoding: chunked\r\n\r\n",
       Repeated("400\r\n" + std::string(0x400, 'x') + "\r\n")},
      {"chunk_extension", start + "Transfer-Encoding: chunked\r\n\r\n4;a=", Repeated("b")},
      {"trailers", start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated("X-More: yes\r\n")}};
  // If the input buffer cannot hold the head that the reader waits for, the loop spins until the
  // read timeout and serves no other request.
  int64_t end_us = EventLoop::NowUs() + 10'000'000;
  for (const Endless& endless : requests) {
    FakeClient client(m_loop, m_proxy->port());
    client.Send(endless.start);
    bool is_over = false;
    for (int i = 0; i < 400 && !is_over; ++i) {
      client.Send(endless.part);
      RunFor(m_loop, std::chrono::milliseconds(3));
      is_over = client.closed_by_peer() || client.status() >= 400;
    }
    EXPECT_TRUE(is_over) << endless.name;
    EXPECT_TRUE(m_running.empty()) << endless.name;
    EXPECT_LT(EventLoop::NowUs(), end_us) << endless.name;
  }
}

}  // namespace
}  // namespace guavatrail
