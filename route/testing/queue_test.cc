// Queue order across and within organisations, fairness, expiry of waiting
// calls.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "route/testing/route_fixture.h"

namespace tanagerseam {
namespace {

using route_testing::At;
using route_testing::MakeCall;
using route_testing::MakeEndpoints;
using route_testing::MakeScheduler;

// Grants all calls one at a time: one endpoint of capacity 1.
std::vector<uint64_t>
GrantSequentially(Scheduler& aScheduler, TimePoint aNow)
{
  std::vector<uint64_t> order;
  aScheduler.SetEndpoints(MakeEndpoints(1, 1), aNow);
  for (auto grants = aScheduler.TakeGrants(aNow); !grants.empty();
       grants = aScheduler.TakeGrants(aNow)) {
    order.push_back(grants[0].id);
    aScheduler.Finish(grants[0].id, 1100, DispatchResult::kOk, aNow);
  }
  return order;
}

TEST(OrderWithinOrganisation, UrgencyThenTokensServedThenArrival)
{
  Scheduler scheduler = MakeScheduler();
  DispatchRequest background = MakeCall(1);
  background.urgency = Urgency::kBackground;
  DispatchRequest longProgram = MakeCall(2);
  longProgram.programServedTokens = 30000;
  DispatchRequest shortProgram = MakeCall(3);
  DispatchRequest urgent = MakeCall(4);
  urgent.urgency = Urgency::kUrgent;
  urgent.programServedTokens = 1000000;
  for (const auto& call : { background, longProgram, shortProgram, urgent }) {
    EXPECT_TRUE(scheduler.Enqueue(call, At(0)));
  }
  EXPECT_EQ(GrantSequentially(scheduler, At(0)),
            (std::vector<uint64_t>{ 4, 3, 2, 1 }));
}

TEST(OrderWithinOrganisation, BackgroundCallIsServedWithinBound)
{
  // A continuous load of urgent calls, twice the service rate.
  constexpr int64_t kStepMillis = 100;
  constexpr int64_t kBoundMillis = 90000;
  Scheduler scheduler = MakeScheduler();
  scheduler.SetEndpoints(MakeEndpoints(1, 1), At(0));
  DispatchRequest background = MakeCall(1);
  background.urgency = Urgency::kBackground;
  background.programServedTokens = 1000000000;
  scheduler.Enqueue(background, At(0));
  uint64_t next = 2;
  int64_t servedAt = -1;
  for (int64_t now = 0; servedAt < 0 && now < 2 * kBoundMillis;
       now += kStepMillis) {
    for (int i = 0; i < 2; ++i) {
      DispatchRequest urgent = MakeCall(next++);
      urgent.urgency = Urgency::kUrgent;
      scheduler.Enqueue(urgent, At(now));
    }
    for (const Grant& grant : scheduler.TakeGrants(At(now))) {
      servedAt = grant.id == 1 ? now : servedAt;
      scheduler.Finish(grant.id, 1100, DispatchResult::kOk, At(now));
    }
  }
  // Calls that arrive within the bound after it go first, and are served at
  // half the arrival rate, so the call is served within twice the bound.
  EXPECT_GT(servedAt, 0);
  EXPECT_LE(servedAt, 2 * kBoundMillis);
}

TEST(OrderAcrossOrganisations, IdleOrganisationAccruesNoCredit)
{
  Scheduler scheduler = MakeScheduler();
  for (uint64_t id = 1; id <= 100; ++id) {
    scheduler.Enqueue(MakeCall(id, "busy"), At(0));
  }
  scheduler.SetEndpoints(MakeEndpoints(1, 1), At(0));
  auto serveOne = [&] {
    const auto grants = scheduler.TakeGrants(At(0));
    scheduler.Finish(grants.at(0).id, 1100, DispatchResult::kOk, At(0));
    return grants.at(0).id;
  };
  for (int i = 0; i < 50; ++i) {
    serveOne();
  }
  for (uint64_t id = 201; id <= 300; ++id) {
    scheduler.Enqueue(MakeCall(id, "late"), At(0));
  }
  int late = 0;
  for (int i = 0; i < 40; ++i) {
    late += serveOne() > 200 ? 1 : 0;
  }
  EXPECT_GE(late, 19);
  EXPECT_LE(late, 21);
}

// Closed-loop load: each program makes its next call as soon as the previous
// one has finished, so the demand of an organisation is its number of programs.
class ClosedLoop
{
public:
  ClosedLoop(const std::string& aQueue, uint64_t aSeed)
    : scheduler(MakeScheduler(aQueue))
    , random(aSeed)
  {
    this->scheduler.SetEndpoints(MakeEndpoints(9, 8), At(0));
  }
  void Add(const std::string& aName, double aWeight, int aPrograms)
  {
    this->served[aName] = 0;
    for (int i = 0; i < aPrograms; ++i) {
      this->Enqueue(aName, aWeight, 0);
    }
  }
  void Run(int64_t aUntilMillis)
  {
    for (int64_t now = 0; now < aUntilMillis; now += kStepMillis) {
      this->FinishCalls(now);
      for (const Grant& grant : this->scheduler.TakeGrants(At(now))) {
        const int64_t tokens = 200 + this->RandomBelow(900);
        this->finishTimes.emplace(now + 500 + tokens,
                                  Running{ grant.id, tokens });
      }
    }
  }
  // Minimum over the organisations of tokens served / tokens entitled by
  // weight.
  double MinServedRatio(const std::map<std::string, double>& aWeights) const
  {
    double all = 0;
    double weights = 0;
    for (const auto& [name, weight] : aWeights) {
      all += static_cast<double>(this->served.at(name));
      weights += weight;
    }
    double minRatio = 1e9;
    for (const auto& [name, weight] : aWeights) {
      const double entitled = all * weight / weights;
      minRatio = std::min(
        minRatio, static_cast<double>(this->served.at(name)) / entitled);
    }
    return minRatio;
  }

private:
  struct Running
  {
    uint64_t id = 0;
    int64_t tokens = 0;
  };
  static constexpr int64_t kStepMillis = 20;

