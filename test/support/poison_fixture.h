// Defines PoisonFixture, a mesh whose backend servers crash when they run certain requests (poison
// requests), and start again soon.
#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "mesh_fixture.h"

namespace guavatrail {

class PoisonFixture : public MeshFixture {
 protected:
  using milliseconds = std::chrono::milliseconds;

  static constexpr size_t kNodes = 5;
  static constexpr size_t kCrashesToQuarantine = 3;
  static constexpr milliseconds kTimeToCrash{10};
  static constexpr milliseconds kTimeToRestart{200};
  static constexpr char kPoisonPath[] = "/parts/poison";
  static constexpr char kPopularPath[] = "/parts/popular";
  // Crashes servers with one query only.
  static constexpr char kSearchPath[] = "/parts/search";
  static constexpr char kPoisonSearch[] = "/parts/search?q=bad";

  // A VM whose server crashes when it runs the poison request, and starts again.
  struct Fragile {
    Vm* vm = nullptr;
    int lifetime = 1;
    size_t poison_runs = 0;
    std::unique_ptr<Timer> crash_timer;
    std::unique_ptr<Timer> restart_timer;
    std::unique_ptr<FakeClient> heartbeat;
  };

  void SetUp() override {
    PutConfig(1, "shop");
    for (size_t i = 0; i < kNodes; ++i) AddFragile();
    for (Fragile& server : m_servers) ASSERT_TRUE(CallUntil(*server.vm, "/parts/1", kHttpOk));
    // Each node knows all others.
    RunFor(m_loop, milliseconds(1'000));
  }

  void AddFragile() {
    Fragile& server = m_servers.emplace_back();
    server.vm = &AddVm("shop");
    server.vm->handler = [this, &server](FakeConnection& c, const std::string& request) {
      OnRequest(server, c, request);
    };
    server.crash_timer = std::make_unique<Timer>(m_loop, [this, &server] { Crash(server); });
    server.restart_timer = std::make_unique<Timer>(m_loop, [this, &server] { Restart(server); });
    SendHeartbeat(*server.vm, IdOf(server), "ready", server.lifetime);
  }

  void OnRequest(Fragile& server, FakeConnection& c, const std::string& request) {
    if (request.starts_with(std::string("GET ") + kPoisonPath) ||
        request.starts_with(std::string("GET ") + kPoisonSearch)) {
      ++server.poison_runs;
      server.crash_timer->Start(kTimeToCrash);
    } else if (!server.crash_timer->IsPending()) {
      // A server that is about to crash does not answer.
      c.Send(ServerAnswer(request, "done"));
    }
  }

  void Crash(Fragile& server) {
    ++m_crashes;
    m_crashed.push_back(&server);
    server.vm->server->Crash();
    server.restart_timer->Start(kTimeToRestart);
  }

  void Restart(Fragile& server) {
    server.vm->server->Restart();
    ++server.lifetime;
    nlohmann::json body = {{"service", "shop"},
                           {"address", "127.0.0.1:" + std::to_string(server.vm->server->port())},
                           {"zone", "braga"},
                           {"version", ""},
                           {"slots", 9},
                           {"cold-left-s", 0},
                           {"state", "ready"},
                           {"seq", ++server.vm->sequence},
                           {"born", server.lifetime}};
    server.heartbeat = Send(server.vm->settings.listen.control_port, "PUT",
                            "/guavatrail/instances/" + IdOf(server), "", body.dump());
  }

  static std::string IdOf(const Fragile& server) { return "i-" + server.vm->settings.node.name; }

  size_t PoisonRuns() const {
    size_t runs = 0;
    for (const Fragile& server : m_servers) runs += server.poison_runs;
    return runs;
  }

  std::unique_ptr<FakeClient> CallPoison(Fragile& entry) {
    return Call(*entry.vm, kPoisonPath, "poison-" + std::to_string(++m_calls));
  }

  // Sends the poison request at one entry node after another until `crashes` servers have crashed.
  void CrashServers(size_t crashes) {
    for (size_t i = 0; m_crashes < crashes && i < 100; ++i) {
      CallPoison(m_servers[i % kNodes]);
      RunFor(m_loop, milliseconds(20));
    }
    ASSERT_GE(m_crashes, crashes);
    // All servers are back.
    RunFor(m_loop, 2 * kTimeToRestart);
  }

  std::deque<Fragile> m_servers;
  size_t m_crashes = 0;
  std::vector<Fragile*> m_crashed;  // In order.
  int m_calls = 0;
};

}  // namespace guavatrail
