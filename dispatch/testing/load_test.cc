// The story of a fleet under loads at which there is too little for all: who is
// in time, who is late, who is refused. Each pattern is compared with the same
// arrivals under a policy that lacks what answers the pattern.
#include <gtest/gtest.h>

#include "dispatch/testing/fleet_model.h"

namespace tanagerseam {
namespace {

constexpr uint64_t kSeeds[] = { 1, 2, 3 };

ProgramTally
RunAll(const DispatchSettings& aSettings, LoadPattern aLoad)
{
  ProgramTally sum;
  for (uint64_t seed : kSeeds) {
    aLoad.seed = seed;
    const ProgramTally tally = FleetModel(aSettings, aLoad).Run();
    sum.inTime += tally.inTime;
    sum.late += tally.late;
    sum.lost += tally.lost;
  }
  return sum;
}

std::string
Show(const ProgramTally& aTally)
{
  return std::to_string(aTally.inTime) + " in time, " +
         std::to_string(aTally.late) + " late, " + std::to_string(aTally.lost) +
         " lost";
}

// A prompt weighs only what its own call waits for it.
DispatchSettings
WithoutRegardForTheBatch()
{
  DispatchSettings settings;
  settings.batchDelay = 0;
  return settings;
}

// Every endpoint is compared, so that all hosts see the same best one.
DispatchSettings
WithoutDraws()
{
  DispatchSettings settings;
  settings.drawnEndpoints = FleetModel::kEngines;
  return settings;
}

// Nothing is refused.
DispatchSettings
WithoutAdmission()
{
  DispatchSettings settings;
  settings.admitLoad = 1000;
  return settings;
}

LoadPattern
CalmDay()
{
  LoadPattern load;
  load.programsPerSecond = 30;
  return load;
}

LoadPattern
BusyDay()
{
  LoadPattern load;
  load.programsPerSecond = 50;
  return load;
}

LoadPattern
BurstOfPrograms()
{
  LoadPattern load;
  load.programsPerSecond = 40;
  load.burst = 2.2;
  load.burstFromMillis = 6000;
  load.burstUntilMillis = 12000;
  return load;
}

TEST(LoadStory, OnACalmDayProgramsAreInTime)
{
  const ProgramTally tally = RunAll(DispatchSettings{}, CalmDay());
  EXPECT_GE(tally.InTimePart(), 0.99) << Show(tally);
}

TEST(LoadStory, HostsThatSeeLateFiguresDoNotAllTakeTheSameEndpoint)
{
  const ProgramTally before = RunAll(WithoutDraws(), BusyDay());
  const ProgramTally after = RunAll(DispatchSettings{}, BusyDay());
  EXPECT_GT(after.InTimePart(), before.InTimePart() + 0.05)
    << "before: " << Show(before) << "; after: " << Show(after);
}

TEST(LoadStory, BusyEndpointsAreSparedPromptsThatAnotherHolds)
{
  const ProgramTally before = RunAll(WithoutRegardForTheBatch(), BusyDay());
  const ProgramTally after = RunAll(DispatchSettings{}, BusyDay());
  EXPECT_GT(after.InTimePart(), before.InTimePart() + 0.05)
    << "before: " << Show(before) << "; after: " << Show(after);
}

TEST(LoadStory, ABurstIsRefusedInPartSoThatTheRestCanEnd)
{
  const ProgramTally before = RunAll(WithoutAdmission(), BurstOfPrograms());
  const ProgramTally after = RunAll(DispatchSettings{}, BurstOfPrograms());
  EXPECT_GT(after.InTimePart(), before.InTimePart() + 0.05)
    << "before: " << Show(before) << "; after: " << Show(after);
  {
    SCOPED_TRACE("and fewer are lost");
    EXPECT_LT(after.lost, before.lost);
  }
}

} // namespace
} // namespace tanagerseam
