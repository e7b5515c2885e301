// Defines RolloutFixture, a test fixture with an entry node, and nodes of the service "catalogo"
// with servers of an old and a new version, to which the test sends calls at a steady rate.
#pragma once

#include <algorithm>
#include <list>

#include "mesh_fixture.h"

namespace guavatrail {

class RolloutFixture : public MeshFixture {
 protected:
  static constexpr char kKind[] = "rollouts";
  static constexpr char kLeaseKind[] = "guavatrail-rollouts";
  static constexpr char kService[] = "catalogo";

  RolloutFixture() { m_has_rollouts = true; }

  // Starts the entry node, then the nodes with servers of "v1" and "v2".
  void StartMesh(int old_servers, int new_servers) {
    PutConfig(1, kService);
    AddVm("front");
    SendHeartbeat(Entry(), "i-front");
    for (int i = 0; i < old_servers + new_servers; ++i) {
      Vm& vm = AddVm(kService);
      vm.version = i < old_servers ? "v1" : "v2";
      Heartbeat(vm);
      // The first servers of a service define the version that is in use.
      if (i + 1 != old_servers) continue;
      ASSERT_TRUE(CallUntil(Entry(), "/parts/1", 200));
    }
    RunFor(m_loop, std::chrono::milliseconds(800));
    for (auto& vm : m_vms) vm->requests.clear();
  }

  Vm& Entry() { return *m_vms[0]; }
  void Heartbeat(Vm& vm) { SendHeartbeat(vm, "i-" + vm.settings.node.name); }

  void Order(const std::string& version, double step_s) {
    m_store.Put(kKind, kService,
                {{"service", kService}, {"target-version", version}, {"step-s", step_s}});
  }

  // The state in the status of the order; "none" if there is none.
  std::string State() const {
    const auto* status = m_store.FindStatus(kKind, kService);
    if (status == nullptr || !status->is_object()) return "none";
    return (*status)["state"].get<std::string>();
  }

  // Sends calls at `per_s` until `condition` holds. Servers report every second meanwhile. Returns
  // whether the condition held in time.
  bool CallWhile(double per_s, double limit_s, const std::function<bool()>& condition) {
    int64_t start_us = EventLoop::NowUs();
    int64_t sent = 0;
    int64_t heartbeat_us = start_us;
    std::list<std::unique_ptr<FakeClient>> open;
    while (true) {
      int64_t now_us = EventLoop::NowUs();
      if (condition()) break;
      if (static_cast<double>(now_us - start_us) > limit_s * 1e6) return false;
      if (static_cast<double>(now_us - start_us) * per_s / 1e6 >= static_cast<double>(sent)) {
        open.push_back(Send(Entry().settings.listen.caller_port, "GET", "/parts/1",
                            CallHeaders("call-" + std::to_string(m_calls++))));
        ++sent;
      }
      open.remove_if([this](const auto& client) {
        if (!client->HasCompleteAnswer()) return false;
        ++m_statuses[client->status()];
        return true;
      });
      if (now_us - heartbeat_us > 1'000'000) {
        heartbeat_us = now_us;
        for (auto& vm : m_vms) {
          if (vm->node != nullptr) Heartbeat(*vm);
        }
      }
      RunFor(m_loop, std::chrono::milliseconds(2));
    }
    RunFor(m_loop, std::chrono::milliseconds(50));
    return true;
  }

  // Requests that servers of `version` have got.
  size_t RequestsOf(const std::string& version) const {
    size_t requests = 0;
    for (const auto& vm : m_vms) {
      if (vm->version == version) requests += vm->requests.size();
    }
    return requests;
  }

  void SetHandler(const std::string& version, const FakeServer::Handler& handler) {
    for (auto& vm : m_vms) {
      if (vm->version == version) vm->handler = handler;
    }
  }
  static FakeServer::Handler Good() {
    return [](FakeConnection& c, const std::string& request) {
      c.Send(ServerAnswer(request, "done"));
    };
  }
  static FakeServer::Handler Failing() {
    return [](FakeConnection& c, const std::string& request) {
      c.Send(MakeAnswer(500, "", "X-Request-Id: " + HeaderIn(request, "X-Request-Id") + "\r\n"));
    };
  }

  // The node that owns the rollout; null if none does.
  Vm* Owner() {
    const auto* lease = m_store.Find(kLeaseKind, kService);
    if (lease == nullptr) return nullptr;
    std::string holder = (*lease)["holder"].get<std::string>();
    auto it = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto& vm) {
      return holder.starts_with(vm->settings.node.name + "/");
    });
    return it == m_vms.end() ? nullptr : it->get();
  }

  std::list<std::unique_ptr<Timer>> m_delayed;  // Answers that are sent later.
  int m_calls = 0;
  std::map<int, int> m_statuses;  // Number of answers by status.
};

}  // namespace guavatrail
