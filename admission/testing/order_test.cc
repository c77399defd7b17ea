// The order of queued calls, and the slots that they may use.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

PendingCall
CallOf(int aPriority, bool aBegins = false)
{
  PendingCall call;
  call.id = 7;
  call.priority = aPriority;
  call.beginsProgram = aBegins;
  call.queuedAt = At(0);
  call.programDeadline = At(5000);
  call.deadline = At(9000);
  return call;
}

// Guards against new programs that delay those which were admitted before.
TEST(OrderTest, TurnsUnderWayGoBeforeFirstTurnsOfTheSamePriority)
{
  PendingCall first = CallOf(1, true);
  first.programDeadline = At(1000);
  EXPECT_TRUE(GoesBefore(CallOf(1), first, At(0)));
  EXPECT_FALSE(GoesBefore(first, CallOf(1), At(0)));
  {
    SCOPED_TRACE("a more urgent first turn goes before them");
    EXPECT_TRUE(GoesBefore(CallOf(0, true), CallOf(1), At(0)));
  }
  {
    SCOPED_TRACE("calls past their program's time go last");
    PendingCall late = CallOf(0);
    late.programDeadline = At(10);
    EXPECT_TRUE(GoesBefore(CallOf(1, true), late, At(20)));
  }
}

class SlotFactorTest : public testing::Test
{
protected:
  double FactorOf(const PendingCall& aCall, int64_t aNowMillis) const
  {
    return this->admission.SlotFactor(
      aCall, Millis(200), SlotRules{}, At(aNowMillis));
  }

  ServiceAdmission admission;
};

// Guards against less urgent calls that fill the endpoints' queues, which
// urgent calls can't overtake.
TEST_F(SlotFactorTest, OnlyUrgentCallsGoBeyondTheSlots)
{
  for (int i = 0; i < 4; ++i) {
    this->admission.RecordArrival(0, At(0));
    this->admission.RecordArrival(2, At(0));
  }
  EXPECT_EQ(this->FactorOf(CallOf(0), 10), 1);
  EXPECT_EQ(this->FactorOf(CallOf(0), 50), 1.5);
  {
    SCOPED_TRACE("less urgent ones leave headroom, however long they wait");
    EXPECT_LT(this->FactorOf(CallOf(2), 10), 1);
    EXPECT_LT(this->FactorOf(CallOf(2), 4000), 1);
  }
  {
    SCOPED_TRACE("unless their program is about to miss its time");
    EXPECT_EQ(this->FactorOf(CallOf(2), 4800), 1.5);
  }
  {
    SCOPED_TRACE("or they would starve");
    PendingCall late = CallOf(2);
    late.programDeadline = At(100);
    EXPECT_LT(this->FactorOf(late, 4400), 1);
    EXPECT_EQ(this->FactorOf(late, 4600), 1.5);
  }
}

// Guards against slots that stay idle where no urgent calls arrive.
TEST_F(SlotFactorTest, HeadroomFollowsTheUrgentArrivals)
{
  this->admission.RecordArrival(2, At(0));
  EXPECT_EQ(this->FactorOf(CallOf(2), 10), 1);
  EXPECT_EQ(this->FactorOf(CallOf(2), 50), 1.5);
  {
    SCOPED_TRACE("few urgent calls, little headroom");
    for (int i = 0; i < 98; ++i) {
      this->admission.RecordArrival(2, At(0));
    }
    this->admission.RecordArrival(0, At(0));
    EXPECT_NEAR(this->FactorOf(CallOf(2), 0), 0.99, 0.001);
  }
  {
    SCOPED_TRACE("urgent calls are forgotten when they have ceased");
    EXPECT_EQ(this->FactorOf(CallOf(2), 60000), 1.5);
  }
}

} // namespace
} // namespace tanagerseam
