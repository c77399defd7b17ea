// Compares adaptive placement with basic placement in the same simulated fleet
// and under the same arrivals.
#include <gtest/gtest.h>

#include <cmath>

#include "dispatch/testing/fleet_model.h"

namespace tanagerseam {
namespace {

DispatchSettings
WithMode(PlacementMode aMode)
{
  DispatchSettings settings;
  settings.placement = aMode;
  settings.prefillTokensPerMilli = FleetModel::kPrefillTokensPerMilli;
  return settings;
}

// The size of deployment A of docs/design/contention.md.
LoadPattern
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

Outcome
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

// Guards against calls that spill from their program's preferred endpoint to
// endpoints that hold nothing of the program: each of them prefills the whole
// prompt there and stalls the batch. It happens most when a program starts
// several sub-agents at once, whose prompts begin with its own.
TEST(ContentionTest, ManySubAgentsFindTheirProgramsPromptCached)
{
  const Outcome basic = RunFleet(PlacementMode::kBasic, ManySubAgents());
  const Outcome adaptive = RunFleet(PlacementMode::kAdaptive, ManySubAgents());
  SCOPED_TRACE("basic: " + basic.ToString() +
               "; adaptive: " + adaptive.ToString());
  EXPECT_GT(adaptive.cachedFraction, basic.cachedFraction + 0.1);
  EXPECT_LT(adaptive.meanMillis, basic.meanMillis);
  EXPECT_LT(adaptive.tailMillis, basic.tailMillis);
  {
    SCOPED_TRACE("and the calls do not converge on few engines");
    EXPECT_LE(adaptive.busiestEngine, 1.5);
  }
}

// Guards against hosts that rank the alternates of a program differently, so
// that its calls find no warm cache where another host has sent it.
TEST(ContentionTest, AllHostsRankTheAlternatesOfAProgramAlike)
{
  constexpr int kEndpoints = 48;
  std::vector<DispatchEndpoint> endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    endpoints.push_back({ "engine-" + std::to_string(i), "zone", 1 });
  }
  const auto placedBy = [&endpoints](const std::string& aHost) {
    DispatchSettings settings = WithMode(PlacementMode::kAdaptive);
    settings.host = aHost;
    Dispatcher dispatcher(settings);
    dispatcher.SetEndpoints("models", endpoints);
    std::set<std::string> placed;
    for (uint64_t id = 1; id <= 1 + settings.groupAlternates; ++id) {
      DispatchCall call;
      call.id = id * 1000 + aHost.size();
      call.service = "models";
      call.cacheGroup = "program";
      call.prompt = { { "program", 3000 } };
      const auto decision =
        dispatcher.Submit(call, TimePoint{} + std::chrono::hours(1));
      placed.insert(std::get<Placement>(decision).endpoint);
    }
    return placed;
  };
  EXPECT_EQ(placedBy("host-1"), placedBy("another-host"));
}

// Guards against the belief that an endpoint still caches a prompt that its
// memory can't hold any more: with large prompts, a limit of parts is far
// beyond it.
TEST(ContentionTest, PromptsBeyondTheCacheMemoryCountAsUncached)
{
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  const auto expectedAgain = [start](int64_t aCacheTokens,
                                     PlacementMode aMode) {
    Dispatcher dispatcher(WithMode(aMode));
    DispatchEndpoint endpoint{ "engine", "zone", 8 };
    endpoint.cacheTokens = aCacheTokens;
    dispatcher.SetEndpoints("models", { endpoint });
    uint64_t nextId = 1;
    const auto submit = [&](const std::string& aPrompt) {
      DispatchCall call;
      call.id = nextId++;
      call.service = "models";
      call.prompt = { { aPrompt, 20000 } };
      const auto decision = dispatcher.Submit(call, start);
      dispatcher.OnAttemptEnded(call.id, { AttemptResult::kCancelled }, start);
      return std::get<Placement>(decision).expectedMillis;
    };
    const double first = submit("first");
    submit("second");
    submit("third");
    return submit("first") / first;
  };
  EXPECT_DOUBLE_EQ(expectedAgain(48750, PlacementMode::kAdaptive), 1);
  EXPECT_LT(expectedAgain(69499, PlacementMode::kAdaptive), 0.7);
  EXPECT_LT(expectedAgain(48750, PlacementMode::kBasic), 0.7);
}

// Guards against calls that are sent to an endpoint in a slow period as if it
// had its usual speed, and against treating one differently that states no
// pace, or an absurd one.
TEST(ContentionTest, AnEndpointInASlowPeriodHasLessRoom)
{
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  const auto placedOnSlow = [start](std::optional<double> aPace,
                                    PlacementMode aMode) {
    Dispatcher dispatcher(WithMode(aMode));
    dispatcher.SetEndpoints("models",
                            { { "slow", "zone", 6 }, { "usual", "zone", 6 } });
    dispatcher.OnEndpointReport("slow", 0, start, aPace);
    int placed = 0;
    for (uint64_t id = 1; id <= 8; ++id) {
      DispatchCall call;
      call.id = id;
      call.service = "models";
      const auto decision = dispatcher.Submit(call, start);
      const auto* placement = std::get_if<Placement>(&decision);
      placed += placement != nullptr && placement->endpoint == "slow" ? 1 : 0;
    }
    return placed;
  };
  const int unstated = placedOnSlow(std::nullopt, PlacementMode::kAuto);
  EXPECT_GE(unstated, 3);
  EXPECT_LE(placedOnSlow(2.5, PlacementMode::kAuto), 2);
  EXPECT_EQ(placedOnSlow(2.5, PlacementMode::kBasic), unstated);
  EXPECT_EQ(placedOnSlow(std::nan(""), PlacementMode::kAuto), unstated);
  EXPECT_EQ(placedOnSlow(0, PlacementMode::kAuto), unstated);
}

} // namespace
} // namespace tanagerseam
