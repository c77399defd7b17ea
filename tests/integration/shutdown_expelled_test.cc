// A daemon that is expelled while it drains still leaves: it joins again to
// give up what it holds, and takes nothing over.
#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

// Far below the drain limit, which is two minutes.
constexpr Millis kExitLimit(12000);

class ShutdownExpelled : public CallsTest
{
protected:
  ShutdownExpelled()
    : CallsTest(SoonClosed())
  {
  }

private:
  // A drain waits for a connection that a caller left open; here long enough
  // to take slots over again.
  static FleetSettings SoonClosed()
  {
    FleetSettings settings = Settings();
    settings.daemonKeys = "read_timeout_ms = 5000\n";
    return settings;
  }
};

TEST_F(ShutdownExpelled, LeavesThoughItWasExpelledInTheDrain)
{
  this->NewProgram();
  this->caller.GetProgram(this->transcript.id, this->owner);
  // Without the log it can't give its slots up, and the others take them.
  this->fleet.SetFault(this->OwnerLink("log-"), "cut");
  ChildProcess& leaving = this->fleet.Daemon(this->owner);
  leaving.Terminate();
  EXPECT_TRUE(WaitUntil(
    [this] {
      return this->caller.OwnerOfProgram(this->transcript.id) != this->owner;
    },
    kRecoveryTimeout));
  this->fleet.SetFault(this->OwnerLink("log-"), "none");
  const TimePoint start = Now();
  EXPECT_EQ(leaving.Wait(kExitLimit), 0);
  std::cerr << "left after " << MillisBetween(start, Now()) << " ms\n";
  EXPECT_GT(CountOccurrences(this->fleet.DumpLog(), "member_expired"), 0);
  this->caller.CompleteTurn(
    this->transcript, this->other, "second turn", kShortAnswerTokens);
  this->caller.ExpectHistory(this->transcript, this->other);
}

} // namespace
} // namespace tanagerseam::testing_support
