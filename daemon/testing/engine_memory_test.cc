// Cached prefixes are released for finished programs at once, for unknown ones
// after a grace period, and never for active ones.
#include <gtest/gtest.h>

#include "daemon/engine_memory.h"

namespace tanagerseam {
namespace {

using Names = std::vector<std::string>;

class CacheReleasePolicyTest : public testing::Test
{
protected:
  Names Report(const Names& aHeldPrograms)
  {
    return this->policy.SelectReleases(
      "engine",
      aHeldPrograms,
      [this](const std::string& aId) { return this->statuses[aId]; },
      this->now);
  }

  TimePoint now = TimePoint() + Millis(1000000);
  CacheReleasePolicy policy;
  // kUnknown if absent.
  std::map<std::string, ProgramStatus> statuses;
};

TEST_F(CacheReleasePolicyTest, ReleasesFinishedAndLongUnknownPrograms)
{
  this->statuses = { { "finished", ProgramStatus::kFinished },
                     { "active", ProgramStatus::kActive } };
  const Names held{ "finished", "active", "unknown" };
  EXPECT_EQ(this->Report(held), Names{ "finished" });
  {
    SCOPED_TRACE("reports lag, so the release is not repeated at once");
    this->now += Millis(250);
    EXPECT_EQ(this->Report(held), Names{});
  }
  {
    SCOPED_TRACE(
      "the release is repeated while the engine still holds the program");
    this->now += CacheReleasePolicy::kReleaseRetryInterval;
    EXPECT_EQ(this->Report(held), Names{ "finished" });
  }
  this->now += CacheReleasePolicy::kUnknownGracePeriod;
  EXPECT_EQ(this->Report(held), (Names{ "finished", "unknown" }));
}

TEST_F(CacheReleasePolicyTest, KeepsProgramThatReplayShowsWithinGracePeriod)
{
  EXPECT_EQ(this->Report({ "new" }), Names{});
  this->now += CacheReleasePolicy::kUnknownGracePeriod - Millis(1);
  EXPECT_EQ(this->Report({ "new" }), Names{});
  this->statuses["new"] = ProgramStatus::kActive;
  this->now += CacheReleasePolicy::kUnknownGracePeriod;
  EXPECT_EQ(this->Report({ "new" }), Names{});
}

TEST_F(CacheReleasePolicyTest, ResetRestartsGracePeriod)
{
  EXPECT_EQ(this->Report({ "new" }), Names{});
  this->now += CacheReleasePolicy::kUnknownGracePeriod - Millis(1);
  this->policy.Reset();
  this->now += Millis(1);
  EXPECT_EQ(this->Report({ "new" }), Names{});
}

TEST(IdleProgramDetectorTest, FindsProgramsWithoutNewTurnsOrOpenCall)
{
  IdleProgramDetector detector;
  const Millis maxIdleTime(1000);
  TimePoint now = TimePoint() + Millis(1000000);
  std::map<std::string, IdleProgramDetector::Activity> activities{
    { "used", { 1, false } }, { "open", { 1, true } }, { "idle", { 1, false } }
  };
  EXPECT_EQ(detector.FindIdle(activities, maxIdleTime, now), Names{});
  now += maxIdleTime;
  activities["used"].turns = 2;
  EXPECT_EQ(detector.FindIdle(activities, maxIdleTime, now), Names{ "idle" });
  activities["open"].hasOpenCall = false;
  now += maxIdleTime;
  EXPECT_EQ(detector.FindIdle(activities, maxIdleTime, now),
            (Names{ "idle", "open", "used" }));
}

} // namespace
} // namespace tanagerseam
