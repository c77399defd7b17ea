// Endpoint selection: warm endpoints, leaving endpoints, circuit breaker, load
// spreading, load reports, retries.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "route/testing/route_fixture.h"

namespace tanagerseam {
namespace {

using route_testing::At;
using route_testing::MakeCall;
using route_testing::MakeEndpoints;
using route_testing::MakeScheduler;

LoadReport
MakeReport(const std::string& aEndpoint, int aRunning)
{
  LoadReport report;
  report.endpoint = aEndpoint;
  report.running = aRunning;
  return report;
}

// The endpoint that the first grant names; empty if there is no grant.
std::string
EnqueueAndGrant(Scheduler& aScheduler,
                const DispatchRequest& aRequest,
                TimePoint aNow)
{
  aScheduler.Enqueue(aRequest, aNow);
  const auto grants = aScheduler.TakeGrants(aNow);
  return grants.empty() ? "" : grants[0].endpoint;
}

TEST(WarmEndpoint, ChosenWhileCacheSavesTime)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(9, 8), At(0));
  DispatchRequest warm = MakeCall(1);
  warm.promptTokens = 50000;
  warm.warmTokens = 49000;
  warm.warmEndpoint = "engine-5";
  EXPECT_EQ(EnqueueAndGrant(scheduler, warm, At(0)), "engine-5");
  {
    SCOPED_TRACE("not chosen if little is cached and it is loaded");
    scheduler.OnReport(MakeReport("engine-5", 7), At(1));
    warm.id = 2;
    warm.warmTokens = 100;
    EXPECT_NE(EnqueueAndGrant(scheduler, warm, At(1)), "engine-5");
  }
}

TEST(WarmEndpoint, CallWaitsNoLongerThanPrefillSaved)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(2, 1), At(0));
  const std::string full = EnqueueAndGrant(scheduler, MakeCall(1), At(0));
  DispatchRequest warm = MakeCall(2);
  warm.promptTokens = 100000;
  warm.warmTokens = 100000;
  warm.warmEndpoint = full;
  // 10 s to repeat the prefill against an expected wait of 0.6 s.
  EXPECT_EQ(EnqueueAndGrant(scheduler, warm, At(0)), "");
  {
    SCOPED_TRACE("other calls are granted meanwhile");
    DispatchRequest cold = MakeCall(3);
    EXPECT_NE(EnqueueAndGrant(scheduler, cold, At(1000)), "");
    scheduler.Finish(3, 1100, DispatchResult::kOk, At(2000));
  }
  {
    SCOPED_TRACE("goes elsewhere once the wait exceeds the prefill saved");
    EXPECT_TRUE(scheduler.TakeGrants(At(8000)).empty());
    const auto grants = scheduler.TakeGrants(At(10000));
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_NE(grants[0].endpoint, full);
  }
}

TEST(WarmEndpoint, PrefillCostIncludesStalledCalls)
{
  constexpr int kCapacity = 4;
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(1, kCapacity), At(0));
  for (uint64_t id = 1; id <= kCapacity; ++id) {
    ASSERT_EQ(EnqueueAndGrant(scheduler, MakeCall(id), At(0)), "engine-0");
  }
  scheduler.SetEndpoints(MakeEndpoints(2, kCapacity), At(0));
  DispatchRequest warm = MakeCall(kCapacity + 1);
  warm.promptTokens = 10000;
  warm.warmTokens = 10000;
  warm.warmEndpoint = "engine-0";
  // 1 s of prefill, which would stall three other calls too: 4 s in all.
  EXPECT_EQ(EnqueueAndGrant(scheduler, warm, At(0)), "");
  EXPECT_TRUE(scheduler.TakeGrants(At(3000)).empty());
  const auto grants = scheduler.TakeGrants(At(4000));
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_EQ(grants[0].endpoint, "engine-1");
}

