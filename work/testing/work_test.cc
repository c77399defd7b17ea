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

} // namespace
} // namespace tanagerseam
