// Guards against two owners of a rollout at a time, and against a rollout that nobody owns any
// more.
#include "rollout_lease.h"

#include <gtest/gtest.h>

#include "fake_store.h"
#include "object_watcher.h"
#include "random_source.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

using platform::RolloutLease;
using std::chrono::milliseconds;

const RolloutProgress kProgress{"v2", RolloutPhase::kRunning};

class RolloutLeaseTest : public testing::Test {
 protected:
  // A candidate that watches the lease; it does nothing while it is paused.
  struct Candidate {
    Candidate(EventLoop& loop, uint16_t port, RandomSource& random, const std::string& name)
        : store(loop, {.ip = "127.0.0.1", .port = port, .timeout = milliseconds(300)}, metrics),
          lease(store, "catalogo", name, [] {}),
          watcher(loop, store, random,
                  {.kind = platform::kRolloutLeaseKind, .wait = milliseconds(1'000)},
                  {.on_list_started = [this] { is_listed = false; },
                   .on_put =
                       [this](const auto& object) {
                         is_listed = true;
                         lease.OnObject(object);
                       },
                   .on_removed = [this](const auto&) { lease.OnRemoved(); },
                   .on_list_finished =
                       [this](auto) {
                         if (!is_listed) lease.OnRemoved();
                         lease.OnListed();
                       },
                   .on_confirmed = [](auto) {}}) {
      store.SetEraHandler([this] {
        lease.OnNewEra();
        watcher.OnNewEra();
      });
      watcher.Start();
    }
    bool is_held() const { return lease.IsHeld(EventLoop::NowUs()); }

    Metrics metrics;
    platform::StoreClient store;
    RolloutLease lease;
    platform::ObjectWatcher watcher;
    bool is_listed = false;
    bool is_paused = false;
    size_t rank = 0;
    RolloutProgress progress = kProgress;
  };

  // Both candidates tick until `condition` holds; never do two of them hold the lease.
  bool RunLeases(milliseconds limit, const std::function<bool()>& condition) {
    int64_t end_us = EventLoop::NowUs() + limit.count() * 1'000;
    while (EventLoop::NowUs() < end_us) {
      int64_t now_us = EventLoop::NowUs();
      for (Candidate* candidate : {&m_a, &m_b}) {
        if (candidate->is_paused) continue;
        candidate->lease.Tick(candidate->rank, candidate->progress, 0, now_us);
      }
      EXPECT_FALSE(m_a.is_held() && m_b.is_held());
      if (condition()) return true;
      RunFor(m_loop, milliseconds(20));
    }
    return false;
  }

  std::string Holder() const {
    const auto* object = m_store.Find(platform::kRolloutLeaseKind, "catalogo");
    return object == nullptr ? "none" : (*object)["holder"].get<std::string>();
  }

  EventLoop m_loop;
  FakeStore m_store{m_loop};
  RandomSource m_random{3};
  Candidate m_a{m_loop, m_store.port(), m_random, "a"};
  Candidate m_b{m_loop, m_store.port(), m_random, "b"};
};

TEST_F(RolloutLeaseTest, OneOfTwoCandidatesGetsIt) {
  EXPECT_TRUE(RunLeases(milliseconds(1'000), [&] { return m_a.is_held() || m_b.is_held(); }));
  std::string holder = Holder();
  EXPECT_FALSE(RunLeases(milliseconds(5'000), [&] { return Holder() != holder; }));
  EXPECT_TRUE(m_a.is_held() || m_b.is_held());
}

TEST_F(RolloutLeaseTest, SilentHolderIsReplacedAndDoesNotReturn) {
  m_b.rank = 1;
  ASSERT_TRUE(RunLeases(milliseconds(500), [&] { return m_a.is_held(); }));
  m_a.is_paused = true;
  EXPECT_FALSE(RunLeases(milliseconds(2'500), [&] { return m_b.is_held(); }));
  ASSERT_TRUE(RunLeases(milliseconds(3'000), [&] { return m_b.is_held(); }));
  m_a.is_paused = false;
  EXPECT_FALSE(RunLeases(milliseconds(1'500), [&] { return Holder() != "b"; }));
  EXPECT_FALSE(m_a.is_held());
}

// A resumed holder may renew before it has read what the other one has written.
TEST_F(RolloutLeaseTest, RenewalOfAResumedHolderDoesNotReplaceAnother) {
  m_b.rank = 1;
  ASSERT_TRUE(RunLeases(milliseconds(500), [&] { return m_a.is_held(); }));
  m_a.is_paused = true;
  m_a.watcher.Stop();
  ASSERT_TRUE(RunLeases(milliseconds(6'000), [&] { return m_b.is_held(); }));
  m_a.is_paused = false;
  EXPECT_FALSE(RunLeases(milliseconds(1'000), [&] { return Holder() != "b"; }));
  EXPECT_TRUE(m_b.is_held());
}

TEST_F(RolloutLeaseTest, RenewalWithALostAnswerIsContinued) {
  m_b.rank = 1;
  ASSERT_TRUE(RunLeases(milliseconds(500), [&] { return m_a.is_held(); }));
  m_store.SetMode(FakeStore::Mode::kAnswerLost);
  EXPECT_FALSE(RunLeases(milliseconds(1'500), [] { return false; }));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunLeases(milliseconds(2'000), [&] { return m_a.is_held(); }));
  EXPECT_EQ(Holder(), "a");
}

TEST_F(RolloutLeaseTest, NobodyHoldsItDuringAnOutage) {
  ASSERT_TRUE(RunLeases(milliseconds(500), [&] { return m_a.is_held() || m_b.is_held(); }));
  m_store.SetMode(FakeStore::Mode::kUnavailable);
  EXPECT_TRUE(RunLeases(milliseconds(3'500), [&] { return !m_a.is_held() && !m_b.is_held(); }));
  EXPECT_FALSE(RunLeases(milliseconds(1'000), [&] { return m_a.is_held() || m_b.is_held(); }));
  m_store.SetMode(FakeStore::Mode::kHealthy);
  EXPECT_TRUE(RunLeases(milliseconds(6'000), [&] { return m_a.is_held() || m_b.is_held(); }));
}

TEST_F(RolloutLeaseTest, RestoredLeaseIsNotTakenAtOnce) {
  m_b.rank = 1;
  ASSERT_TRUE(RunLeases(milliseconds(500), [&] { return m_a.is_held(); }));
  auto copy = m_store.TakeCopy();
  m_a.is_paused = true;
  ASSERT_TRUE(RunLeases(milliseconds(6'000), [&] { return m_b.is_held(); }));
  m_a.is_paused = false;
  m_store.Restore(*copy);
  // The restored lease names "a", while "b" may still act on what it has held.
  RunLeases(milliseconds(2'000), [] { return false; });
  EXPECT_FALSE(m_a.is_held());
  EXPECT_TRUE(RunLeases(milliseconds(6'000), [&] { return m_a.is_held() || m_b.is_held(); }));
}

TEST_F(RolloutLeaseTest, UnreadableLeaseIsReplacedAfterItsTime) {
  m_store.Put(platform::kRolloutLeaseKind, "catalogo", {{"holder", 7}});
  EXPECT_FALSE(RunLeases(milliseconds(2'500), [&] { return m_a.is_held() || m_b.is_held(); }));
  EXPECT_TRUE(RunLeases(milliseconds(3'000), [&] { return m_a.is_held() || m_b.is_held(); }));
}

}  // namespace
}  // namespace guavatrail
