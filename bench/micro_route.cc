// Cost of a routing decision by number of endpoints, and of the fair queue by
// number of organisations and waiting calls.
#include <benchmark/benchmark.h>

#include "route/route.h"

namespace tanagerseam {
namespace {

constexpr int kCapacity = 8;
constexpr uint64_t kSeed = 1;

TimePoint
StartTime()
{
  return TimePoint{} + std::chrono::hours(1);
}

std::vector<EndpointConfig>
MakeEndpoints(int64_t aCount)
{
  std::vector<EndpointConfig> configs;
  for (int64_t i = 0; i < aCount; ++i) {
    EndpointConfig config;
    config.name = "engine-" + std::to_string(i);
    config.capacity = kCapacity;
    configs.push_back(config);
  }
  return configs;
}

DispatchRequest
MakeCall(uint64_t aId, uint64_t aOrganisations)
{
  DispatchRequest call;
  call.id = aId;
  call.organisation = "organisation-" + std::to_string(aId % aOrganisations);
  call.program = "program-" + std::to_string(aId);
  call.promptTokens = 2000;
  call.maxTokens = 200;
  call.programServedTokens = static_cast<int64_t>(aId * 7919 % 50000);
  call.warmTokens = 1500;
  call.deadline = StartTime() + std::chrono::hours(10);
  return call;
}

// Enqueues, grants and finishes one call while half of the total capacity is in
// use. Argument: endpoints.
void
RoutingDecision(benchmark::State& aState, const std::string& aPolicy)
{
  SchedulerSettings settings;
  settings.endpointPolicy = aPolicy;
  Scheduler scheduler(settings, kSeed);
  const TimePoint now = StartTime();
  const auto endpoints = static_cast<uint64_t>(aState.range(0));
  scheduler.SetEndpoints(MakeEndpoints(aState.range(0)), now);
  uint64_t nextId = 1;
  for (; nextId <= endpoints * kCapacity / 2; ++nextId) {
    scheduler.Enqueue(MakeCall(nextId, 8), now);
    scheduler.TakeGrants(now);
  }
  for (auto _ : aState) {
    DispatchRequest call = MakeCall(nextId, 8);
    call.warmEndpoint = "engine-" + std::to_string(nextId % endpoints);
    scheduler.Enqueue(call, now);
    benchmark::DoNotOptimize(scheduler.TakeGrants(now));
    scheduler.Finish(nextId, 2100, DispatchResult::kOk, now);
    ++nextId;
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

// Finishes a call and grants the next one of a backlog of 10,000 calls, with
// all endpoints at capacity. Arguments: endpoints, organisations.
void
GrantFromBacklog(benchmark::State& aState)
{
  SchedulerSettings settings;
  settings.maxWaiting = 20000;
  Scheduler scheduler(settings, kSeed);
  const TimePoint now = StartTime();
  const auto organisations = static_cast<uint64_t>(aState.range(1));
  scheduler.SetEndpoints(MakeEndpoints(aState.range(0)), now);
  uint64_t nextId = 1;
  for (; nextId <= 10000 + 8 * static_cast<uint64_t>(aState.range(0));
       ++nextId) {
    scheduler.Enqueue(MakeCall(nextId, organisations), now);
  }
  std::vector<Grant> running = scheduler.TakeGrants(now);
  size_t ending = 0;
  for (auto _ : aState) {
    Grant& ended = running[ending++ % running.size()];
    scheduler.Finish(ended.id, 2100, DispatchResult::kOk, now);
    scheduler.Enqueue(MakeCall(nextId++, organisations), now);
    ended = scheduler.TakeGrants(now).at(0);
  }
}
BENCHMARK(GrantFromBacklog)
  ->Args({ 9, 8 })
  ->Args({ 9, 10000 })
  ->Args({ 880, 8 })
  ->Args({ 880, 10000 });

// Pushes, orders, charges and removes one call while others wait. Arguments:
// organisations, waiting calls.
void
FairQueue(benchmark::State& aState, const std::string& aPolicy)
{
  const auto queue = Registry<QueuePolicy>::Instance().Make(aPolicy);
  const TimePoint now = StartTime();
  const auto organisations = static_cast<uint64_t>(aState.range(0));
  uint64_t nextId = 1;
  for (; nextId <= static_cast<uint64_t>(aState.range(1)); ++nextId) {
    queue->Push(MakeCall(nextId, organisations), now);
  }
  for (auto _ : aState) {
    queue->Push(MakeCall(nextId, organisations), now);
    ++nextId;
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
