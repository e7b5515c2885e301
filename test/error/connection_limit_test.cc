// Guards against callers that keep connections open without a use for them and so keep other
// callers out, for lack of file descriptors, while the node reports that it is ready.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <optional>

#include "downstream_request.h"
#include "fake_server.h"
#include "http_listener.h"
#include "pending_replies.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr std::chrono::milliseconds kTouchTime{3'000};
const std::string kRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

// A non-blocking client.
class LateClient {
 public:
  LateClient() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {}
  ~LateClient() { close(m_fd); }
  LateClient(const LateClient&) = delete;
  LateClient& operator=(const LateClient&) = delete;

  void Connect(uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int result = connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    EXPECT_TRUE(result == 0 || errno == EINPROGRESS) << errno;
  }

  bool Send() {
    return send(m_fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(kRequest.size());
  }

  bool HasAnswer() {
    char byte = 0;
    return recv(m_fd, &byte, 1, MSG_PEEK) == 1 && byte == 'H';
  }

 private:
  int m_fd;
};

// Whether accept4() finds no free descriptor; null: it is not limited.
std::function<bool()> g_lacks_descriptors;

}  // namespace

// Takes the place of the function of the C library, so that accepting fails as it does in a process
// without free descriptors. The limit of the process itself stays, since the sanitizers need
// descriptors of their own.
extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  using Accept4 = int (*)(int, sockaddr*, socklen_t*, int);
  static const auto kAccept4 = reinterpret_cast<Accept4>(dlsym(RTLD_NEXT, "accept4"));
  if (g_lacks_descriptors && g_lacks_descriptors()) {
    errno = EMFILE;
    return -1;
  }
  return kAccept4(fd, address, length, flags);
}

namespace {

class ConnectionLimit : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(m_listener.Listen("127.0.0.1", 0)); }
  void TearDown() override { g_lacks_descriptors = nullptr; }

  // Lets the listener have `count` descriptors.
  void LimitDescriptors(size_t count) {
    g_lacks_descriptors = [this, count] { return m_listener.connections() >= count; };
  }

  EventLoop m_loop;
  bool m_holds_requests = false;
  std::vector<std::unique_ptr<DownstreamRequest>> m_held;
  PendingReplies m_replies{m_loop};
  HttpListener m_listener{m_loop, [this](std::unique_ptr<DownstreamRequest> request) {
                            if (m_holds_requests) {
                              m_held.push_back(std::move(request));
                            } else {
                              m_replies.Reply(std::move(request), kHttpOk, {}, "done");
                            }
                          }};
};

// Callers that left idle connections to a node without free descriptors kept all others out until
// the idle time of the connections had passed.
TEST_F(ConnectionLimit, NewCallersAreServedAlthoughIdleConnectionsUseAllDescriptors) {
  std::vector<std::unique_ptr<LateClient>> idle(40);
  for (auto& client : idle) client = std::make_unique<LateClient>();
  LateClient late;
  LimitDescriptors(20);
  for (auto& client : idle) client->Connect(m_listener.port());
  RunFor(m_loop, std::chrono::milliseconds(100));
  late.Connect(m_listener.port());
  ASSERT_TRUE(RunUntil(
      m_loop, [&] { return late.Send(); }, kTouchTime));
  EXPECT_TRUE(RunUntil(
      m_loop, [&] { return late.HasAnswer(); }, kTouchTime));
}

// A failing accept() was repeated at once and without end, which took all processor time.
TEST_F(ConnectionLimit, FailingAcceptLeavesProcessorTime) {
  m_holds_requests = true;
  std::vector<std::unique_ptr<LateClient>> clients(30);
  for (auto& client : clients) client = std::make_unique<LateClient>();
  LimitDescriptors(10);
  for (auto& client : clients) client->Connect(m_listener.port());
  // Connections with a request in progress are not closed.
  ASSERT_TRUE(RunUntil(m_loop, [&] {
    for (auto& client : clients) client->Send();
    return m_listener.accept_failures() > 0;
  }));
  uint64_t before = m_listener.accept_failures();
  RunFor(m_loop, std::chrono::milliseconds(500));
  EXPECT_LE(m_listener.accept_failures() - before, 50U);
  m_held.clear();
}

// The port said that it had room between two attempts of accept(), so that every other readiness
// answer was positive although no connection was accepted for lack of descriptors.
TEST_F(ConnectionLimit, PortWithoutDescriptorsHasNoRoomUntilAConnectionIsAccepted) {
  g_lacks_descriptors = [] { return true; };
  LateClient waiting;
  waiting.Connect(m_listener.port());
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_listener.accept_failures() > 0; }));
  int answers_with_room = 0;
  Timer probe(m_loop, [&] {
    answers_with_room += m_listener.has_room() ? 1 : 0;
    probe.Start(std::chrono::microseconds(0));
  });
  probe.Start(std::chrono::microseconds(0));
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_EQ(answers_with_room, 0);
  g_lacks_descriptors = nullptr;
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_listener.connections() == 1; }));
  EXPECT_TRUE(m_listener.has_room());
}

