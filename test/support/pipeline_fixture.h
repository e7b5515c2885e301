// Defines PipelineFixture, a test fixture with an HttpListener whose requests the test answers, and
// AnswersIn, which splits the bytes that a client received into answers.
#pragma once

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "downstream_request.h"
#include "fake_server.h"
#include "http_listener.h"
#include "test_loop.h"

namespace guavatrail {

struct ReceivedAnswer {
  int status = 0;
  std::string head;
  std::string body;
};

// The complete answers in `received`, each with a Content-Length.
inline std::vector<ReceivedAnswer> AnswersIn(std::string_view received) {
  std::vector<ReceivedAnswer> answers;
  while (true) {
    size_t end = received.find("\r\n\r\n");
    if (end == std::string_view::npos) return answers;
    ReceivedAnswer answer;
    answer.head = received.substr(0, end + 4);
    std::string length = HeaderIn(answer.head, "Content-Length");
    size_t size = length.empty() ? 0 : std::stoul(length);
    if (received.size() < end + 4 + size) return answers;
    answer.status = std::stoi(answer.head.substr(answer.head.find(' ')));
    answer.body = received.substr(end + 4, size);
    received.remove_prefix(end + 4 + size);
    answers.push_back(std::move(answer));
  }
}

// Requests with a path below /lookups may overlap.
class PipelineFixture : public testing::Test {
 protected:
  struct Call {
    std::unique_ptr<DownstreamRequest> request;
    int written = 0;    // Number of calls of the end handler with true.
    int cancelled = 0;  // Number of calls with false.
  };

  PipelineFixture() {
    // As in the programs: a write to a closed connection must fail instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    m_listener.SetOverlapPredicate(
        [](const RequestTarget& target) { return target.path.starts_with("/lookups"); });
  }
  ~PipelineFixture() override { m_calls.clear(); }

  void SetUp() override { ASSERT_TRUE(m_listener.Listen("127.0.0.1", 0)); }

  static std::string Get(const std::string& path, const std::string& headers = "") {
    return MakeRequest("GET", path, headers, "");
  }

  // Connects a client that sends `bytes`.
  std::unique_ptr<FakeClient> Connect(std::string_view bytes) {
    auto client = std::make_unique<FakeClient>(m_loop, m_listener.port());
    client->Send(bytes);
    return client;
  }

  bool WaitForCalls(size_t count) {
    return RunUntil(m_loop, [&] { return m_calls.size() >= count; });
  }

  // Whether no more than `count` requests are started within a short time.
  bool StaysAtCalls(size_t count) {
    RunFor(m_loop, std::chrono::milliseconds(50));
    return m_calls.size() == count;
  }

  // Answers with the target of the request as body.
  void Answer(size_t i) { m_calls[i]->request->Reply(kHttpOk, {}, m_calls[i]->request->target()); }

  // Waits until the client has `count` answers, and returns their bodies, separated by spaces.
  std::string Bodies(const FakeClient& client, size_t count) {
    RunUntil(m_loop, [&] { return AnswersIn(client.received()).size() >= count; });
    std::string text;
    for (const ReceivedAnswer& answer : AnswersIn(client.received())) {
      text += (text.empty() ? "" : " ") + answer.body;
    }
    return text;
  }

  EventLoop m_loop;
  std::vector<std::unique_ptr<Call>> m_calls;
  HttpListener m_listener{m_loop, [this](std::unique_ptr<DownstreamRequest> request) {
                            m_calls.push_back(std::make_unique<Call>());
                            Call* call = m_calls.back().get();
                            request->SetEndHandler([call](bool written) {
                              ++(written ? call->written : call->cancelled);
                            });
                            call->request = std::move(request);
                          }};
};

}  // namespace guavatrail
