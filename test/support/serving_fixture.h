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
      : m_server(m_loop, [this](FakeConnection& c, const std::string& request) {
          m_running.push_back({&c, request});
          if (m_answers_immediately) AnswerNext();
        }) {}

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

}  // namespace guavatrail
