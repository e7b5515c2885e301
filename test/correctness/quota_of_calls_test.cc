// Guards against calls above the quota of their workspace that run, and against calls that did not
// run but count for the quota.
#include "crash_blame.h"
#include "entry_fixture.h"
#include "quarantine_trials.h"
#include "request_fingerprint.h"

namespace guavatrail {
namespace {

constexpr char kKey[] = "X-Api-Key: loja-key\r\n";

class QuotaOfCallsTest : public EntryFixture {
 protected:
  void StartWithQuota() {
    m_resources.emplace_back(
        Workspace{.name = "loja", .api_keys = {"loja-key"}, .rate_per_s = 5, .burst = 5});
    Start();
    m_quotas.SetQuotas(m_table->workspaces(), EventLoop::NowUs());
    m_entry->SetQuotas(m_quotas);
  }
  QuotaCounters Counted() {
    QuotaReport report = m_quotas.MakeReport(EventLoop::NowUs());
    return report.usages.empty() ? QuotaCounters{} : report.usages[0].total;
  }

  QuotaEnforcer m_quotas{"entry-1", 1, m_random};
};

TEST_F(QuotaOfCallsTest, ServedCallCounts) {
  AddFakeNode(
      [](FakeConnection& c, const std::string& r) { c.Send(NodeAnswer(r, 200, "answered", "a")); });
  StartWithQuota();
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", kKey)->status(), 200);
  EXPECT_EQ(Counted(), (QuotaCounters{1, 1, 0}));
}

TEST_F(QuotaOfCallsTest, CallThatWasNotRunIsReturned) {
  AddFakeNode([](FakeConnection& c, const std::string& r) {
    c.Send(NodeAnswer(r, 503, "not-run", "", "X-Guavatrail-Reason: overload\r\n"));
  });
  StartWithQuota();
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", kKey)->status(), 503);
  EXPECT_EQ(Counted(), (QuotaCounters{1, 1, 1}));
}

TEST_F(QuotaOfCallsTest, CallAboveTheQuotaIsRefusedAndNotRun) {
  Server& node = AddFakeNode(
      [](FakeConnection& c, const std::string& r) { c.Send(NodeAnswer(r, 200, "answered", "a")); });
  StartWithQuota();
  int64_t now_us = EventLoop::NowUs();
  m_quotas.OnReply("node-1", now_us, {.reporting_share = 1, .limits = {{"loja", 0, 0, 0}}}, now_us);
  auto answer = SendAndWait("GET", "/pecas/1", kKey);
  EXPECT_EQ(answer->status(), 429);
  EXPECT_EQ(answer->header("X-Guavatrail-Outcome"), "not-run");
  EXPECT_EQ(answer->header("X-Guavatrail-Reason"), "quota");
  EXPECT_GE(std::stoi(answer->header("Retry-After")), 1);
  EXPECT_TRUE(node.requests.empty());
  EXPECT_EQ(Counted(), (QuotaCounters{1, 0, 0}));
  EXPECT_EQ(m_metrics.GetCounter("quota_refused_total", "workspace=\"loja\"").value(), 1U);
}

// The fingerprint of the request GET /pecas/1 that the other tests send.
std::string FingerprintOfLookup(EventLoop& loop) {
  std::string fingerprint;
  HttpListener listener(loop, [&](std::unique_ptr<DownstreamRequest> request) {
    fingerprint = FingerprintOf(*request);
  });
  EXPECT_TRUE(listener.Listen("127.0.0.1", 0));
  FakeClient client(loop, listener.port());
  client.Send(MakeRequest("GET", "/pecas/1", kKey, ""));
  EXPECT_TRUE(RunUntil(loop, [&] { return !fingerprint.empty(); }));
  return fingerprint;
}

// The trial of a request in quarantine is not used up by a request that does not run.
TEST_F(QuotaOfCallsTest, TrialAboveTheQuotaIsKept) {
  Server& node = AddFakeNode(
      [](FakeConnection& c, const std::string& r) { c.Send(NodeAnswer(r, 200, "answered", "a")); });
  StartWithQuota();
  std::string fingerprint = FingerprintOfLookup(m_loop);
  CrashBlame blame;
  QuarantineTrials trials(blame);
  int64_t now_us = EventLoop::NowUs();
  for (const char* server : {"1/i-1", "1/i-2", "1/i-3"}) {
    blame.OnCrash(server, std::vector<std::string>{fingerprint}, now_us);
  }
  m_entry->SetCrashBlame(blame);
  m_entry->SetQuarantineTrials(trials, [](const std::string&) {});
  trials.OnClaimed(fingerprint, true, now_us);
  m_quotas.OnReply("node-1", now_us, {.reporting_share = 1, .limits = {{"loja", 0, 0, 0}}}, now_us);
  EXPECT_EQ(SendAndWait("GET", "/pecas/1", kKey)->status(), 429);
  EXPECT_TRUE(node.requests.empty());
  EXPECT_EQ(trials.OnRequest(fingerprint, EventLoop::NowUs()), QuarantineTrials::Decision::kRun);
  m_entry.reset();
}

}  // namespace
}  // namespace guavatrail