// An idle connection is no room while its descriptor does not get to the port: connections that the
// node opens itself may take it.
TEST_F(ConnectionLimit, IdleConnectionIsNoRoomWhileAcceptFails) {
  FakeClient idle(m_loop, m_listener.port());
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_listener.idle_connections() == 1; }));
  g_lacks_descriptors = [] { return true; };
  LateClient waiting;
  waiting.Connect(m_listener.port());
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_listener.accept_failures() > 0; }));
  ASSERT_EQ(m_listener.idle_connections(), 1U);
  EXPECT_FALSE(m_listener.has_room());
}

// Opens connections up to a limit, of which the first has a request in progress.
class FullPort : public ConnectionLimit {
 protected:
  static constexpr size_t kMaxConnections = 8;

  void SetUp() override {
    ConnectionLimit::SetUp();
    m_listener.SetMaxConnections(kMaxConnections);
    m_holds_requests = true;
    m_busy.emplace(m_loop, m_listener.port());
    m_busy->Send(kRequest);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return m_held.size() == 1; }));
  }

  void ConnectIdle(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_idle.push_back(std::make_unique<FakeClient>(m_loop, m_listener.port()));
      RunFor(m_loop, std::chrono::milliseconds(5));
    }
  }

  std::optional<FakeClient> m_busy;
  std::vector<std::unique_ptr<FakeClient>> m_idle;
};

TEST_F(FullPort, LongestIdleConnectionsMakeRoomAndRequestsInProgressStay) {
  ConnectIdle(12);
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_LE(m_listener.connections(), kMaxConnections);
  EXPECT_TRUE(m_listener.has_room());
  EXPECT_TRUE(m_idle.front()->closed_by_peer());
  EXPECT_FALSE(m_idle.back()->closed_by_peer());
  EXPECT_FALSE(m_busy->closed_by_peer());
  m_held[0]->Reply(kHttpOk, {}, "done");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return m_busy->HasCompleteAnswer(); }));
}

// A connection whose request has arrived but has not been read yet must not be closed as idle.
TEST_F(FullPort, ConnectionWithAnUnreadRequestStays) {
  ConnectIdle(kMaxConnections - 2);
  RunFor(m_loop, std::chrono::milliseconds(150));
  // The new connection, which fills the port, is processed before the request is read.
  FakeClient late(m_loop, m_listener.port());
  m_idle.front()->SendBlocking(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_held.size() == 2; }));
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_FALSE(m_idle.front()->closed_by_peer());
  EXPECT_TRUE(m_idle[1]->closed_by_peer());
}

// A port whose connections all have requests in progress takes no new one, so its node must not
// report that it is ready, and takes the waiting one as soon as a connection ends.
TEST_F(FullPort, WithoutIdleConnectionsNewOnesWait) {
  for (size_t i = 1; i < kMaxConnections; ++i) {
    ConnectIdle(1);
    m_idle.back()->Send(kRequest);
  }
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_held.size() == kMaxConnections; }));
  EXPECT_FALSE(m_listener.has_room());
  FakeClient waiting(m_loop, m_listener.port());
  waiting.Send(kRequest);
  RunFor(m_loop, std::chrono::milliseconds(50));
  EXPECT_EQ(m_held.size(), kMaxConnections);
  m_busy->Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_held.size() == kMaxConnections + 1; }));
  m_held.back()->Reply(kHttpOk, {}, "done");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return waiting.HasCompleteAnswer(); }));
}

// Connections that have just been opened count as idle, but cannot be closed yet. A port that is
// full of them takes no new one.
TEST_F(FullPort, FullOfFreshConnectionsItHasNoRoomUntilOneIsClosed) {
  m_holds_requests = false;
  std::vector<std::unique_ptr<FakeClient>> callers;
  bool had_room_while_full = false;
  for (size_t i = 1; i < kMaxConnections; ++i) {
    callers.push_back(std::make_unique<FakeClient>(m_loop, m_listener.port()));
  }
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_listener.connections() == kMaxConnections; }));
  int64_t full_us = EventLoop::NowUs();
  while (m_listener.connections() == kMaxConnections) {
    had_room_while_full = had_room_while_full || m_listener.has_room();
    event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
  }
  EXPECT_FALSE(had_room_while_full);
  EXPECT_LT(EventLoop::NowUs() - full_us, 500'000);
  EXPECT_TRUE(m_listener.has_room());
}

// Near the limit callers are told that the connection closes, so that they do not reuse one that
// the node is about to close.
TEST_F(FullPort, AnswersNearTheLimitCloseTheirConnection) {
  m_holds_requests = false;
  ConnectIdle(1);
  m_idle[0]->Send(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_idle[0]->HasCompleteAnswer(); }));
  EXPECT_EQ(m_idle[0]->header("Connection"), "");
  ConnectIdle(5);
  m_idle[5]->Send(kRequest);
  ASSERT_TRUE(RunUntil(m_loop, [&] { return m_idle[5]->HasCompleteAnswer(); }));
  EXPECT_EQ(m_idle[5]->header("Connection"), "close");
}

}  // namespace
}  // namespace guavatrail
