// Guards against faults that need a particular order of arrivals, answers and failures: random
// mixes of lookups and orders, with requests cut at arbitrary points. Every answer must belong to
// its request, an order must run at most once and alone, and nothing may run behind a closing
// answer.
#include <algorithm>
#include <map>
#include <random>

#include "pipeline_fixture.h"
#include "request_pipeline.h"

namespace guavatrail {
namespace {

class PipelineRandomMix : public PipelineFixture, public testing::WithParamInterface<uint64_t> {
 protected:
  // A caller with one connection.
  struct Caller {
    std::string name;
    std::unique_ptr<FakeClient> client;
    std::string unsent;
    size_t requests = 0;
    size_t closing = SIZE_MAX;  // Index of the request with Connection: close.
    size_t checked = 0;         // Answers checked so far.
    bool has_left = false;
  };

  size_t Below(size_t limit) { return m_random() % limit; }
  bool Chance(int percent) { return Below(100) < static_cast<size_t>(percent); }

  std::string NextRequest(Caller& caller) {
    size_t i = caller.requests++;
    std::string headers = "X-Id: " + caller.name + "-" + std::to_string(i) + "\r\n";
    if (caller.closing == SIZE_MAX && Chance(2)) {
      caller.closing = i;
      m_closing[caller.name] = i;
      headers += "Connection: close\r\n";
    }
    std::string path = Chance(80) ? "/lookups/1" : "/orders/1";
    if (Chance(50)) return Get(path, headers);
    return MakeRequest("POST", path, headers, std::string(Below(3'000), 'b'));
  }

  void SendPiece(Caller& caller) {
    if (caller.unsent.empty()) {
      for (int i = 0; i < 2; ++i) caller.unsent += NextRequest(caller);
    }
    size_t length = Chance(30) ? caller.unsent.size() : 1 + Below(caller.unsent.size());
    caller.client->Send(caller.unsent.substr(0, length));
    caller.unsent.erase(0, length);
  }

  static std::string IdOf(const Call& call) {
    return std::string(HeaderValue(call.request->headers(), "X-Id"));
  }
  static bool IsInProgress(const Call& call) { return call.written + call.cancelled == 0; }

  // Checks what runs at the same time on each connection.
  void CheckOverlap() {
    std::map<std::string, std::pair<size_t, size_t>> running;  // All requests, orders.
    for (auto& call : m_calls) {
      if (!IsInProgress(*call)) continue;
      std::string id = IdOf(*call);
      auto& [all, orders] = running[id.substr(0, id.find('-'))];
      ++all;
      if (call->request->path().starts_with("/orders")) ++orders;
    }
    for (auto& [name, counts] : running) {
      ASSERT_LE(counts.first, RequestPipeline::kMaxRequests);
      if (counts.second > 0) {
        ASSERT_EQ(counts.first, 1U) << name;
      }
    }
  }

  void AnswerOne() {
    std::vector<Call*> open;
    for (auto& call : m_calls) {
      if (IsInProgress(*call) && !call->request->has_started_reply()) open.push_back(call.get());
    }
    if (open.empty()) return;
    Call& call = *open[Below(open.size())];
    if (Chance(1)) {
      call.request->Abort();
    } else {
      std::string id = IdOf(call);
      call.request->Reply(kHttpOk, {{"X-Id", id}}, id + std::string(Below(20'000), '.'));
    }
  }

  void CheckAnswers(Caller& caller) {
    auto answers = AnswersIn(caller.client->received());
    for (; caller.checked < answers.size(); ++caller.checked) {
      std::string id = caller.name + "-" + std::to_string(caller.checked);
      const ReceivedAnswer& answer = answers[caller.checked];
      ASSERT_EQ(HeaderIn(answer.head, "X-Id"), id);
      ASSERT_TRUE(answer.body.starts_with(id));
      bool closes = HeaderIn(answer.head, "Connection") == "close";
      ASSERT_EQ(closes, caller.checked == caller.closing);
    }
  }

  std::mt19937_64 m_random{GetParam()};
  std::map<std::string, size_t> m_closing;  // Index of the closing request by caller.
};

TEST_P(PipelineRandomMix, EveryAnswerBelongsToItsRequest) {
  std::vector<Caller> callers;
  for (int step = 0; step < 3'000; ++step) {
    std::erase_if(
        callers, [](Caller& caller) { return caller.has_left || caller.client->closed_by_peer(); });
    if (callers.size() < 4) {
      std::string name = "c" + std::to_string(step);
      callers.push_back(
          {name, std::make_unique<FakeClient>(m_loop, m_listener.port()), "", 0, SIZE_MAX, 0});
    }
    Caller& caller = callers[Below(callers.size())];
    if (Chance(50)) SendPiece(caller);
    if (Chance(1)) {
      caller.client->Close();
      caller.has_left = true;
    }
    if (Chance(60)) AnswerOne();
    event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
    ASSERT_NO_FATAL_FAILURE(CheckOverlap());
    for (Caller& each : callers) {
      if (each.has_left) continue;
      ASSERT_NO_FATAL_FAILURE(CheckAnswers(each));
    }
  }
  // No request ran twice, and each connection ran its requests in order and none behind the
  // closing one.
  std::map<std::string, size_t> next;
  for (auto& call : m_calls) {
    std::string id = IdOf(*call);
    std::string name = id.substr(0, id.find('-'));
    ASSERT_EQ(id, name + "-" + std::to_string(next[name]++));
  }
  for (auto& [name, closing] : m_closing) EXPECT_LE(next[name], closing + 1) << name;
  EXPECT_GT(m_calls.size(), 300U);
  EXPECT_TRUE(std::any_of(m_calls.begin(), m_calls.end(),
                          [](auto& call) { return call->request->requests_ahead() >= 3; }));
}

INSTANTIATE_TEST_SUITE_P(Seeds, PipelineRandomMix, testing::Range<uint64_t>(1, 13));

}  // namespace
}  // namespace guavatrail