// Whether a call that is warm at engine-1 is granted to it while that engine
// runs two calls and engine-0 is idle. Two earlier calls finished at 50 ms. The
// newest load report has aRunning calls and was made at aReportAt (ms).
bool
StaysOnWarmEndpoint(int64_t aWarmTokensOfOthers,
                    int aRunning,
                    int64_t aReportAt)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(2, 8), At(-100));
  DispatchRequest call = MakeCall(1);
  call.promptTokens = 3050;
  call.warmEndpoint = "engine-1";
  call.warmTokens = aWarmTokensOfOthers;
  call.avoid = { "engine-0" };
  for (call.id = 1; call.id <= 4; ++call.id) {
    const int64_t grantedAt = call.id <= 2 ? 0 : 60;
    EXPECT_EQ(EnqueueAndGrant(scheduler, call, At(grantedAt)), "engine-1");
    if (call.id == 2) {
      scheduler.Finish(1, 3150, DispatchResult::kOk, At(50));
      scheduler.Finish(2, 3150, DispatchResult::kOk, At(50));
    }
  }
  LoadReport report = MakeReport("engine-1", aRunning);
  report.age = Millis(100 - aReportAt);
  scheduler.OnReport(report, At(100));
  call.warmTokens = 3000;
  call.avoid.clear();
  return EnqueueAndGrant(scheduler, call, At(100)) == "engine-1";
}

TEST(WarmEndpoint, CallStaysBesideOtherWarmCalls)
{
  EXPECT_TRUE(StaysOnWarmEndpoint(3000, 0, -10));
  {
    SCOPED_TRACE("unaffected by a stale report that counts finished calls");
    EXPECT_TRUE(StaysOnWarmEndpoint(3000, 2, 40));
  }
  {
    SCOPED_TRACE("goes elsewhere if long prefills are pending");
    EXPECT_FALSE(StaysOnWarmEndpoint(0, 2, 70));
  }
}

TEST(Placement, NewProgramGoesToEndpointWithFewestPrograms)
{
  constexpr int kFewestProgramsIndex = 6;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Scheduler scheduler({}, seed);
    scheduler.SetEndpoints(MakeEndpoints(9, 8), At(0));
    for (int i = 0; i < 9; ++i) {
      LoadReport report = MakeReport("engine-" + std::to_string(i), 0);
      report.heldPrograms = i == kFewestProgramsIndex ? 1 : 3;
      scheduler.OnReport(report, At(0));
    }
    EXPECT_EQ(EnqueueAndGrant(scheduler, MakeCall(1), At(0)), "engine-6");
    {
      SCOPED_TRACE("a warm program stays on its endpoint");
      DispatchRequest warm = MakeCall(2);
      warm.warmEndpoint = "engine-2";
      warm.warmTokens = 900;
      EXPECT_EQ(EnqueueAndGrant(scheduler, warm, At(0)), "engine-2");
    }
  }
}

TEST(LeavingEndpoint, GetsNoGrants)
{
  for (const char* policy :
       { "expected_time", "random", "round_robin", "least_load" }) {
    SCOPED_TRACE(policy);
    Scheduler scheduler = MakeScheduler("fair_program", policy);
    auto configs = MakeEndpoints(3, 100);
    configs[0].leaving = true;
    configs[1].leavesIn = Millis(5000);
    scheduler.SetEndpoints(configs, At(0));
    for (uint64_t id = 1; id <= 50; ++id) {
      DispatchRequest warm = MakeCall(id);
      warm.warmEndpoint = "engine-0";
      warm.warmTokens = 1000;
      EXPECT_NE(EnqueueAndGrant(scheduler, warm, At(0)), "engine-0");
    }
    for (uint64_t id = 51; id <= 90; ++id) {
      EXPECT_EQ(EnqueueAndGrant(scheduler, MakeCall(id), At(5000)), "engine-2");
    }
  }
}

TEST(LeavingEndpoint, GetsNoCallThatCannotFinish)
{
  Scheduler scheduler = MakeScheduler();
  auto configs = MakeEndpoints(2, 100);
  configs[0].leavesIn = Millis(1050);
  scheduler.SetEndpoints(configs, At(0));
  for (uint64_t id = 1; id <= 20; ++id) {
    EXPECT_EQ(EnqueueAndGrant(scheduler, MakeCall(id), At(0)), "engine-1");
  }
  {
    SCOPED_TRACE(
      "a removed endpoint gets no calls; those in flight still count");
    scheduler.SetEndpoints({ configs[0] }, At(0));
    EXPECT_EQ(scheduler.Endpoints().at("engine-1").inFlight, 20);
    EXPECT_EQ(EnqueueAndGrant(scheduler, MakeCall(21), At(0)), "engine-0");
    scheduler.Finish(1, 1100, DispatchResult::kOk, At(0));
    EXPECT_EQ(scheduler.Endpoints().at("engine-1").inFlight, 19);
  }
}

