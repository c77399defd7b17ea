// The breaker ignores short failures, allows four calls a second during an
// outage, and closes on the first success.
#include <gtest/gtest.h>

#include "recordlog/log_gate.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

TEST(LogCircuitBreakerTest, LimitsCallsDuringOutage)
{
  LogCircuitBreaker breaker;
  EXPECT_TRUE(breaker.AllowCall(At(0)));
  breaker.OnFailure(At(0));
  {
    SCOPED_TRACE("a short failure does not open the breaker");
    EXPECT_TRUE(breaker.AllowCall(At(100)));
  }
  {
    SCOPED_TRACE("an open breaker allows one probe per interval");
    int allowed = 0;
    for (int64_t now = 400; now < 10400; ++now) {
      if (breaker.AllowCall(At(now))) {
        ++allowed;
        breaker.OnFailure(At(now));
      }
    }
    EXPECT_EQ(allowed, 40);
    EXPECT_TRUE(breaker.IsOpen(At(10400)));
  }
  {
    SCOPED_TRACE("a success closes the breaker for all calls");
    breaker.OnSuccess();
    EXPECT_TRUE(breaker.AllowCall(At(10401)));
    EXPECT_TRUE(breaker.AllowCall(At(10401)));
    EXPECT_FALSE(breaker.IsOpen(At(10401)));
  }
}

} // namespace
} // namespace tanagerseam
