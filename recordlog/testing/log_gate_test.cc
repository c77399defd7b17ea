// The story of a log that goes away: short failures change nothing, an absence
// costs four calls a second, and its return is noticed by the first good
// answer.
#include <gtest/gtest.h>

#include "recordlog/log_gate.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

TEST(LogGateStory, AnAbsenceCostsFewCalls)
{
  LogGate gate;
  EXPECT_TRUE(gate.MayAsk(At(0)));
  gate.Failed(At(0));
  {
    SCOPED_TRACE("a short failure shuts nothing");
    EXPECT_TRUE(gate.MayAsk(At(100)));
  }
  {
    SCOPED_TRACE("a long one lets a call pass now and then");
    int asked = 0;
    for (int64_t now = 400; now < 10400; ++now) {
      if (gate.MayAsk(At(now))) {
        ++asked;
        gate.Failed(At(now));
      }
    }
    EXPECT_EQ(asked, 40);
    EXPECT_TRUE(gate.Shut(At(10400)));
  }
  {
    SCOPED_TRACE("a good answer opens it for all");
    gate.Answered();
    EXPECT_TRUE(gate.MayAsk(At(10401)));
    EXPECT_TRUE(gate.MayAsk(At(10401)));
    EXPECT_FALSE(gate.Shut(At(10401)));
  }
}

} // namespace
} // namespace tanagerseam