TEST(CircuitBreaker, OpensAndAllowsOneTrialCall)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(1, 8), At(0));
  for (uint64_t id = 1; id <= 3; ++id) {
    EXPECT_EQ(EnqueueAndGrant(scheduler, MakeCall(id), At(0)), "engine-0");
  }
  for (uint64_t id = 1; id <= 3; ++id) {
    scheduler.Finish(id, 0, DispatchResult::kEndpointFailed, At(10));
  }
  {
    SCOPED_TRACE("open: no grants during the pause");
    scheduler.Enqueue(MakeCall(4), At(2009));
    scheduler.Enqueue(MakeCall(5), At(2009));
    EXPECT_TRUE(scheduler.TakeGrants(At(2009)).empty());
  }
  {
    SCOPED_TRACE(
      "half-open: one trial call, whose failure reopens the breaker");
    EXPECT_EQ(scheduler.TakeGrants(At(2010)).size(), 1u);
    EXPECT_TRUE(scheduler.TakeGrants(At(2010)).empty());
    scheduler.Finish(4, 0, DispatchResult::kNotReached, At(2020));
    EXPECT_TRUE(scheduler.TakeGrants(At(4019)).empty());
  }
  {
    SCOPED_TRACE("a successful trial call closes the breaker");
    EXPECT_EQ(scheduler.TakeGrants(At(4020)).size(), 1u);
    scheduler.Finish(5, 1100, DispatchResult::kOk, At(4030));
    scheduler.Enqueue(MakeCall(6), At(4030));
    scheduler.Enqueue(MakeCall(7), At(4030));
    EXPECT_EQ(scheduler.TakeGrants(At(4030)).size(), 2u);
  }
}

TEST(CircuitBreaker, CallAvoidsEndpointThatFailedIt)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(2, 100), At(0));
  for (uint64_t id = 1; id <= 20; ++id) {
    DispatchRequest again = MakeCall(id);
    again.avoid = { "engine-0" };
    EXPECT_EQ(EnqueueAndGrant(scheduler, again, At(0)), "engine-1");
  }
  scheduler.SetEndpoints(MakeEndpoints(1, 100), At(0));
  DispatchRequest retried = MakeCall(21);
  retried.avoid = { "engine-0" };
  EXPECT_EQ(EnqueueAndGrant(scheduler, retried, At(0)), "engine-0");
}

// Maximum calls in flight at one endpoint after 36 grants to 9 endpoints
// without a new load report. In the reports engine-0 is idle and the others run
// one call.
int
MaxCallsPerEndpoint(const std::string& aPolicy)
{
  Scheduler scheduler = MakeScheduler("fair_program", aPolicy);
  scheduler.SetEndpoints(MakeEndpoints(9, 32), At(0));
  for (int i = 0; i < 9; ++i) {
    scheduler.OnReport(
      MakeReport("engine-" + std::to_string(i), i == 0 ? 0 : 1), At(0));
  }
  for (uint64_t id = 1; id <= 36; ++id) {
    EnqueueAndGrant(scheduler, MakeCall(id), At(static_cast<int64_t>(id)));
  }
  int largest = 0;
  for (const auto& entry : scheduler.Endpoints()) {
    largest = std::max(largest, entry.second.inFlight);
  }
  return largest;
}

TEST(LoadSpreading, GrantsBetweenReportsAreSpread)
{
  // The mean is 4 calls per endpoint.
  EXPECT_LE(MaxCallsPerEndpoint("expected_time"), 8);
  EXPECT_EQ(MaxCallsPerEndpoint("least_load"), 32);
}

