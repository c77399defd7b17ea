// Simulates a fleet under load, also beyond its capacity, and counts programs
// that end in time, end late, or are lost. Each overload pattern is compared
// with the same arrivals under a policy without the mechanism that handles it.
#include <gtest/gtest.h>

#include "dispatch/testing/fleet_model.h"

namespace tanagerseam {
namespace {

constexpr uint64_t kSeeds[] = { 1, 2, 3 };

ProgramTally
RunAllSeeds(const DispatchSettings& aSettings, LoadPattern aLoad)
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
ToString(const ProgramTally& aTally)
{
  return std::to_string(aTally.inTime) + " in time, " +
         std::to_string(aTally.late) + " late, " + std::to_string(aTally.lost) +
         " lost";
}

// Prefill counts only for the call itself, not for the batch that it stalls.
DispatchSettings
WithoutPrefillStallCost()
{
  DispatchSettings settings;
  settings.prefillStallWeight = 0;
  return settings;
}

// Every endpoint is compared, so all hosts pick the same one.
DispatchSettings
WithoutSampling()
{
  DispatchSettings settings;
  settings.sampledEndpoints = FleetModel::kEngines;
  return settings;
}

DispatchSettings
WithoutAdmissionControl()
{
  DispatchSettings settings;
  settings.admissionLimit = 1000;
  return settings;
}

LoadPattern
LightLoad()
{
  LoadPattern load;
  load.programsPerSecond = 30;
  return load;
}

LoadPattern
HeavyLoad()
{
  LoadPattern load;
  load.programsPerSecond = 50;
  return load;
}

LoadPattern
BurstLoad()
{
  LoadPattern load;
  load.programsPerSecond = 40;
  load.burstFactor = 2.2;
  load.burstFromMillis = 6000;
  load.burstUntilMillis = 12000;
  return load;
}

TEST(DispatcherLoadTest, ProgramsEndInTimeUnderLightLoad)
{
  const ProgramTally tally = RunAllSeeds(DispatchSettings{}, LightLoad());
  EXPECT_GE(tally.InTimeFraction(), 0.99) << ToString(tally);
}

TEST(DispatcherLoadTest, SamplingAvoidsHerdingOnStaleReports)
{
  const ProgramTally baseline = RunAllSeeds(WithoutSampling(), HeavyLoad());
  const ProgramTally actual = RunAllSeeds(DispatchSettings{}, HeavyLoad());
  EXPECT_GT(actual.InTimeFraction(), baseline.InTimeFraction() + 0.05)
    << "baseline: " << ToString(baseline) << "; actual: " << ToString(actual);
}

TEST(DispatcherLoadTest, PrefillStallCostKeepsUncachedPromptsOffBusyEndpoints)
{
  const ProgramTally baseline =
    RunAllSeeds(WithoutPrefillStallCost(), HeavyLoad());
  const ProgramTally actual = RunAllSeeds(DispatchSettings{}, HeavyLoad());
  EXPECT_GT(actual.InTimeFraction(), baseline.InTimeFraction() + 0.05)
    << "baseline: " << ToString(baseline) << "; actual: " << ToString(actual);
}

TEST(DispatcherLoadTest, AdmissionControlLetsAdmittedProgramsFinishInBurst)
{
  const ProgramTally baseline =
    RunAllSeeds(WithoutAdmissionControl(), BurstLoad());
  const ProgramTally actual = RunAllSeeds(DispatchSettings{}, BurstLoad());
  EXPECT_GT(actual.InTimeFraction(), baseline.InTimeFraction() + 0.05)
    << "baseline: " << ToString(baseline) << "; actual: " << ToString(actual);
  {
    SCOPED_TRACE("fewer programs are lost");
    EXPECT_LT(actual.lost, baseline.lost);
  }
}

} // namespace
} // namespace tanagerseam
