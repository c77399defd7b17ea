// Cost of a routing decision over the number of endpoints, and of the fair
// queue over organisations and waiting calls.
#include <benchmark/benchmark.h>

#include "route/route.h"

namespace tanagerseam {
namespace {

constexpr int kCapacity = 8;
constexpr uint64_t kSeed = 1;

TimePoint
Start()
{
  return TimePoint{} + std::chrono::hours(1);
}

std::vector<EndpointConfig>
Endpoints(int64_t aCount)
{
  std::vector<EndpointConfig> views;
  for (int64_t i = 0; i < aCount; ++i) {
    EndpointConfig view;
    view.name = "engine-" + std::to_string(i);
    view.capacity = kCapacity;
    views.push_back(view);
  }
  return views;
}

DispatchRequest
Call(uint64_t aId, uint64_t aOrganisations)
{
  DispatchRequest call;
  call.id = aId;
  call.organisation = "organisation-" + std::to_string(aId % aOrganisations);
  call.program = "program-" + std::to_string(aId);
  call.promptTokens = 2000;
  call.maxTokens = 200;
  call.programServedTokens = static_cast<int64_t>(aId * 7919 % 50000);
  call.warmTokens = 1500;
  call.deadline = Start() + std::chrono::hours(10);
  return call;
}

// Enqueue, grant and finish one call; half of all places are taken.
void
RoutingDecision(benchmark::State& aState, const std::string& aPolicy)
{
  SchedulerSettings settings;
  settings.endpointPolicy = aPolicy;
  Scheduler scheduler(settings, kSeed);
  const TimePoint now = Start();
  const auto endpoints = static_cast<uint64_t>(aState.range(0));
  scheduler.SetEndpoints(Endpoints(aState.range(0)), now);
  uint64_t next = 1;
  for (; next <= endpoints * kCapacity / 2; ++next) {
    scheduler.Enqueue(Call(next, 8), now);
    scheduler.TakeGrants(now);
  }
  for (auto _ : aState) {
    DispatchRequest call = Call(next, 8);
    call.warmEndpoint = "engine-" + std::to_string(next % endpoints);
    scheduler.Enqueue(call, now);
    benchmark::DoNotOptimize(scheduler.TakeGrants(now));
    scheduler.Finish(next, 2100, DispatchResult::kOk, now);
    ++next;
  }
}
BENCHMARK_CAPTURE(RoutingDecision, expected_time, "expected_time")
  ->Arg(9)
  ->Arg(88)
  ->Arg(440)
  ->Arg(880);
BENCHMARK_CAPTURE(RoutingDecision, random, "random")->Arg(9)->Arg(880);
BENCHMARK_CAPTURE(RoutingDecision, round_robin, "round_robin")
  ->Arg(9)
  ->Arg(880);
BENCHMARK_CAPTURE(RoutingDecision, least_load, "least_load")->Arg(9)->Arg(880);

// One call ends and the next of a backlog is granted in its place, with every
// place taken. Arguments: endpoints, organisations; ten thousand calls wait.
void
GrantFromBacklog(benchmark::State& aState)
{
  SchedulerSettings settings;
  settings.maxWaiting = 20000;
  Scheduler scheduler(settings, kSeed);
  const TimePoint now = Start();
  const auto organisations = static_cast<uint64_t>(aState.range(1));
  scheduler.SetEndpoints(Endpoints(aState.range(0)), now);
  uint64_t next = 1;
  for (; next <= 10000 + 8 * static_cast<uint64_t>(aState.range(0)); ++next) {
    scheduler.Enqueue(Call(next, organisations), now);
  }
  std::vector<Grant> running = scheduler.TakeGrants(now);
  size_t ending = 0;
  for (auto _ : aState) {
    Grant& ended = running[ending++ % running.size()];
    scheduler.Finish(ended.id, 2100, DispatchResult::kOk, now);
    scheduler.Enqueue(Call(next++, organisations), now);
    ended = scheduler.TakeGrants(now).at(0);
  }
}
BENCHMARK(GrantFromBacklog)
  ->Args({ 9, 8 })
  ->Args({ 9, 10000 })
  ->Args({ 880, 8 })
  ->Args({ 880, 10000 });

// Push, order, charge and remove one call while others wait. Arguments:
// organisations, calls waiting.
void
FairQueue(benchmark::State& aState, const std::string& aPolicy)
{
  const auto queue = Registry<QueuePolicy>::Instance().Make(aPolicy);
  const TimePoint now = Start();
  const auto organisations = static_cast<uint64_t>(aState.range(0));
  uint64_t next = 1;
  for (; next <= static_cast<uint64_t>(aState.range(1)); ++next) {
    queue->Push(Call(next, organisations), now);
  }
  for (auto _ : aState) {
    queue->Push(Call(next, organisations), now);
    ++next;
    const uint64_t best = queue->Order(1, now).front();
    const DispatchRequest& call = *queue->Find(best);
    queue->ChargeTokens(call.organisation, call.weight, EstimatedTokens(call));
    queue->Remove(best);
  }
}
BENCHMARK_CAPTURE(FairQueue, fair_program, "fair_program")
  ->Args({ 8, 100 })
  ->Args({ 8, 10000 })
  ->Args({ 100, 10000 })
  ->Args({ 1000, 10000 })
  ->Args({ 10000, 10000 })
  ->Args({ 10000, 100000 });
BENCHMARK_CAPTURE(FairQueue, fifo, "fifo")
  ->Args({ 8, 100 })
  ->Args({ 10000, 100000 });

} // namespace
} // namespace tanagerseam
