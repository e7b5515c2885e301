// Defines EntryFixture, a test fixture with an entry node in front of serving nodes, each with a
// fake backend server, or of fake serving nodes whose answers the test controls.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "entry_proxy.h"
#include "fake_server.h"
#include "serving_proxy.h"
#include "test_loop.h"

namespace guavatrail {

class EntryFixture : public testing::Test {
 protected:
  struct Server {
    std::string name;
    std::unique_ptr<FakeServer> server;
    std::unique_ptr<ServingProxy> proxy;
    FakeServer::Handler handler;
    std::vector<std::string> requests;
  };

  EntryFixture() {
    m_resources = {
        Service{.name = "encomendas"},
        WorkKind{.name = "lookup", .deadline_ms = 5000},
        WorkKind{.name = "order", .deadline_ms = 5000, .idempotent = false},
        WorkKind{
            .name = "note", .deadline_ms = 5000, .idempotent = false, .key = KeyMode::kPerRequest},
        Route{"pecas", "/pecas", "encomendas", "lookup"},
        Route{"orders", "/orders", "encomendas", "order"},
        Route{"notes", "/notes", "encomendas", "note"}};
  }

  ~EntryFixture() override {
    m_entry.reset();
    m_servers.clear();
  }

  Settings MakeSettings(const std::string& name) const {
    Settings settings;
    settings.node.name = name;
    settings.node.service = "encomendas";
    settings.node.data_centre = "braga";
    settings.listen.ip = "127.0.0.1";
    settings.server.ip = "127.0.0.1";
    settings.calls.hedge_budget = m_hedge_budget;
    return settings;
  }

  // Adds a serving node whose backend server runs `handler`.
  Server& AddServer(FakeServer::Handler handler) {
    Server& server = NewServer(std::move(handler));
    Settings settings = MakeSettings(server.name);
    settings.server.port = server.server->port();
    server.proxy =
        std::make_unique<ServingProxy>(m_loop, settings, kIncarnation, m_serving_metrics, m_random);
    EXPECT_TRUE(server.proxy->Listen());
    AddEndpoint(server.name, server.proxy->port());
    return server;
  }

  // Adds a fake serving node that runs `handler`.
  Server& AddFakeNode(FakeServer::Handler handler) {
    Server& server = NewServer(std::move(handler));
    AddEndpoint(server.name, server.server->port());
    return server;
  }

  void AddEndpoint(const std::string& name, uint16_t port) {
    m_endpoints.push_back({.node = name,
                           .incarnation = kIncarnation,
                           .service = "encomendas",
                           .data_centre = "braga",
                           .ip = "127.0.0.1",
                           .peer_port = port,
                           .slots = 9});
  }

  void Start() {
    auto table = ConfigTable::FromResources(1, m_resources);
    ASSERT_TRUE(table) << table.error().message;
    m_table = std::make_shared<const ConfigTable>(*table);
    PublishEndpoints();
    MeshView view{[this] { return m_table; }, [this] { return m_endpoint_list; }};
    m_entry = std::make_unique<EntryProxy>(m_loop, MakeSettings("entry-1"), view, m_metrics,
                                           m_random, [this](const CallRecord& r) {
                                             m_outcomes.push_back(r.outcome);
                                             m_body_bytes += r.body_bytes;
                                           });
    ASSERT_TRUE(m_entry->Listen());
  }

  void PublishEndpoints() { m_endpoint_list = std::make_shared<const EndpointList>(m_endpoints); }

  std::unique_ptr<FakeClient> Send(const std::string& method, const std::string& path,
                                   const std::string& headers = "", const std::string& body = "") {
    auto client = std::make_unique<FakeClient>(m_loop, m_entry->port());
    client->Send(MakeRequest(method, path, headers, body));
    return client;
  }

  std::unique_ptr<FakeClient> SendAndWait(const std::string& method, const std::string& path,
                                          const std::string& headers = "") {
    auto client = Send(method, path, headers);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
    return client;
  }

  static std::string KeyHeader(const std::string& key) {
    return "Idempotency-Key: " + key + "\r\n";
  }
  // Formats the answer of a fake serving node to `request`.
  static std::string NodeAnswer(const std::string& request, int status, const std::string& outcome,
                                const std::string& body = "", const std::string& headers = "") {
    return MakeAnswer(status, body,
                      "X-Guavatrail-Request-Id: " + HeaderIn(request, "X-Guavatrail-Request-Id") +
                          "\r\nX-Guavatrail-Outcome: " + outcome + "\r\n" + headers);
  }
  static int CountRequests(const Server& server, const std::string& start) {
    return static_cast<int>(
        std::count_if(server.requests.begin(), server.requests.end(),
                      [&](const std::string& request) { return request.starts_with(start); }));
  }

  static constexpr uint64_t kIncarnation = 1'700'000'000'000;
  EventLoop m_loop;
  Metrics m_metrics;
  Metrics m_serving_metrics;
  RandomSource m_random{7};
  double m_hedge_budget = 0;
  std::vector<Resource> m_resources;
  std::vector<Endpoint> m_endpoints;
  std::shared_ptr<const ConfigTable> m_table;
  std::shared_ptr<const EndpointList> m_endpoint_list;
  std::vector<CallOutcome> m_outcomes;
  uint64_t m_body_bytes = 0;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::unique_ptr<EntryProxy> m_entry;

 private:
  Server& NewServer(FakeServer::Handler handler) {
    m_servers.push_back(std::make_unique<Server>());
    Server& server = *m_servers.back();
    server.name = "encomendas-" + std::to_string(m_servers.size());
    server.handler = std::move(handler);
    server.server = std::make_unique<FakeServer>(
        m_loop, [&server](FakeConnection& c, const std::string& request) {
          server.requests.push_back(request);
          server.handler(c, request);
        });
    return server;
  }
};

}  // namespace guavatrail
