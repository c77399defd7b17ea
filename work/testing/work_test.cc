// Tests of what is known of the work of endpoints.
#include <gtest/gtest.h>

#include <cmath>

#include "work/work.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

// Guards against a pace that is believed long after it has changed.
TEST(EndpointPaceTest, DecaysToTheLongTermSlowness)
{
  EndpointPace pace;
  EXPECT_DOUBLE_EQ(pace.Slowness(1.4, At(0)), 1.4);
  ASSERT_TRUE(pace.OnReport(2.5, At(0)));
  EXPECT_NEAR(pace.Slowness(1.4, At(0)), 1.4 * 2.5, 0.2);
  EXPECT_NEAR(pace.Slowness(1.4, At(300)), 1.4 * (1 + 1.5 / 4), 0.05);
  EXPECT_NEAR(pace.Slowness(1.4, At(3000)), 1.4, 0.01);
  {
    SCOPED_TRACE("relative to the endpoint's mean, which the long-term "
                 "slowness contains");
    for (int i = 0; i < 500; ++i) {
      pace.OnReport(1.43, At(4000));
    }
    EXPECT_NEAR(pace.Slowness(1.43, At(4000)), 1.43, 0.02);
  }
}

// Guards against an endpoint that shuts itself out, or draws all calls, by an
// absurd figure.
TEST(EndpointPaceTest, IgnoresAbsurdFigures)
{
  EndpointPace pace;
  const double kAbsurd[] = { std::nan(""), 0.0, -1.0, 101.0, INFINITY };
  for (const double absurd : kAbsurd) {
    EXPECT_FALSE(pace.OnReport(absurd, At(0)));
  }
  EXPECT_FALSE(pace.IsStated());
}

// Guards against an absurd hint that makes a call look enormous or free, and
// against trust in hints that are wrong by ten times.
TEST(CostPredictorTest, LearnsWhatHintsAreWorth)
{
  CostPredictor predictor;
  CallTraits call{ "ask", "org", "program", "session", 1000, 0 };
  for (int i = 0; i < 100; ++i) {
    call.program = "program-" + std::to_string(i);
    call.session = call.program;
    call.outputTokensHint = i % 2 == 0 ? 1000 : 10;
    predictor.OnEnded(call, 100, 250);
  }
  call.program = "another";
  call.session = "another";
  for (const int64_t absurd : { -5L, 0L, 1000000000L }) {
    call.outputTokensHint = absurd;
    EXPECT_NEAR(predictor.Predict(call).outputTokens, 100, 1);
  }
  call.outputTokensHint = 1000;
  EXPECT_NEAR(predictor.Predict(call).outputTokens, 100, 10);
  {
    SCOPED_TRACE("a session that differs is learned in a few turns");
    for (int i = 0; i < 8; ++i) {
      predictor.OnEnded(call, 900, 250);
    }
    EXPECT_GT(predictor.Predict(call).outputTokens, 600);
    EXPECT_GT(predictor.Predict(call).errorFactor, 1);
  }
  {
    SCOPED_TRACE("the cost of a plain call is its duration");
    CallTraits plain{ "tool" };
    predictor.OnEnded(plain, 0, 40);
    EXPECT_DOUBLE_EQ(predictor.Predict(plain).millis, 40);
  }
}

// Guards against averages of programs that ended, which would grow for ever.
TEST(CostPredictorTest, MemoryIsBounded)
{
  CostPredictor predictor;
  for (int i = 0; i < 20000; ++i) {
    predictor.OnEnded({ "ask", "", std::to_string(i), "", 100 }, 50, 100);
  }
  EXPECT_EQ(predictor.Averages(), CostPredictor::kMaxAverages);
}

// Guards against work that stays behind when calls end, hosts die or reports
// are replaced.
TEST(OutstandingWorkTest, SumsCallsAndReportsUntilTheyEndOrExpire)
{
  OutstandingWork work;
  work.Begin(1, 7, 200);
  work.Begin(2, 7, 100);
  work.Progress(1, 150);
  EXPECT_DOUBLE_EQ(work.Own(7), 150);
  {
    SCOPED_TRACE("a call that outlives its prediction still has work");
    work.Progress(1, 500);
    EXPECT_DOUBLE_EQ(work.Own(7), 200);
  }
  work.OnPeerReport("host-2", { { 7, 2 } }, { { 7, 300 } }, At(0));
  work.OnPeerReport("old-build", { { 7, 1 } }, {}, At(0));
  EXPECT_DOUBLE_EQ(work.Others(7, std::nullopt, 50), 350);
  {
    SCOPED_TRACE("the endpoint says that fewer calls, or more, are there");
    EXPECT_DOUBLE_EQ(work.Others(7, 1.5, 50), 175);
    EXPECT_DOUBLE_EQ(work.Others(7, 4, 50), 400);
    EXPECT_DOUBLE_EQ(work.Others(7, 0, 50), 0);
  }
  work.OnPeerReport("host-2", { { 7, 1 } }, { { 7, 80 } }, At(1000));
  work.Expire(At(1501));
  EXPECT_DOUBLE_EQ(work.Others(7, std::nullopt, 50), 80);
  work.Expire(At(2501));
  EXPECT_DOUBLE_EQ(work.Others(7, std::nullopt, 50), 0);
  work.End(1);
  work.End(2);
  EXPECT_DOUBLE_EQ(work.OwnTotal(), 0);
  EXPECT_TRUE(work.OwnWorks().empty());
}

} // namespace
} // namespace tanagerseam
