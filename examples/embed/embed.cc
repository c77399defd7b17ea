// How another project embeds the decisions without the daemon.
//
// Makes one rate decision and one routing decision from the public headers
// alone. Time comes in as an argument, so no thread, socket or clock of the
// library runs. Exit code 0 if the decisions are as the comments say.
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

// A burst of two: the third request at the same moment is refused, and the
// answer says when to come back.
bool
DecideRate(TimePoint aNow)
{
  const RateLimit shape{ 10, 2 };
  LimitSettings settings;
  settings.lendableFraction = 0;
  OrganisationBuckets buckets(settings);
  buckets.TakeOver(kOrganisation, shape, true, aNow);
  int granted = 0;
  RateDecision decision;
  for (int i = 0; i < 3; ++i) {
    decision = buckets.TryAcquire(kOrganisation, shape, "host-1", aNow);
    granted += decision.granted ? 1 : 0;
  }
  std::cout << "granted " << granted << " of 3, come back after "
            << decision.retryAfter.count() << " ms\n";
  return granted == 2 && decision.retryAfter > Millis(0);
}

// Two equal endpoints, one of them leaving: the call goes to the other one.
bool
DecideRoute(TimePoint aNow)
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

// Which of three hosts should own the slot of a program, without asking any.
bool
DecideOwner()
{
  const ClusterState state(64);
  std::map<std::string, Member> members;
  for (const char* host : { "host-1", "host-2", "host-3" }) {
    members[host] = Member{};
  }
  const int slot = state.SlotOf("program/p-1");
  const std::string owner = PreferredOwner(members, slot);
  std::cout << "slot " << slot << " should be owned by " << owner << "\n";
  return members.count(owner) == 1;
}

} // namespace

int
main()
{
  const TimePoint now{};
  const bool rate = DecideRate(now);
  const bool route = DecideRoute(now);
  const bool owner = DecideOwner();
  return rate && route && owner ? 0 : 1;
}
