// Defines MeshFixture, a test fixture with mesh nodes that share a fake store, each with a fake
// backend server that reports to it.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fake_server.h"
#include "fake_store.h"
#include "mesh_node.h"
#include "test_loop.h"

namespace guavatrail {

class MeshFixture : public testing::Test {
 protected:
  struct Vm {
    Settings settings;
    std::unique_ptr<FakeServer> server;
    std::unique_ptr<platform::MeshNode> node;
    std::vector<std::string> requests;  // Received by the server.
    FakeServer::Handler handler;
    uint64_t sequence = 0;
    std::string server_id;  // In the last heartbeat.
    std::string version;    // In heartbeats.
    // Answers health checks; null: as a server that is in service.
    FakeServer::Handler health_handler;
  };

  // Formats the answer of a backend server to `request`.
  static std::string ServerAnswer(const std::string& request, const std::string& body) {
    return MakeAnswer(
        200, body,
        "X-Request-Id: " + HeaderIn(request, "X-Request-Id") + "\r\nX-Response-Stamp: stamp\r\n");
  }

  static void AnswerHealthCheck(Vm& vm, FakeConnection& c, const std::string& request) {
    if (vm.health_handler) {
      vm.health_handler(c, request);
    } else {
      c.Send(HealthAnswer(200, vm.server_id));
    }
  }

  // Formats the answer of the server `id` to a health check.
  static std::string HealthAnswer(int status, const std::string& id,
                                  const std::string& headers = "") {
    return MakeAnswer(status, "", "X-Instance-Id: " + id + "\r\n" + headers);
  }

  Vm& AddVm(const std::string& service) {
    m_vms.push_back(std::make_unique<Vm>());
    Vm& vm = *m_vms.back();
    vm.handler = [](FakeConnection& c, const std::string& request) {
      c.Send(ServerAnswer(request, "done"));
    };
    vm.server = std::make_unique<FakeServer>(
        m_loop,
        [&vm](FakeConnection& c, const std::string& request) {
          if (request.starts_with("GET /healthz ")) {
            AnswerHealthCheck(vm, c, request);
            return;
          }
          vm.requests.push_back(request);
          vm.handler(c, request);
        },
        FreeFixedPort());
    Settings& settings = vm.settings;
    settings.node = {"node-" + std::to_string(m_vms.size()), service, "norte", "braga"};
    settings.listen.ip = "127.0.0.1";
    settings.listen.caller_port = FreeFixedPort();
    // A restarted node has the same port.
    settings.listen.peer_port = FreeFixedPort();
    settings.listen.control_port = FreeFixedPort();
    settings.listen.ready_port = FreeFixedPort();
    settings.listen.admin_port = FreeFixedPort();
    settings.server.ip = "127.0.0.1";
    settings.server.port = vm.server->port();
    settings.server.reserved_short_slots = 0;
    settings.platform.ip = "127.0.0.1";
    settings.platform.port = m_store.port();
    settings.platform.timeout_ms = 300;
    settings.calls.hedge_budget = 0;
    settings.lifecycle.grace_s = 6;
    settings.calls.rollouts = m_has_rollouts;
    StartNode(vm);
    return vm;
  }

  void StartNode(Vm& vm) {
    vm.node = std::make_unique<platform::MeshNode>(m_loop, vm.settings);
    auto started = vm.node->Start();
    ASSERT_TRUE(started) << started.error().message;
  }

  void PutConfig(uint64_t version, const std::string& service, double timeout_s = 2) {
    m_store.Put(
        "config", "main",
        {{"version", version},
         {"listeners",
          {{{"authority", "shop.example"},
            {"ruleset",
             {{{"name", "r-lookup"},
               {"route-kind", "idempotent"},
               {"goal-s", 0.5},
               {"priority", 1},
               {"match", {{"path-prefix", "/parts/"}}},
               {"action", {{"service", service}, {"timeout-s", timeout_s}, {"attempts", 2}}}},
              {{"name", "r-order"},
               {"route-kind", "non_idempotent"},
               {"goal-s", 0.5},
               {"priority", 0},
               {"match", {{"path-prefix", "/orders/"}}},
               {"action", {{"service", service}, {"timeout-s", timeout_s}, {"attempts", 2}}}}}}}}},
         {"clusters", {{{"name", service}, {"health-path", "/healthz"}}}}});
  }

  // Sends the heartbeat of a backend server to its node. Returns the status of the answer.
  int SendHeartbeat(Vm& vm, const std::string& id, const std::string& state = "ready",
                    int64_t born = 1000) {
    vm.server_id = id;
    nlohmann::json body = {{"service", vm.settings.node.service},
                           {"address", "127.0.0.1:" + std::to_string(vm.server->port())},
                           {"zone", "braga"},
                           {"version", vm.version},
                           {"slots", 9},
                           {"state", state},
                           {"cold-left-s", 0},
                           {"seq", ++vm.sequence},
                           {"born", born}};
    return SendAndWait(vm.settings.listen.control_port, "PUT", "/guavatrail/instances/" + id, "",
                       body.dump())
        ->status();
  }

  int Deregister(Vm& vm, const std::string& id) {
    return SendAndWait(vm.settings.listen.control_port, "DELETE", "/guavatrail/instances/" + id)
        ->status();
  }

  bool IsReady(Vm& vm) {
    return SendAndWait(vm.settings.listen.ready_port, "GET", "/guavatrail/readyz")->status() == 200;
  }

  std::unique_ptr<FakeClient> Send(int64_t port, const std::string& method, const std::string& path,
                                   const std::string& headers = "", const std::string& body = "") {
    auto client = std::make_unique<FakeClient>(m_loop, static_cast<uint16_t>(port));
    std::string length =
        body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    client->Send(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + headers + length +
                 "\r\n" + body);
    return client;
  }

  std::unique_ptr<FakeClient> SendAndWait(int64_t port, const std::string& method,
                                          const std::string& path, const std::string& headers = "",
                                          const std::string& body = "") {
    auto client = Send(port, method, path, headers, body);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client->HasCompleteAnswer(); }));
    return client;
  }

  std::unique_ptr<FakeClient> Call(Vm& entry, const std::string& path, const std::string& id) {
    return SendAndWait(entry.settings.listen.caller_port, "GET", path, CallHeaders(id));
  }

  static std::string CallHeaders(const std::string& id) {
    return "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n";
  }

  // Repeats a call until the answer has `status`. Returns whether it did.
  bool CallUntil(Vm& entry, const std::string& path, int status) {
    for (int i = 0; i < 200; ++i) {
      if (Call(entry, path, "until-" + std::to_string(i))->status() == status) return true;
      RunFor(m_loop, std::chrono::milliseconds(20));
    }
    return false;
  }

  EventLoop m_loop;
  FakeStore m_store{m_loop};
  std::vector<std::unique_ptr<Vm>> m_vms;
  bool m_has_rollouts = false;  // Of nodes added from now on.
};

}  // namespace guavatrail
