// Test fixture of the scheduler: times, requests and endpoints.
//
// Usage:
//
//   Scheduler scheduler = MakeScheduler();
//   scheduler.SetEndpoints(MakeEndpoints(2, 8), At(0));
//   scheduler.Enqueue(MakeCall(1), At(0));
#ifndef TANAGERSEAM_ROUTE_TESTING_ROUTE_FIXTURE_H_
#define TANAGERSEAM_ROUTE_TESTING_ROUTE_FIXTURE_H_

#include <string>
#include <vector>

#include "route/route.h"

namespace tanagerseam::route_testing {

// aMillis after the start of the test, which is not the epoch of TimePoint.
inline TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

inline DispatchRequest
MakeCall(uint64_t aId, const std::string& aOrganisation = "stopa")
{
  DispatchRequest request;
  request.id = aId;
  request.organisation = aOrganisation;
  request.program = aOrganisation + "/" + std::to_string(aId);
  request.promptTokens = 1000;
  request.maxTokens = 100;
  request.deadline = At(1000000000);
  return request;
}

// Endpoints "engine-0", "engine-1" and so on.
inline std::vector<EndpointConfig>
MakeEndpoints(int aCount, int aCapacity)
{
  std::vector<EndpointConfig> configs;
  for (int i = 0; i < aCount; ++i) {
    EndpointConfig config;
    config.name = "engine-" + std::to_string(i);
    config.capacity = aCapacity;
    configs.push_back(config);
  }
  return configs;
}

inline Scheduler
MakeScheduler(const std::string& aQueue = "fair_program",
              const std::string& aEndpoint = "expected_time")
{
  SchedulerSettings settings;
  settings.queuePolicy = aQueue;
  settings.endpointPolicy = aEndpoint;
  return Scheduler(settings, 7);
}

} // namespace tanagerseam::route_testing

#endif // TANAGERSEAM_ROUTE_TESTING_ROUTE_FIXTURE_H_