TEST(LoadSpreading, RoundRobinVisitsEveryEndpoint)
{
  Scheduler scheduler = MakeScheduler("fifo", "round_robin");
  scheduler.SetEndpoints(MakeEndpoints(4, 8), At(0));
  std::set<std::string> seen;
  for (uint64_t id = 1; id <= 4; ++id) {
    seen.insert(EnqueueAndGrant(scheduler, MakeCall(id), At(0)));
  }
  EXPECT_EQ(seen.size(), 4u);
}

TEST(LoadReports, CountsOnlyExternalCalls)
{
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(1, 8), At(0));
  EnqueueAndGrant(scheduler, MakeCall(1), At(100));
  EnqueueAndGrant(scheduler, MakeCall(2), At(200));
  LoadReport report = MakeReport("engine-0", 1);
  report.age = Millis(150);
  scheduler.OnReport(report, At(300));
  const EndpointState& state = scheduler.Endpoints().at("engine-0");
  // The call in the report was granted by this scheduler.
  EXPECT_EQ(state.externalCalls, 0);
  EXPECT_EQ(state.inFlight, 2);
  {
    SCOPED_TRACE("a report older than the newest one is ignored");
    report.running = 5;
    report.age = Millis(300);
    scheduler.OnReport(report, At(310));
    EXPECT_EQ(state.report.running, 1);
  }
  scheduler.Finish(1, 1100, DispatchResult::kOk, At(320));
  scheduler.Finish(2, 1100, DispatchResult::kOk, At(320));
  {
    SCOPED_TRACE("own calls that finished since the report are not external");
    report.running = 4;
    report.queued = 1;
    report.age = Millis(30);
    scheduler.OnReport(report, At(330));
    EXPECT_EQ(state.externalCalls, 3);
  }
  {
    SCOPED_TRACE(
      "in a report made after own calls finished all calls are external");
    report.age = Millis(10);
    scheduler.OnReport(report, At(340));
    EXPECT_EQ(state.externalCalls, 5);
  }
}

// Random sequence of all operations; checks the invariants of route.h on each
// grant.
class RandomWorkload
{
public:
  RandomWorkload(const std::string& aPolicy, uint64_t aSeed)
    : scheduler(MakeScheduler("fair_program", aPolicy))
    , random(aSeed)
  {
    this->ChangeEndpoints();
  }
  void Step()
  {
    this->now += this->RandomBelow(200);
    const int kind = this->RandomBelow(100);
    if (kind < 50) {
      this->Enqueue();
    } else if (kind < 80) {
      this->Finish();
    } else if (kind < 85) {
      this->Cancel();
    } else if (kind < 88) {
      this->ChangeEndpoints();
    } else {
      scheduler.OnReport(
        MakeReport(this->RandomEndpointName(), this->RandomBelow(9)),
        this->Time());
    }
    for (const ExpiredCall& expired :
         this->scheduler.TakeExpired(this->Time())) {
      ASSERT_EQ(this->waiting.erase(expired.id), 1u);
    }
    for (const Grant& grant : this->scheduler.TakeGrants(this->Time())) {
      ASSERT_EQ(this->waiting.erase(grant.id), 1u);
      this->CheckGrant(grant);
      this->running[grant.id] = grant.endpoint;
    }
    ASSERT_EQ(this->scheduler.QueueLength(), this->waiting.size());
  }
  size_t Granted() const { return this->granted; }

private:
  TimePoint Time() const { return At(this->now); }
  int RandomBelow(int aBound)
  {
    return static_cast<int>(this->random() % static_cast<uint64_t>(aBound));
  }
  std::string RandomEndpointName()
  {
    return "engine-" + std::to_string(this->RandomBelow(9));
  }
  void Enqueue()
  {
    DispatchRequest call = MakeCall(
      this->nextId++, "organisation-" + std::to_string(this->RandomBelow(8)));
    call.deadline = this->Time() + Millis(this->RandomBelow(20000));
    call.warmEndpoint = this->RandomEndpointName();
    call.warmTokens = this->RandomBelow(1000);
    call.avoid = { this->RandomEndpointName() };
    call.urgency = static_cast<Urgency>(this->RandomBelow(3));
    ASSERT_TRUE(this->scheduler.Enqueue(call, this->Time()));
    this->waiting.insert(call.id);
  }
  void Finish()
  {
    if (this->running.empty()) {
      return;
    }
    auto finished = this->running.begin();
    std::advance(finished,
                 this->RandomBelow(static_cast<int>(this->running.size())));
    const auto result = static_cast<DispatchResult>(this->RandomBelow(4));
    this->scheduler.Finish(finished->first, 500, result, this->Time());
    this->running.erase(finished);
  }
  void Cancel()
  {
    if (!this->waiting.empty()) {
      this->scheduler.Cancel(*this->waiting.begin());
      this->waiting.erase(this->waiting.begin());
    }
  }
  void ChangeEndpoints()
  {
    this->configs.clear();
    for (EndpointConfig config : MakeEndpoints(9, 1 + this->RandomBelow(8))) {
      config.leaving = this->RandomBelow(5) == 0;
      if (this->RandomBelow(5) == 0) {
        config.leavesIn = Millis(this->RandomBelow(5000));
      }
      if (this->RandomBelow(8) != 0) {
        this->configs[config.name] = { config, this->now };
      }
    }
    std::vector<EndpointConfig> list;
    for (const auto& entry : this->configs) {
      list.push_back(entry.second.config);
    }
    this->scheduler.SetEndpoints(list, this->Time());
  }
  void CheckGrant(const Grant& aGrant)
  {
    ++this->granted;
    ASSERT_EQ(this->configs.count(aGrant.endpoint), 1u);
    const ConfiguredEndpoint& configured = this->configs.at(aGrant.endpoint);
    EXPECT_FALSE(configured.config.leaving);
    if (configured.config.leavesIn) {
      EXPECT_LT(this->now,
                configured.configuredAt + configured.config.leavesIn->count());
    }
    int count = 1;
    for (const auto& entry : this->running) {
      count += entry.second == aGrant.endpoint ? 1 : 0;
    }
    EXPECT_LE(count, configured.config.capacity);
  }

