// Compares adaptive placement with basic placement in the same simulated fleet
// and under the same arrivals.
#include <gtest/gtest.h>

#include <cmath>

#include "dispatch/testing/contention_cases.h"

namespace tanagerseam {
namespace {

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
}

// Guards against gains that hold for one length of calls, one quality of hints
// or one age of reports only.
TEST(ContentionTest, ServesHardCasesBetterThanByCounts)
{
  struct Case
  {
    const char* name;
    double outputSpread = 0;
    double hintFactor = 0;
    int64_t reportIntervalMillis = 500;
    double slowFraction = 0;
    std::array<double, 3> speeds{ 1, 1, 1 };
    bool reportsWork = true;
  };
  const Case kCases[] = {
    { "heavy tails", 0.8 },
    { "hints ten times too high", 0.8, 10 },
    { "hints ten times too low", 0.8, 0.1 },
    { "reports of 100 ms", 0.6, 1, 100 },
    { "reports of 1.5 s", 0.6, 1, 1500 },
    { "uneven pace", 0, 0, 500, 0.15, { 0.7, 0.7, 1.7 } },
    { "hosts that report no work", 0.6, 1, 500, 0, { 1, 1, 1 }, false },
  };
  for (const Case& hard : kCases) {
    LoadPattern load = ManySubAgents();
    load.outputSpread = hard.outputSpread;
    load.hintFactor = hard.hintFactor;
    load.reportIntervalMillis = hard.reportIntervalMillis;
    load.slowFraction = hard.slowFraction;
    load.speeds = hard.speeds;
    load.reportsWork = hard.reportsWork;
    const Outcome basic = RunFleet(PlacementMode::kBasic, load);
    const Outcome adaptive = RunFleet(PlacementMode::kAdaptive, load);
    SCOPED_TRACE(std::string(hard.name) + ": basic: " + basic.ToString() +
                 "; adaptive: " + adaptive.ToString());
    EXPECT_LT(adaptive.meanMillis, basic.meanMillis);
    EXPECT_LT(adaptive.tailMillis, basic.tailMillis);
    EXPECT_GT(adaptive.cachedFraction, basic.cachedFraction + 0.1);
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
