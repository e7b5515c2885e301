// Defines ServingFixture, a test fixture with a serving node, its fake backend server, and helpers
// that build the requests of an entry node.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_server.h"
#include "serving_proxy.h"
#include "test_loop.h"

namespace guavatrail {

class ServingFixture : public testing::Test {
 protected:
  static constexpr uint64_t kIncarnation = 1'700'000'000'000;

  ServingFixture()
      : m_server(
            m_loop,
            [this](FakeConnection& c, const std::string& request) {
              m_running.push_back({&c, request});
              if (m_answers_immediately) AnswerNext();
            },
            FreeFixedPort()) {}

  Settings MakeSettings() const {
    Settings settings;
    settings.node.name = "encomendas-1";
    settings.listen.ip = "127.0.0.1";
    settings.server.ip = "127.0.0.1";
    settings.server.port = m_server_port != 0 ? m_server_port : m_server.port();
    settings.server.slots = m_slots;
    settings.server.reserved_short_slots = 0;
    return settings;
  }

  void Start(uint64_t incarnation = kIncarnation) {
    m_proxy =
        std::make_unique<ServingProxy>(m_loop, MakeSettings(), incarnation, m_metrics, m_random);
    ASSERT_TRUE(m_proxy->Listen());
  }

  // Sends a request and returns its connection without waiting for the answer.
  std::unique_ptr<FakeClient> Send(const std::string& method, const std::string& path,
                                   const std::string& headers = "", const std::string& body = "") {
    auto client = std::make_unique<FakeClient>(m_loop, m_proxy->port());
    client->Send(MakeRequest(method, path, headers, body));
    return client;
  }

  // Sends a request and waits for the complete answer.
  std::unique_ptr<FakeClient> SendAndWait(const std::string& method, const std::string& path,
                                          const std::string& headers = "") {
    auto client = Send(method, path, headers);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
    return client;
  }

  static std::string Lookup(const std::string& id, int deadline_ms = 5000) {
    return "X-Guavatrail-Work: lookup;importance=1;short;repeatable\r\nX-Guavatrail-Request-Id: " +
           id + "\r\nX-Guavatrail-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }

  static std::string Order(const std::string& key, int deadline_ms = 5000) {
    return "X-Guavatrail-Work: order;importance=3;short;keyed\r\nIdempotency-Key: " + key +
           "\r\nX-Guavatrail-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }

  std::string IssueKey() {
    std::string key = SendAndWait("POST", "/guavatrail/v1/order-key")->header("Idempotency-Key");
    EXPECT_FALSE(key.empty());
    return key;
  }

  bool WaitForRunning(size_t count) {
    return RunUntil(m_loop, [&] { return m_running.size() >= count; });
  }

  // Answers the oldest request in m_running.
  void AnswerNext(const std::string& body = "done") {
    ASSERT_FALSE(m_running.empty());
    FakeConnection* connection = m_running.front().connection;
    m_running.erase(m_running.begin());
    connection->Send(MakeAnswer(200, body));
  }

  struct Running {
    FakeConnection* connection;
    std::string request;
  };

  EventLoop m_loop;
  Metrics m_metrics;
  RandomSource m_random{1};
  int m_slots = 9;
  uint16_t m_server_port = 0;  // Overrides the port of m_server; 0: no override.
  bool m_answers_immediately = false;
  std::vector<Running> m_running;  // Requests without an answer, in order of arrival.
  FakeServer m_server;
  std::unique_ptr<ServingProxy> m_proxy;
};

// A serving node with the checks of answers that the users' platform needs: servers name the
// request and themselves, and mark what they have not run.
class GuardedServingFixture : public ServingFixture {
 protected:
  void StartGuarded() {
    ExternalProtocol protocol;
    protocol.request_id_header = "X-Id";
    protocol.expected_server_header = "X-Expected";
    protocol.not_run_header = "X-Refused";
    protocol.exposes_node_headers = false;
    protocol.retries_after_close = false;
    protocol.allows_close_delimited_answers = m_allows_close_delimited_answers;
    Settings settings = MakeSettings();
    settings.node.service = "encomendas";
    m_proxy = std::make_unique<ServingProxy>(m_loop, settings, kIncarnation, m_metrics, m_random,
                                             protocol);
    m_proxy->SetServerObserver(
        {.on_wrong_server = [this](const std::string& id) { m_wrong_server = id; },
         .on_unreachable = [this](const std::string& id) { m_unreachable = id; }});
    ASSERT_TRUE(m_proxy->Listen());
    m_proxy->OpenGate({.id = "server-1"}, m_slots);
  }

  static std::string Repeatable(const std::string& id) {
    return Lookup("t-" + id) + "X-Id: " + id + "\r\n";
  }

  // Answers the first running request.
  void AnswerWith(const std::string& bytes) {
    FakeConnection* connection = m_running.front().connection;
    m_running.erase(m_running.begin());
    connection->Send(bytes);
  }

  bool m_allows_close_delimited_answers = false;
  std::string m_wrong_server;
  std::string m_unreachable;
};

}  // namespace guavatrail
