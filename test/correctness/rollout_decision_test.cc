// Guards against a bad server version that is not rolled back, or too late, and against a good one
// that is rolled back or not completed before the time limit.
#include <gtest/gtest.h>

#include "rollout_model.h"

namespace guavatrail {
namespace {

constexpr uint64_t kSeeds = 40;
// Bad answers until the verdict. A version may give 50 and then answer for 5 s more.
constexpr int64_t kMaxBad = 60;

struct Result {
  int rolled_back = 0;
  int completed = 0;
  int64_t most_bad = 0;
  double latest_s = 0;
  double earliest_s = 1e9;
};

// Runs the model with many seeds.
template <typename Prepare>
Result RunSeeds(Prepare prepare, double step_s = 60) {
  Result result;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutModel model(seed, step_s);
    prepare(model);
    RolloutVerdict verdict = model.Run();
    if (verdict.action == RolloutAction::kRollBack) ++result.rolled_back;
    if (verdict.action == RolloutAction::kComplete) ++result.completed;
    result.most_bad = std::max(result.most_bad, model.bad_answers());
    result.latest_s = std::max(result.latest_s, model.now_s());
    result.earliest_s = std::min(result.earliest_s, model.now_s());
  }
  return result;
}

void ExpectRolledBack(const Result& result) {
  EXPECT_EQ(result.rolled_back, static_cast<int>(kSeeds));
  EXPECT_LE(result.most_bad, kMaxBad);
}

void ExpectCompleted(const Result& result, double step_s = 60) {
  EXPECT_EQ(result.completed, static_cast<int>(kSeeds));
  EXPECT_GE(result.earliest_s, std::min(0.7 * step_s, step_s - 6));
  EXPECT_LE(result.latest_s, 0.87 * step_s);
}

TEST(RolloutDecisionTest, GoodVersionIsCompletedBeforeTheTimeLimit) {
  for (int canaries : {1, 2, 6}) {
    for (double rate : {0.1, 1.0, 5.0, 30.0}) {
      SCOPED_TRACE(std::to_string(canaries) + " canaries, rate " + std::to_string(rate));
      ExpectCompleted(RunSeeds([&](RolloutModel& model) { model.AddFleet(canaries, rate); }));
    }
  }
}

TEST(RolloutDecisionTest, ShortTimeLimitIsKept) {
  Result result = RunSeeds([](RolloutModel& model) { model.AddFleet(2, 5); }, 20);
  EXPECT_EQ(result.completed, static_cast<int>(kSeeds));
  EXPECT_LE(result.latest_s, 14.01);
}

TEST(RolloutDecisionTest, FailingVersionIsRolledBack) {
  for (int canaries : {1, 2, 6}) {
    for (double share : {0.1, 0.3, 1.0}) {
      for (double rate : {2.0, 5.0, 30.0}) {
        SCOPED_TRACE(std::to_string(canaries) + " canaries, rate " + std::to_string(rate) +
                     ", failing " + std::to_string(share));
        ExpectRolledBack(
            RunSeeds([&](RolloutModel& model) { model.AddFleet(canaries, rate, 1, share); }));
      }
    }
  }
}

TEST(RolloutDecisionTest, SlowVersionIsRolledBack) {
  for (int canaries : {1, 2, 6}) {
    for (double factor : {4.0, 10.0}) {
      for (double rate : {2.0, 5.0, 8.0}) {
        SCOPED_TRACE(std::to_string(canaries) + " canaries, rate " + std::to_string(rate) +
                     ", factor " + std::to_string(factor));
        Result result =
            RunSeeds([&](RolloutModel& model) { model.AddFleet(canaries, rate, factor); });
        EXPECT_EQ(result.rolled_back, static_cast<int>(kSeeds));
        // 50, and those of 5 s.
        EXPECT_LE(result.most_bad, 50 + 5 * rate);
      }
    }
  }
}

TEST(RolloutDecisionTest, FaultThatAppearsLateIsFound) {
  for (double share : {0.15, 1.0}) {
    ExpectRolledBack(RunSeeds([&](RolloutModel& model) {
      model.AddFleet(2, 6);
      for (ModelServer& server : model.servers()) {
        if (!server.is_canary) continue;
        server.answer = [&model, share](std::string_view kind, double at_s) {
          return model.Answer(kind, RolloutModel::MeanUs(kind), at_s < 25 ? 0 : share);
        };
      }
    }));
  }
}

TEST(RolloutDecisionTest, FaultOfOneWorkKindIsFound) {
  for (double share : {0.3, 1.0}) {
    ExpectRolledBack(RunSeeds([&](RolloutModel& model) {
      model.AddFleet(2, 6);
      for (ModelServer& server : model.servers()) {
        if (!server.is_canary) continue;
        server.answer = [&model, share](std::string_view kind, double) {
          return model.Answer(kind, RolloutModel::MeanUs(kind), kind == "report" ? share : 0);
        };
      }
    }));
  }
}

// Among the failures of all servers for another kind, it does not show in the sum.
TEST(RolloutDecisionTest, FaultOfOneWorkKindIsFoundAmongOtherFailures) {
  Result result = RunSeeds([](RolloutModel& model) {
    model.AddFleet(2, 6);
    for (ModelServer& server : model.servers()) {
      server.answer = [&model, is_canary = server.is_canary](std::string_view kind, double) {
        double share = kind == "lookup" ? 0.1 : (is_canary ? 0.3 : 0);
        return model.Answer(kind, RolloutModel::MeanUs(kind), share);
      };
    }
  });
  EXPECT_EQ(result.rolled_back, static_cast<int>(kSeeds));
}

// In the sum of the whole rollout, it shows only after minutes.
TEST(RolloutDecisionTest, LateFaultOfALongRolloutIsFoundSoon) {
  constexpr double kFaultS = 150;
  Result result = RunSeeds(
      [](RolloutModel& model) {
        model.AddFleet(2, 6);
        for (ModelServer& server : model.servers()) {
          server.answer = [&model, is_canary = server.is_canary](std::string_view kind,
                                                                 double at_s) {
            double share = is_canary && at_s > kFaultS ? 0.3 : 0.05;
            return model.Answer(kind, RolloutModel::MeanUs(kind), share);
          };
        }
      },
      300);
  EXPECT_EQ(result.rolled_back, static_cast<int>(kSeeds));
  EXPECT_GT(result.earliest_s, kFaultS);
  EXPECT_LE(result.latest_s, kFaultS + 35);
}

TEST(RolloutDecisionTest, ColdServersAreNotTakenForASlowVersion) {
  ExpectCompleted(RunSeeds([](RolloutModel& model) {
    model.AddFleet(3, 6);
    for (ModelServer& server : model.servers()) {
      if (!server.is_canary) continue;
      server.start_s = 2;
      server.answer = [&model](std::string_view kind, double at_s) {
        return model.Answer(kind, RolloutModel::MeanUs(kind) * (at_s < 5 ? 8 : 1), 0);
      };
    }
  }));
}

TEST(RolloutDecisionTest, SlownessOfAllServersIsNotTakenForThatOfTheVersion) {
  ExpectCompleted(RunSeeds([](RolloutModel& model) {
    model.AddFleet(2, 6);
    for (ModelServer& server : model.servers()) {
      server.answer = [&model](std::string_view kind, double at_s) {
        bool is_slow = at_s > 20 && at_s < 30;
        return model.Answer(kind, RolloutModel::MeanUs(kind) * (is_slow ? 6 : 1), 0);
      };
    }
  }));
}

TEST(RolloutDecisionTest, FailuresOfAllServersAreNotTakenForThoseOfTheVersion) {
  for (double share : {0.05, 0.3, 1.0}) {
    SCOPED_TRACE(share);
    ExpectCompleted(RunSeeds([&](RolloutModel& model) {
      model.AddFleet(2, 6);
      for (ModelServer& server : model.servers()) {
        server.answer = [&model, share](std::string_view kind, double at_s) {
          bool is_failing = at_s > 15 && at_s < 35;
          return model.Answer(kind, RolloutModel::MeanUs(kind), is_failing ? share : 0);
        };
      }
    }));
  }
}

TEST(RolloutDecisionTest, SlowTimeOfOneServerIsNotTakenForThatOfTheVersion) {
  for (int canaries : {1, 2, 6}) {
    SCOPED_TRACE(canaries);
    ExpectCompleted(RunSeeds([&](RolloutModel& model) {
      model.AddFleet(canaries, 5);
      model.servers().back().answer = [&model](std::string_view kind, double at_s) {
        bool is_slow = at_s > 20 && at_s < 26.5;
        return model.Answer(kind, RolloutModel::MeanUs(kind) * (is_slow ? 8 : 1), 0);
      };
    }));
  }
}

TEST(RolloutDecisionTest, NothingIsDecidedWithoutServersOfTheVersion) {
  RolloutModel model(1);
  model.AddFleet(0, 0);
  EXPECT_EQ(model.Run().action, RolloutAction::kKeep);
}

// There would be no server left.
TEST(RolloutDecisionTest, NothingIsRolledBackWithoutOldServers) {
  RolloutModel model(1);
  model.AddServer(true, 5, 1, 0.5);
  EXPECT_EQ(model.Run().action, RolloutAction::kComplete);
}

}  // namespace
}  // namespace guavatrail