  int64_t RandomBelow(uint64_t aBound)
  {
    return static_cast<int64_t>(this->random() % aBound);
  }
  void Enqueue(const std::string& aName, double aWeight, int64_t aNow)
  {
    DispatchRequest call = MakeCall(this->nextId++, aName);
    call.weight = aWeight;
    this->calls[call.id] = call;
    this->scheduler.Enqueue(call, At(aNow));
  }
  void FinishCalls(int64_t aNow)
  {
    while (!this->finishTimes.empty() &&
           this->finishTimes.begin()->first <= aNow) {
      const Running running = this->finishTimes.begin()->second;
      this->finishTimes.erase(this->finishTimes.begin());
      this->scheduler.Finish(
        running.id, running.tokens, DispatchResult::kOk, At(aNow));
      const DispatchRequest call = this->calls.at(running.id);
      this->calls.erase(running.id);
      this->served[call.organisation] += running.tokens;
      this->Enqueue(call.organisation, call.weight, aNow);
    }
  }

  Scheduler scheduler;
  std::mt19937_64 random;
  uint64_t nextId = 1;
  std::map<uint64_t, DispatchRequest> calls;
  std::multimap<int64_t, Running> finishTimes;
  std::map<std::string, int64_t> served;
};

class Fairness : public ::testing::TestWithParam<uint64_t>
{
protected:
  // Eight organisations whose demand exceeds their share, one of them by five
  // times as much.
  static double MinServedRatio(const std::string& aQueue,
                               const std::vector<double>& aWeights,
                               uint64_t aSeed)
  {
    constexpr int kProgramsPerWeight = 12;
    ClosedLoop loop(aQueue, aSeed);
    std::map<std::string, double> weights;
    for (int i = 0; i < 8; ++i) {
      const std::string name = "organisation-" + std::to_string(i);
      weights[name] = aWeights[static_cast<size_t>(i) % aWeights.size()];
      const double programs =
        kProgramsPerWeight * weights[name] * (i == 0 ? 5 : 1);
      loop.Add(name, weights[name], static_cast<int>(programs));
    }
    loop.Run(600000);
    return loop.MinServedRatio(weights);
  }
};

TEST_P(Fairness, LeastServedOrganisationGetsItsShare)
{
  const double equal = MinServedRatio("fair_program", { 1 }, GetParam());
  const double weighted = MinServedRatio("fair_program", { 1, 2 }, GetParam());
  const double fifo = MinServedRatio("fifo", { 1 }, GetParam());
  std::printf("seed %d: minimum served / entitled: fair_program %.3f, "
              "with weights 1 and 2 %.3f, fifo %.3f\n",
              static_cast<int>(GetParam()),
              equal,
              weighted,
              fifo);
  EXPECT_GE(equal, 0.95);
  EXPECT_GE(weighted, 0.95);
  EXPECT_LT(fifo, equal);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fairness, ::testing::Values(1, 2, 3));

TEST(WaitingCall, EndsExactlyOnce)
{
  Scheduler scheduler = MakeScheduler();
  DispatchRequest call = MakeCall(1);
  call.deadline = At(1000);
  EXPECT_TRUE(scheduler.Enqueue(call, At(0)));
  EXPECT_FALSE(scheduler.Enqueue(call, At(0)));
  EXPECT_TRUE(scheduler.TakeExpired(At(999)).empty());
  {
    SCOPED_TRACE("expires at its deadline and is not granted");
    scheduler.SetEndpoints(MakeEndpoints(1, 1), At(1000));
    EXPECT_TRUE(scheduler.TakeGrants(At(1000)).empty());
    const auto expired = scheduler.TakeExpired(At(1000));
    ASSERT_EQ(expired.size(), 1u);
    EXPECT_EQ(expired[0].reason, RefusalReason::kDeadlineExceeded);
    EXPECT_TRUE(scheduler.TakeExpired(At(1000)).empty());
  }
  {
    SCOPED_TRACE("expires with kNoEndpoint if there is no endpoint");
    scheduler.SetEndpoints({}, At(1000));
    scheduler.Enqueue(call, At(1000));
    EXPECT_EQ(scheduler.TakeExpired(At(1000)).at(0).reason,
              RefusalReason::kNoEndpoint);
  }
  {
    SCOPED_TRACE("a cancelled call leaves the queue");
    scheduler.Enqueue(MakeCall(2), At(1000));
    scheduler.Cancel(2);
    EXPECT_EQ(scheduler.QueueLength(), 0u);
  }
}

TEST(WaitingCall, RefusedAboveMaxWaiting)
{
  SchedulerSettings settings;
  settings.maxWaiting = 2;
  Scheduler scheduler(settings, 1);
  EXPECT_TRUE(scheduler.Enqueue(MakeCall(1), At(0)));
  EXPECT_TRUE(scheduler.Enqueue(MakeCall(2), At(0)));
  EXPECT_FALSE(scheduler.Enqueue(MakeCall(3), At(0)));
}

TEST(UrgencyNames, RoundTrip)
{
  for (Urgency urgency :
       { Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground }) {
    EXPECT_EQ(ParseUrgency(UrgencyName(urgency)), urgency);
  }
  EXPECT_FALSE(ParseUrgency("sometime"));
}

} // namespace
} // namespace tanagerseam
