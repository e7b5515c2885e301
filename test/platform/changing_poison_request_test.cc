// Guards against a request that crashes every server that runs it and is not recognized, since its
// client renews a cookie or a number in the query with each copy, and against a quarantine that
// hits sound requests with the same path.
#include <functional>
#include <utility>

#include "poison_fixture.h"

namespace guavatrail {
namespace {

class ChangingPoison : public PoisonFixture {
 protected:
  using Change = std::function<std::unique_ptr<FakeClient>(Fragile& entry, const std::string& n)>;

  std::unique_ptr<FakeClient> CallWithCookie(Fragile& entry, const std::string& path,
                                             const std::string& cookie) {
    return SendAndWait(entry.vm->settings.listen.caller_port, "GET", path,
                       CallHeaders("c-" + cookie) + "Cookie: session=" + cookie + "\r\n");
  }

  // Sends copies for four seconds and expects that they stop reaching servers.
  void ExpectStopped(const Change& call) {
    int64_t end_us = EventLoop::NowUs() + 4'000'000;
    int copies = 0;
    while (EventLoop::NowUs() < end_us) {
      call(m_servers[static_cast<size_t>(copies) % kNodes], std::to_string(copies));
      RunFor(m_loop, milliseconds(50));
      ++copies;
    }
    EXPECT_GE(m_crashes, kCrashesToQuarantine);
    // Those before the quarantine, and one trial.
    EXPECT_LE(m_crashes, kCrashesToQuarantine + 3);
    EXPECT_EQ(call(m_servers[0], "last")->status(), kHttpServiceUnavailable);
    for (Fragile& entry : m_servers) {
      EXPECT_EQ(CallWithCookie(entry, "/parts/sound", "last")->status(), kHttpOk);
    }
  }
};

TEST_F(ChangingPoison, IsStoppedWithANewCookieEachTime) {
  ExpectStopped([this](Fragile& entry, const std::string& n) {
    return CallWithCookie(entry, kPoisonPath, n);
  });
}

TEST_F(ChangingPoison, IsStoppedWithANewQueryEachTime) {
  ExpectStopped([this](Fragile& entry, const std::string& n) {
    return Call(*entry.vm, std::string(kPoisonPath) + "?_=" + n, "q-" + n);
  });
}

// Each caller has a cookie of its own, and all of them ask for the same when servers crash
// together.
TEST_F(ChangingPoison, RequestsOfACommonCrashAreServed) {
  std::vector<FakeServer::Handler> handlers;
  for (Fragile& server : m_servers) {
    handlers.push_back(
        std::exchange(server.vm->handler, [](FakeConnection&, const std::string&) {}));
  }
  std::vector<std::unique_ptr<FakeClient>> calls;
  for (int i = 0; i < 60; ++i) {
    Fragile& entry = m_servers[static_cast<size_t>(i) % kNodes];
    calls.push_back(Send(entry.vm->settings.listen.caller_port, "GET", kPopularPath,
                         CallHeaders("popular-" + std::to_string(i)) +
                             "Cookie: session=" + std::to_string(i) + "\r\n"));
  }
  RunFor(m_loop, milliseconds(200));
  for (Fragile& server : m_servers) Crash(server);
  RunFor(m_loop, 2 * kTimeToRestart);
  for (size_t i = 0; i < kNodes; ++i) m_servers[i].vm->handler = handlers[i];
  for (Fragile& entry : m_servers) {
    EXPECT_EQ(CallWithCookie(entry, kPopularPath, "later")->status(), kHttpOk);
  }
}

// The queries of one path are answered, but for one that crashes each server.
TEST_F(ChangingPoison, OtherQueriesOfItsPathAreServed) {
  size_t refused = 0;
  size_t sound = 0;
  for (int i = 0; i < 60; ++i) {
    Fragile& entry = m_servers[static_cast<size_t>(i) % kNodes];
    if (i % 10 == 0) {
      Call(*entry.vm, kPoisonSearch, "bad-" + std::to_string(i));
      RunFor(m_loop, 2 * kTimeToRestart);
    }
    std::string n = std::to_string(i);
    int status = Call(*entry.vm, std::string(kSearchPath) + "?q=" + n, "sound-" + n)->status();
    ++sound;
    if (status != kHttpOk) ++refused;
    RunFor(m_loop, milliseconds(5));
  }
  EXPECT_GE(m_crashes, kCrashesToQuarantine);
  EXPECT_EQ(refused, 0U) << "of " << sound;
  EXPECT_EQ(Call(*m_servers[0].vm, kPoisonSearch, "bad")->status(), kHttpServiceUnavailable);
}

}  // namespace
}  // namespace guavatrail
