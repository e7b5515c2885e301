// Guards against a quarantine that comes too late, hits requests that crash no server, never ends,
// or differs between nodes.
#include "crash_blame.h"

#include <gtest/gtest.h>

#include "random_source.h"

namespace guavatrail {
namespace {

constexpr int64_t kUsPerS = 1'000'000;
using Fingerprints = std::vector<std::string>;

class CrashBlameTest : public testing::Test {
 protected:
  Fingerprints Crash(const Fingerprints& running) {
    return m_blame.OnCrash("server-" + std::to_string(++m_crashes), running, m_now_us);
  }
  bool IsQuarantined(const std::string& fingerprint) const {
    return m_blame.QuarantineLeftMs(fingerprint, m_now_us).has_value();
  }

  CrashBlame m_blame;
  int m_crashes = 0;
  int64_t m_now_us = 1'000 * kUsPerS;
};

TEST_F(CrashBlameTest, RequestIsQuarantinedAtTheThirdCrash) {
  Crash({"poison"});
  Crash({"poison"});
  EXPECT_FALSE(IsQuarantined("poison"));
  Crash({"poison"});
  EXPECT_TRUE(IsQuarantined("poison"));
}

TEST_F(CrashBlameTest, OneCrashCountsOnce) {
  for (int i = 0; i < 5; ++i) m_blame.OnCrash("server-1", Fingerprints{"a"}, m_now_us);
  EXPECT_FALSE(IsQuarantined("a"));
}

// The request that ran at earlier crashes explains the crash; the others ran beside it by chance.
TEST_F(CrashBlameTest, OnlyTheMostSuspectedRequestIsBlamed) {
  EXPECT_EQ(Crash({"a", "poison"}), (Fingerprints{"a", "poison"}));
  EXPECT_EQ(Crash({"b", "poison"}), Fingerprints{"poison"});
  EXPECT_EQ(Crash({"a", "b", "poison"}), Fingerprints{"poison"});
  EXPECT_TRUE(IsQuarantined("poison"));
  EXPECT_FALSE(IsQuarantined("a"));
}

TEST_F(CrashBlameTest, AnsweredRequestIsNotBlamed) {
  Crash({"a", "poison"});
  EXPECT_TRUE(m_blame.OnAnswered("a", m_now_us));
  EXPECT_FALSE(m_blame.OnAnswered("unknown", m_now_us));
  Crash({"a", "poison"});
  Crash({"a", "poison"});
  Crash({"a"});
  EXPECT_TRUE(IsQuarantined("poison"));
  EXPECT_FALSE(IsQuarantined("a"));
}

// A new version of the server may bear the request. If it does not, one crash is enough.
TEST_F(CrashBlameTest, QuarantineEndsAndIsLongerAfterAnotherCrash) {
  for (int i = 0; i < 3; ++i) Crash({"poison"});
  int64_t first_ms = *m_blame.QuarantineLeftMs("poison", m_now_us);
  m_now_us += (first_ms + 1) * 1'000;
  m_blame.Expire(m_now_us);
  EXPECT_FALSE(IsQuarantined("poison"));
  Crash({"poison"});
  EXPECT_GT(*m_blame.QuarantineLeftMs("poison", m_now_us), 3 * first_ms / 2);
}

TEST_F(CrashBlameTest, SuspectsAreForgotten) {
  Crash({"a"});
  m_now_us += 3'600 * kUsPerS;
  m_blame.Expire(m_now_us);
  EXPECT_TRUE(m_blame.empty());
}

TEST_F(CrashBlameTest, MemoryIsBoundedAndKeepsWhatIsSuspectedMost) {
  for (int i = 0; i < 3; ++i) Crash({"poison"});
  for (int i = 0; i < 2'000; ++i) Crash({"other-" + std::to_string(i)});
  EXPECT_LE(m_blame.size(), CrashBlame::kMaxSuspects);
  EXPECT_TRUE(IsQuarantined("poison"));
}

// Nodes that tell each other of the same crashes again and again must not prolong a quarantine.
TEST_F(CrashBlameTest, RepeatedNewsDoNotProlongTheQuarantine) {
  CrashBlame other;
  for (int i = 0; i < 3; ++i) Crash({"poison"});
  int64_t end_us = m_now_us + *m_blame.QuarantineLeftMs("poison", m_now_us) * 1'000;
  while (m_now_us < end_us + kUsPerS) {
    other.Merge(m_blame.Suspects(m_now_us), m_now_us);
    m_blame.Merge(other.Suspects(m_now_us), m_now_us);
    m_now_us += kUsPerS;
  }
  EXPECT_FALSE(IsQuarantined("poison"));
  EXPECT_FALSE(other.QuarantineLeftMs("poison", m_now_us));
}

TEST_F(CrashBlameTest, NewsFromAnotherNodeCountOnce) {
  CrashBlame other;
  Crash({"a"});
  EXPECT_EQ(other.Merge(m_blame.Suspects(m_now_us), m_now_us), Fingerprints{"a"});
  EXPECT_TRUE(other.Merge(m_blame.Suspects(m_now_us), m_now_us).empty());
}

class FamilyBlame : public CrashBlameTest {
 protected:
  // A server crashes while it runs a copy of the family that began this long ago.
  void CrashFamily(int64_t age_us) {
    std::vector<RunningFamily> running = {{kFamily, m_now_us - age_us}};
    m_blame.OnFamilyCrash("server-" + std::to_string(++m_crashes), running, {}, m_now_us);
  }
  void CrashTogether(int servers) {
    for (int i = 0; i < servers; ++i) CrashFamily(kUsPerS);
  }

  const std::string kFamily = std::string(CrashBlame::kFamilyPrefix) + "a";
};

TEST_F(FamilyBlame, IsQuarantinedAtTheThirdCrashOfCopiesThatBeganLater) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(IsQuarantined(kFamily));
    m_now_us += kUsPerS;
    CrashFamily(kUsPerS / 10);
  }
  EXPECT_TRUE(IsQuarantined(kFamily));
}

// Its requests ran when servers crashed together for another reason.
TEST_F(FamilyBlame, OneCommonCrashIsNotEnough) {
  CrashTogether(12);
  EXPECT_FALSE(IsQuarantined(kFamily));
  m_now_us += 5 * kUsPerS;
  CrashFamily(kUsPerS);
  EXPECT_TRUE(IsQuarantined(kFamily));
}

TEST_F(FamilyBlame, AnswerToOneOfItsRequestsClearsIt) {
  CrashTogether(2);
  m_now_us += kUsPerS;
  EXPECT_TRUE(m_blame.OnAnswered(kFamily, m_now_us));
  for (int i = 0; i < 3; ++i) {
    m_now_us += kUsPerS;
    CrashFamily(kUsPerS / 10);
  }
  EXPECT_FALSE(IsQuarantined(kFamily));
}

// Copies that do not change are found by their own fingerprint. Others of the family stay served.
TEST_F(FamilyBlame, RequestThatExplainsAsManyCrashesIsBlamedInstead) {
  for (int i = 0; i < 5; ++i) {
    m_now_us += kUsPerS;
    Fingerprints blamed = Crash({"poison"});
    std::vector<RunningFamily> running = {{kFamily, m_now_us - kUsPerS / 10}};
    m_blame.OnFamilyCrash("server-" + std::to_string(m_crashes), running, blamed, m_now_us);
  }
  EXPECT_TRUE(IsQuarantined("poison"));
  EXPECT_FALSE(IsQuarantined(kFamily));
}

// One node knows of the three crashes and another one that the last copy began later.
TEST_F(FamilyBlame, NodesFindTheQuarantineTogether) {
  CrashTogether(3);
  CrashBlame other;
  std::vector<RunningFamily> first = {{kFamily, m_now_us}};
  std::vector<RunningFamily> second = {{kFamily, m_now_us + kUsPerS}};
  other.OnFamilyCrash("other-1", first, {}, m_now_us);
  other.OnFamilyCrash("other-2", second, {}, m_now_us + 2 * kUsPerS);
  EXPECT_FALSE(other.IsQuarantined(kFamily, m_now_us));
  m_blame.Merge(other.Suspects(m_now_us), m_now_us);
  EXPECT_TRUE(IsQuarantined(kFamily));
  other.Merge(m_blame.Suspects(m_now_us), m_now_us);
  EXPECT_TRUE(other.IsQuarantined(kFamily, m_now_us));
}

TEST_F(FamilyBlame, StoredQuarantineIsTaken) {
  CrashSuspect stored{
      .fingerprint = kFamily, .crashes = {"1", "2", "3"}, .quarantine_left_ms = 100};
  m_blame.Merge(std::vector<CrashSuspect>{stored}, m_now_us);
  EXPECT_TRUE(IsQuarantined(kFamily));
}

// Nodes that see crashes and answers, some of them cut off for a time, and exchange what they know
// in random order: each request that is never answered is in quarantine on all nodes in the end,
// and no request that was answered is.
TEST(CrashBlameExploration, NodesAgreeWhateverTheOrderOfNews) {
  constexpr size_t kNodes = 6;
  constexpr uint64_t kSeeds = 200;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomSource random(seed);
    std::vector<CrashBlame> nodes(kNodes);
    int64_t now_us = kUsPerS;
    auto exchange = [&](size_t a, size_t b) {
      nodes[a].Merge(nodes[b].Suspects(now_us), now_us);
      nodes[b].Merge(nodes[a].Suspects(now_us), now_us);
    };
    for (int crash = 0; crash < 6; ++crash) {
      now_us += static_cast<int64_t>(random.Below(kUsPerS));
      Fingerprints running = {"poison", "innocent-" + std::to_string(random.Below(3)),
                              "unique-" + std::to_string(crash)};
      nodes[random.Below(kNodes)].OnCrash("server-" + std::to_string(crash), running, now_us);
      for (uint64_t i = random.Below(4); i > 0; --i) {
        exchange(random.Below(kNodes), random.Below(kNodes));
      }
      nodes[random.Below(kNodes)].OnAnswered("innocent-" + std::to_string(random.Below(3)), now_us);
    }
    for (CrashBlame& node : nodes) {
      for (int i = 0; i < 3; ++i) node.OnAnswered("innocent-" + std::to_string(i), now_us);
    }
    for (int round = 0; round < 40; ++round) {
      exchange(random.Below(kNodes), random.Below(kNodes));
    }
    for (size_t i = 1; i < kNodes; ++i) exchange(0, i);
    for (size_t i = 1; i < kNodes; ++i) exchange(0, i);
    for (const CrashBlame& node : nodes) {
      EXPECT_TRUE(node.QuarantineLeftMs("poison", now_us)) << "seed " << seed;
      EXPECT_EQ(node.QuarantinedCount(now_us), 1U) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace guavatrail
