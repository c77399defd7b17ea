// Cases of contention in the fleet model, and their outcome over several seeds.
//
//   Outcome basic = RunFleet(PlacementMode::kBasic, ManySubAgents());
#ifndef TANAGERSEAM_DISPATCH_TESTING_CONTENTION_CASES_H_
#define TANAGERSEAM_DISPATCH_TESTING_CONTENTION_CASES_H_

#include <string>

#include "dispatch/testing/fleet_model.h"

namespace tanagerseam {

inline DispatchSettings
WithMode(PlacementMode aMode)
{
  DispatchSettings settings;
  settings.placement = aMode;
  settings.prefillTokensPerMilli = FleetModel::kPrefillTokensPerMilli;
  return settings;
}

// The size of deployment A of docs/design/contention.md.
inline LoadPattern
ManySubAgents()
{
  LoadPattern load;
  load.durationMillis = 15000;
  load.hosts = 77;
  load.engines = 48;
  load.reportIntervalMillis = 500;
  load.slotsPerEngine = 6;
  load.cacheTokens = 48750;
  load.turnsPerProgram = 7;
  load.subAgentProbability = 0.25;
  load.programsPerSecond = 20;
  return load;
}

// Sums over seeds, with the tail of completion times as their mean.
struct Outcome
{
  double meanMillis = 0;
  double tailMillis = 0;
  double cachedFraction = 0;
  // Relative to an even share.
  double busiestEngine = 0;

  std::string ToString() const
  {
    return "mean " + std::to_string(this->meanMillis) + " ms, 95% within " +
           std::to_string(this->tailMillis) + " ms, cached " +
           std::to_string(this->cachedFraction) + ", busiest engine " +
           std::to_string(this->busiestEngine) + " of its share";
  }
};

inline Outcome
RunFleet(PlacementMode aMode, LoadPattern aLoad)
{
  constexpr uint64_t kSeeds[] = { 1, 2, 3, 4 };
  Outcome outcome;
  for (uint64_t seed : kSeeds) {
    aLoad.seed = seed;
    const ProgramTally tally = FleetModel(WithMode(aMode), aLoad).Run();
    const auto weight = 1.0 / std::size(kSeeds);
    outcome.meanMillis += weight * tally.MeanDuration();
    outcome.tailMillis +=
      weight * static_cast<double>(tally.DurationQuantile(0.95));
    outcome.cachedFraction += weight * tally.CachedFraction();
    outcome.busiestEngine +=
      weight * tally.BusiestEngineShare() * aLoad.engines;
  }
  return outcome;
}

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_TESTING_CONTENTION_CASES_H_
