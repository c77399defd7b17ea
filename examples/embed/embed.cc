// Example of embedding the scheduling decisions without the daemon.
//
// Makes a rate, a routing and an ownership decision with the public headers
// alone. Time is passed in as an argument; the library uses no thread, socket
// or clock here. Exit code 0 if each decision is as its comment says.
#include <iostream>

#include "kernel/kernel.h"
#include "limit/limit.h"
#include "ownership/ownership.h"
#include "route/route.h"
#include "state/state.h"

namespace {

using namespace tanagerseam;

const std::string kOrganisation = "stopa";
constexpr uint64_t kSeed = 1;

// With a burst of two, the third request at the same time is refused, with a
// retry-after time.
bool
CheckRateDecision(TimePoint aNow)
{
  const RateLimit limit{ 10, 2 };
  LimitSettings settings;
  settings.lendableFraction = 0;
  OrganisationBuckets buckets(settings);
  buckets.TakeOver(kOrganisation, limit, true, aNow);
  int granted = 0;
  RateDecision decision;
  for (int i = 0; i < 3; ++i) {
    decision = buckets.TryAcquire(kOrganisation, limit, "host-1", aNow);
    granted += decision.granted ? 1 : 0;
  }
  std::cout << "granted " << granted << " of 3, retry after "
            << decision.retryAfter.count() << " ms\n";
  return granted == 2 && decision.retryAfter > Millis(0);
}

// Of two otherwise equal endpoints, one of which is leaving, the call is routed
// to the other one.
bool
CheckRoutingDecision(TimePoint aNow)
{
  Scheduler scheduler(SchedulerSettings{}, kSeed);
  EndpointConfig leaving;
  leaving.name = "engine-1";
  leaving.leaving = true;
  EndpointConfig staying;
  staying.name = "engine-2";
  scheduler.SetEndpoints({ leaving, staying }, aNow);
  DispatchRequest request;
  request.id = 1;
  request.organisation = kOrganisation;
  request.program = "p-1";
  request.urgency = Urgency::kUrgent;
  request.promptTokens = 100;
  request.maxTokens = 20;
  request.deadline = aNow + Millis(1000);
  scheduler.Enqueue(request, aNow);
  const std::vector<Grant> grants = scheduler.TakeGrants(aNow);
  for (const Grant& grant : grants) {
    std::cout << "call " << grant.id << " goes to " << grant.endpoint << "\n";
    scheduler.Finish(grant.id, 110, DispatchResult::kOk, aNow);
  }
  return grants.size() == 1 && grants[0].endpoint == "engine-2";
}

// Computes the preferred owner of a program's slot among three hosts, without
// any communication.
bool
CheckOwnerDecision()
{
  const ClusterState state(64);
  std::map<std::string, Member> members;
  for (const char* host : { "host-1", "host-2", "host-3" }) {
    members[host] = Member{};
  }
  const int slot = state.SlotOf("program/p-1");
  const std::string owner = PreferredOwner(members, slot);
  std::cout << "slot " << slot << " has the preferred owner " << owner << "\n";
  return members.count(owner) == 1;
}

} // namespace

int
main()
{
  const TimePoint now{};
  const bool rateOk = CheckRateDecision(now);
  const bool routeOk = CheckRoutingDecision(now);
  const bool owner = CheckOwnerDecision();
  return rateOk && routeOk && owner ? 0 : 1;
}