  struct ConfiguredEndpoint
  {
    EndpointConfig config;
    int64_t configuredAt = 0;
  };
  Scheduler scheduler;
  std::mt19937_64 random;
  int64_t now = 0;
  uint64_t nextId = 1;
  size_t granted = 0;
  std::set<uint64_t> waiting;
  std::map<uint64_t, std::string> running;
  std::map<std::string, ConfiguredEndpoint> configs;
};

TEST(Invariants, HoldUnderRandomWorkload)
{
  for (const char* policy :
       { "expected_time", "random", "round_robin", "least_load" }) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(std::string(policy) + ", seed " + std::to_string(seed));
      RandomWorkload history(policy, seed);
      for (int i = 0; i < 5000; ++i) {
        history.Step();
        if (::testing::Test::HasFailure()) {
          return;
        }
      }
      EXPECT_GT(history.Granted(), 500u);
    }
  }
}

TEST(Retries, LimitedToShareOfFirstAttempts)
{
  RetryBudget budget(0.1, 2);
  EXPECT_TRUE(budget.TryConsume());
  EXPECT_TRUE(budget.TryConsume());
  EXPECT_FALSE(budget.TryConsume());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TryConsume() ? 1 : 0;
  }
  EXPECT_NEAR(retries, 100, 2);
}

TEST(Retries, BackoffGrowsToMaximumWithJitter)
{
  std::mt19937_64 random(1);
  Millis largestFirst{ 0 };
  Millis largestLate{ 0 };
  for (int i = 0; i < 1000; ++i) {
    largestFirst =
      std::max(largestFirst, RetryBackoff(1, Millis(50), Millis(2000), random));
    largestLate = std::max(
      largestLate, RetryBackoff(1000, Millis(50), Millis(2000), random));
  }
  EXPECT_LE(largestFirst, Millis(50));
  EXPECT_GT(largestFirst, Millis(40));
  EXPECT_LE(largestLate, Millis(2000));
  EXPECT_GT(largestLate, Millis(1500));
}

} // namespace
} // namespace tanagerseam
