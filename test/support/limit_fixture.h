// Defines LimitFixture, a test fixture with mesh nodes in front of a backend server that states a
// limit or its leave in its answers, and helpers that count what reaches the server.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "mesh_fixture.h"
#include "window_count.h"

namespace guavatrail {

class LimitFixture : public MeshFixture {
 protected:
  // What a backend server adds to its answers, and what has reached it.
  struct Backend {
    std::string notice;               // Header lines that end in CRLF.
    std::vector<int64_t> arrival_us;  // Of requests, rejected ones too.
    std::set<std::string> ids;        // X-Request-Id of these requests.
  };

  static std::string Limit(const std::string& per_s) { return "Server-Limit: " + per_s + "\r\n"; }
  static std::string Leaving() { return "Server-Leaving: 1\r\n"; }

  // Adds a node with a server that is ready.
  Vm& AddServer(const std::string& id, Backend& backend) {
    Vm& vm = AddVm("catalogo");
    vm.handler = [&backend](FakeConnection& c, const std::string& request) {
      backend.arrival_us.push_back(EventLoop::NowUs());
      backend.ids.insert(HeaderIn(request, "X-Request-Id"));
      c.Send(MakeAnswer(200, "done",
                        "X-Request-Id: " + HeaderIn(request, "X-Request-Id") +
                            "\r\nX-Response-Stamp: stamp\r\n" + backend.notice));
    };
    EXPECT_EQ(SendHeartbeat(vm, id), 200);
    return vm;
  }

  // Two entry nodes, and a config that routes to the servers.
  void StartEntries() {
    m_entries = {&AddVm("front"), &AddVm("front")};
    PutConfig(7, "catalogo");
    for (Vm* entry : m_entries) ASSERT_TRUE(CallUntil(*entry, "/parts/1", 200));
  }

  // Sends lookups for `time`, at `per_s` a second in all, in turn from the entry nodes.
  void Flood(int per_s, std::chrono::milliseconds time) {
    const auto gap = std::chrono::microseconds(1'000'000 / per_s);
    int64_t start_us = EventLoop::NowUs();
    for (int64_t sent = 0; EventLoop::NowUs() - start_us < time.count() * 1000;) {
      if (EventLoop::NowUs() - start_us >= sent * gap.count()) {
        std::string id = "flood-" + std::to_string(m_sent.size());
        const Vm& entry = *m_entries[m_sent.size() % m_entries.size()];
        m_sent.push_back(
            {id, Send(entry.settings.listen.caller_port, "GET", "/parts/1", CallHeaders(id))});
        ++sent;
      }
      RunFor(m_loop, std::chrono::milliseconds(1));
    }
  }

  // Waits for all answers.
  void WaitForAnswers() {
    for (auto& sent : m_sent) {
      EXPECT_TRUE(RunUntil(m_loop, [&] { return sent.client->HasCompleteAnswer(); }));
    }
  }

  // Most arrivals within any `window` that begins at `from_us` or later.
  static int MostArrivals(const Backend& backend, std::chrono::milliseconds window,
                          int64_t from_us) {
    return MostWithin(backend.arrival_us, window.count() * 1000, from_us);
  }

  // The requests that may reach a server with a limit of `per_s` in `window`.
  static int Allowed(double per_s, std::chrono::milliseconds window) {
    return static_cast<int>(1.5 * per_s * static_cast<double>(window.count()) / 1000) + 5;
  }

  struct Sent {
    std::string id;
    std::unique_ptr<FakeClient> client;
  };
  std::vector<Vm*> m_entries;
  std::vector<Sent> m_sent;
};

}  // namespace guavatrail
