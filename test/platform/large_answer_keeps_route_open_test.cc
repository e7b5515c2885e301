// Guards against nodes on slow links that refuse all requests of a work kind for good, after one
// answer that was larger than the usual ones or announced a length that it did not have.
#include "answer_size_estimator.h"
#include "link_pacer.h"
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

constexpr double kSlowLinkMbps = 12.6;
constexpr size_t kUsualBytes = 90'000;
constexpr size_t kLargeBytes = 400'000;

class LargeAnswerKeepsRouteOpen : public MeshFixture {
 protected:
  void SetUp() override {
    m_vm = &AddVm("manuais");
    m_vm->settings.listen.link_mbps = kSlowLinkMbps;
    m_vm->node.reset();
    StartNode(*m_vm);
    PutConfig(7, "manuais");
    ASSERT_EQ(SendHeartbeat(*m_vm, "i-1"), 200);
    ASSERT_TRUE(RunUntil(m_loop, [&] { return IsReady(*m_vm); }));
  }

  void AnswerWith(size_t bytes) {
    m_vm->handler = [bytes](FakeConnection& c, const std::string& request) {
      c.Send(ServerAnswer(request, std::string(bytes, 'x')));
    };
  }

  // The number of usual answers among calls that are made one by one.
  int CallUsual(int calls) {
    AnswerWith(kUsualBytes);
    int served = 0;
    for (int i = 0; i < calls; ++i) {
      served += Call(*m_vm, "/parts/usual", "usual-" + std::to_string(i))->status() == 200 ? 1 : 0;
    }
    return served;
  }

  Vm* m_vm = nullptr;
};

TEST_F(LargeAnswerKeepsRouteOpen, FirstAnswerOfAKindIsALargeOne) {
  AnswerWith(kLargeBytes);
  ASSERT_EQ(Call(*m_vm, "/parts/large", "large")->status(), 200);
  EXPECT_EQ(CallUsual(10), 10);
}

TEST_F(LargeAnswerKeepsRouteOpen, AnnouncedLengthOfABrokenAnswerDoesNotCount) {
  FakeConnection* connection = nullptr;
  m_vm->handler = [&](FakeConnection& c, const std::string& request) {
    connection = &c;
    c.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\nX-Response-Stamp: stamp\r\n" +
           std::string("X-Request-Id: ") + HeaderIn(request, "X-Request-Id") + "\r\n\r\nxxxx");
  };
  auto broken = Send(m_vm->settings.listen.caller_port, "GET", "/parts/endless", CallHeaders("1"));
  ASSERT_TRUE(RunUntil(m_loop, [&] { return broken->status() == 200; }));
  connection->Close();
  ASSERT_TRUE(RunUntil(m_loop, [&] { return broken->closed_by_peer(); }));
  EXPECT_EQ(CallUsual(10), 10);
}

// All servers of the service have learned the size of a large answer, and the entry node has no
// server of the service, so every request comes to them as an offer first.
class LargeAnswersOfAllServers : public MeshFixture {
 protected:
  void SetUp() override {
    m_entry = &AddVm("front");
    for (int i = 0; i < 2; ++i) {
      Vm& vm = AddVm("manuais");
      vm.settings.listen.link_mbps = kSlowLinkMbps;
      vm.node.reset();
      StartNode(vm);
      m_servers.push_back(&vm);
    }
    PutConfig(7, "manuais");
    for (size_t i = 0; i < m_servers.size(); ++i) {
      ASSERT_EQ(SendHeartbeat(*m_servers[i], "i-" + std::to_string(i)), 200);
    }
    ASSERT_TRUE(CallUntil(*m_entry, "/parts/1", 200));
    RunFor(m_loop, std::chrono::milliseconds(500));
  }

  void AnswerWith(size_t bytes) {
    for (Vm* vm : m_servers) {
      vm->handler = [bytes](FakeConnection& c, const std::string& request) {
        c.Send(ServerAnswer(request, std::string(bytes, 'x')));
      };
    }
  }

  Vm* m_entry = nullptr;
  std::vector<Vm*> m_servers;
};

TEST_F(LargeAnswersOfAllServers, RouteStaysOpenForOtherNodes) {
  // Calls of the VMs themselves reach both servers, each of which sends several large answers.
  AnswerWith(kLargeBytes);
  for (int i = 0; i < 8; ++i) {
    Call(*m_servers[static_cast<size_t>(i) % 2], "/parts/large", "large-" + std::to_string(i));
    RunFor(m_loop, std::chrono::milliseconds(400));
  }
  for (Vm* vm : m_servers) ASSERT_FALSE(vm->requests.empty());
  AnswerWith(kUsualBytes);
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    served += Call(*m_entry, "/parts/usual", "usual-" + std::to_string(i))->status() == 200 ? 1 : 0;
  }
  EXPECT_EQ(served, 10);
}

TEST(LargeAnswerEstimate, OneLargeAnswerAmongUsualOnesDoesNotCountForLong) {
  AnswerSizeEstimator sizes;
  sizes.Add("download", kLargeBytes);
  for (int i = 0; i < 9; ++i) sizes.Add("download", kUsualBytes);
  EXPECT_LE(sizes.TypicalBytes("download"), 125'000);
}

// Another node may have a faster link, so offers are refused as before.
TEST(LargeAnswerEstimate, IdleLinkAcceptsWhatIsNotAnOffer) {
  LinkBacklog backlog(1'000'000);
  LargeRequest request{.bytes = 100'000'000, .remaining_ms = 500};
  EXPECT_FALSE(backlog.RefusalWaitMs(request));
  request.is_offer = true;
  EXPECT_TRUE(backlog.RefusalWaitMs(request));
  request.is_offer = false;
  backlog.Add(1);
  EXPECT_TRUE(backlog.RefusalWaitMs(request));
}

}  // namespace
}  // namespace guavatrail
