// Which calls a host that shuts down still serves, at the moments of a shutdown
// with 7.3 s until the exit.
#include "gateway/shutdown_schedule.h"

#include <gtest/gtest.h>

namespace tanagerseam {
namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Millis kUntilExit(7300);

class ShutdownScheduleTest : public ::testing::Test
{
protected:
  ShutdownScheduleTest() { this->schedule.Begin(kStart, kStart + kUntilExit); }

  // A call that comes aElapsed after the start and may last aTimeout.
  bool Serves(Millis aElapsed, Millis aTimeout) const
  {
    const TimePoint now = kStart + aElapsed;
    return this->schedule.Serves(now + aTimeout, now);
  }

  ShutdownSchedule schedule;
};

TEST(ShutdownSchedule, ServesEveryCallUntilTheShutdownBegins)
{
  const ShutdownSchedule schedule;
  EXPECT_FALSE(schedule.HasBegun());
  EXPECT_TRUE(schedule.Serves(kStart + std::chrono::hours(1), kStart));
}

// Guards against streams that the exit cuts off: one of up to 4 s was accepted
// 3.6 s before the exit.
TEST_F(ShutdownScheduleTest, ServesACallOnlyIfItEndsBeforeTheExit)
{
  {
    SCOPED_TRACE("a stream of 4 s");
    EXPECT_TRUE(this->Serves(Millis(3300), Millis(4000)));
    EXPECT_FALSE(this->Serves(Millis(3301), Millis(4000)));
    EXPECT_FALSE(this->Serves(Millis(3700), Millis(4000)));
  }
  {
    SCOPED_TRACE("a short call is served for longer");
    EXPECT_TRUE(this->Serves(Millis(3700), Millis(1200)));
    EXPECT_TRUE(this->Serves(Millis(6100), Millis(1200)));
    EXPECT_FALSE(this->Serves(Millis(6200), Millis(1200)));
  }
}

// Guards against a host that refuses all calls from SIGTERM on, where timeouts
// are longer than the whole shutdown: load balancers still send new clients.
TEST_F(ShutdownScheduleTest, ServesLongCallsWhileClientsMove)
{
  EXPECT_TRUE(this->Serves(Millis(0), Millis(60000)));
  EXPECT_TRUE(this->Serves(Millis(2999), Millis(60000)));
  EXPECT_FALSE(this->Serves(Millis(3000), Millis(60000)));
}

// Guards against a transition that outlasts a short shutdown.
TEST(ShutdownSchedule, EndsTheTransitionHalfWayToAnEarlyExit)
{
  ShutdownSchedule schedule;
  schedule.Begin(kStart, kStart + Millis(1000));
  const TimePoint late = kStart + Millis(60000);
  EXPECT_TRUE(schedule.Serves(late, kStart + Millis(499)));
  EXPECT_FALSE(schedule.Serves(late, kStart + Millis(500)));
  EXPECT_TRUE(schedule.Serves(kStart + Millis(900), kStart + Millis(800)));
}

} // namespace
} // namespace tanagerseam
