// The order of queued calls, and what is learned from calls that end.
#include "dispatch/dispatch.h"

#include <algorithm>
#include <tuple>

#include "dispatch/dispatch_constants.h"

namespace tanagerseam {

namespace {

constexpr double kMinLatencyRatio = 0.3;
constexpr double kMaxLatencyRatio = 10;
constexpr Millis kInitialEjection(400);
constexpr int kMaxEjectionDoublings = 3;

PendingCall
ToPendingCall(const DispatchCall& aCall, TimePoint aQueuedAt)
{
  PendingCall pending;
  pending.id = aCall.id;
  pending.priority = aCall.priority;
  pending.beginsProgram = aCall.beginsProgram;
  pending.queuedAt = aQueuedAt;
  pending.programDeadline = aCall.programDeadline;
  pending.deadline = aCall.deadline;
  return pending;
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings aSettings)
  : settings(std::move(aSettings))
{
}

void
Dispatcher::SetEndpoints(const std::string& aService,
                         const std::vector<DispatchEndpoint>& aEndpoints)
{
  for (auto& entry : this->endpoints) {
    if (entry.second.service == aService) {
      entry.second.takesCalls = false;
    }
  }
  for (const DispatchEndpoint& endpoint : aEndpoints) {
    EndpointState& state = this->endpoints[endpoint.id];
    state.endpoint = endpoint;
    state.hash = EndpointHash(endpoint.id);
    state.service = aService;
    state.takesCalls = true;
  }
  for (auto it = this->endpoints.begin(); it != this->endpoints.end();) {
    const bool unused = !it->second.takesCalls && it->second.ownLoad == 0;
    it = unused ? this->endpoints.erase(it) : std::next(it);
  }
}

void
Dispatcher::SetRateLimit(const std::string& aEndpoint,
                         std::optional<double> aCallsPerSecond)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    found->second.endpoint.callsPerSecond = aCallsPerSecond;
  }
}

void
Dispatcher::HoldEndpoint(const std::string& aEndpoint, TimePoint aUntil)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    found->second.heldUntil = aUntil;
  }
}

Placement
Dispatcher::Place(const ScoredEndpoint& aEndpoint,
                  const DispatchCall& aCall,
                  TimePoint aNow)
{
  EndpointState& state = *aEndpoint.state;
  Placement placement;
  placement.callId = aCall.id;
  placement.endpoint = state.endpoint.id;
  placement.expectedMillis = aEndpoint.expectedMillis;
  placement.ownLoad = state.ownLoad;
  placement.otherLoad = this->OtherLoad(state, aNow);
  ++state.ownLoad;
  for (const PromptPart& part : aCall.prompt) {
    RecordCached(state, part);
  }
  if (!aCall.prompt.empty()) {
    // The generated tokens extend the last part in the cache.
    const PromptPart& last = aCall.prompt.back();
    RecordCached(state, { last.id, last.tokens + aCall.maxOutputTokens });
  }
  if (!aCall.affinityKey.empty()) {
    RecordCached(state, { aCall.affinityKey, 0 });
  }
  this->inFlight[aCall.id] = { state.endpoint.id,
                               aCall.route,
                               aCall.maxOutputTokens > 0 };
  return placement;
}

bool
Dispatcher::IsPlacedBefore(const DispatchCall& aLeft,
                           const DispatchCall& aRight,
                           TimePoint aNow) const
{
  PendingCall left = ToPendingCall(aLeft, aNow);
  PendingCall right = ToPendingCall(aRight, aNow);
  // In basic mode, first turns are not told from others.
  left.beginsProgram &= this->IsAdaptive(aLeft.service);
  right.beginsProgram &= this->IsAdaptive(aRight.service);
  return GoesBefore(left, right, aNow);
}

double
Dispatcher::SlotFactorOf(const QueuedCall& aQueued, TimePoint aNow)
{
  const DispatchCall& call = aQueued.call;
  if (!this->IsAdaptive(call.service)) {
    const bool waitedLong =
      aNow - aQueued.queuedAt >= this->settings.maxSlotWait;
    return waitedLong ? this->settings.overcommitFactor : 1;
  }
  SlotRules rules;
  rules.maxSlotWait = this->settings.maxSlotWait;
  rules.overcommitFactor = this->settings.overcommitFactor;
  const Millis expected(static_cast<int64_t>(this->RouteMillis(call.route)));
  return SlotFactor(ToPendingCall(call, aQueued.queuedAt),
                    this->urgencyMixes[call.service],
                    expected,
                    rules,
                    aNow);
}

bool
Dispatcher::HasCallAhead(const DispatchCall& aCall, TimePoint aNow) const
{
  return std::any_of(this->queue.begin(),
                     this->queue.end(),
                     [this, &aCall, aNow](const QueuedCall& aQueued) {
                       return aQueued.call.service == aCall.service &&
                              this->IsPlacedBefore(aQueued.call, aCall, aNow);
                     });
}

bool
Dispatcher::WouldMissDeadline(const DispatchCall& aCall, TimePoint aNow)
{
  double callsPerSecond = 0;
  for (const EndpointState* state : this->Candidates(aCall, aNow)) {
    if (!state->endpoint.callsPerSecond) {
      return false;
    }
    callsPerSecond += *state->endpoint.callsPerSecond;
  }
  const auto ahead =
    std::count_if(this->queue.begin(),
                  this->queue.end(),
                  [this, &aCall, aNow](const QueuedCall& aQueued) {
                    return aQueued.call.service == aCall.service &&
                           this->IsPlacedBefore(aQueued.call, aCall, aNow);
                  });
  // The first in the queue is placed as soon as any rate permits it.
  if (ahead == 0 || !aCall.deadline) {
    return false;
  }
  const double share = callsPerSecond / static_cast<double>(this->fleetSize);
  const double secondsLeft =
    std::chrono::duration<double>(*aCall.deadline - aNow).count();
  return static_cast<double>(ahead) + 1 > share * secondsLeft;
}

DispatchDecision
Dispatcher::Submit(const DispatchCall& aCall, TimePoint aNow)
{
  this->ExpireReports(aNow);
  if (this->Candidates(aCall, aNow).empty()) {
    return Refused{ DispatchRefusal::kNoEndpoint, 0 };
  }
  if (aCall.beginsProgram) {
    const double limit = this->settings.admissionLimit -
                         this->settings.admissionLimitStep * aCall.priority;
    double utilisation = this->ServiceUtilisation(aCall.service, aNow);
    for (const QueuedCall& queued : this->queue) {
      utilisation += queued.call.service == aCall.service ? 0.02 : 0;
    }
    if (utilisation >= limit) {
      return Refused{ DispatchRefusal::kOverloaded, utilisation };
    }
  }
  const bool isAdaptive = this->IsAdaptive(aCall.service);
  if (isAdaptive) {
    this->urgencyMixes[aCall.service].Record(aCall.priority, aNow);
  }
  // Under adaptive placement no call overtakes a queued one that goes before
  // it, so a first turn takes no slot that a program under way waits for.
  if (!isAdaptive || !this->HasCallAhead(aCall, aNow)) {
    const double slotFactor = this->SlotFactorOf({ aCall, aNow }, aNow);
    if (const auto best = this->BestEndpoint(aCall, slotFactor, aNow)) {
      return this->Place(*best, aCall, aNow);
    }
  }
  if (this->WouldMissDeadline(aCall, aNow)) {
    return Refused{ DispatchRefusal::kOverloaded,
                    this->ServiceUtilisation(aCall.service, aNow) };
  }
  this->queue.push_back({ aCall, aNow });
  return Queued{ this->queue.size() - 1 };
}

std::vector<Placement>
Dispatcher::PlaceQueued(TimePoint aNow)
{
  this->ExpireReports(aNow);
  this->queue.sort(
    [this, aNow](const QueuedCall& aLeft, const QueuedCall& aRight) {
      return this->IsPlacedBefore(aLeft.call, aRight.call, aNow);
    });
  std::vector<Placement> placements;
  for (auto it = this->queue.begin(); it != this->queue.end();) {
    const auto best =
      this->BestEndpoint(it->call, this->SlotFactorOf(*it, aNow), aNow);
    if (!best) {
      ++it;
      continue;
    }
    placements.push_back(this->Place(*best, it->call, aNow));
    it = this->queue.erase(it);
  }
  return placements;
}

std::vector<uint64_t>
Dispatcher::DropUnservable(TimePoint aNow)
{
  std::vector<uint64_t> dropped;
  for (const QueuedCall& queued : this->queue) {
    if (this->Candidates(queued.call, aNow).empty()) {
      dropped.push_back(queued.call.id);
    }
  }
  for (const uint64_t id : dropped) {
    this->RemoveQueued(id);
  }
  return dropped;
}

void
Dispatcher::RemoveQueued(uint64_t aCallId)
{
  this->queue.remove_if([aCallId](const QueuedCall& aQueued) {
    return aQueued.call.id == aCallId;
  });
}

void
Dispatcher::UpdateLatency(EndpointState& aState,
                          const InFlightCall& aCall,
                          const AttemptOutcome& aOutcome)
{
  double& whole = this->routeMillis[aCall.route];
  const double took = std::max(0.1, MillisOf(aOutcome.duration));
  double& service = this->serviceMillis[aState.service];
  service = service == 0 ? took : service + kEwmaWeight * (took - service);
  whole = whole == 0 ? took : whole + kEwmaWeight * (took - whole);
  double sample = took;
  double mean = whole;
  if (aCall.isStream) {
    if (aOutcome.streamedTokens == 0 || aOutcome.streamDuration.count() <= 0) {
      return;
    }
    double& token = this->tokenMillis[aCall.route];
    sample = MillisOf(aOutcome.streamDuration) /
             static_cast<double>(aOutcome.streamedTokens);
    token = token == 0 ? sample : token + kEwmaWeight * (sample - token);
    mean = token;
  }
  const double ratio =
    std::clamp(sample / mean, kMinLatencyRatio, kMaxLatencyRatio);
  aState.latencyRatio += kEwmaWeight * (ratio - aState.latencyRatio);
}

void
Dispatcher::OnAttemptEnded(uint64_t aCallId,
                           const AttemptOutcome& aOutcome,
                           TimePoint aNow)
{
  auto found = this->inFlight.find(aCallId);
  if (found == this->inFlight.end()) {
    return;
  }
  const InFlightCall call = found->second;
  this->inFlight.erase(found);
  auto entry = this->endpoints.find(call.endpoint);
  if (entry == this->endpoints.end()) {
    return;
  }
  EndpointState& state = entry->second;
  state.ownLoad = std::max(0, state.ownLoad - 1);
  if (aOutcome.result == AttemptResult::kSucceeded) {
    state.consecutiveFailures = 0;
    this->UpdateLatency(state, call, aOutcome);
  } else if (aOutcome.result == AttemptResult::kUnreachable) {
    const int doublings =
      std::min(state.consecutiveFailures, kMaxEjectionDoublings);
    state.ejectedUntil = aNow + kInitialEjection * (1 << doublings);
    ++state.consecutiveFailures;
  }
  if (!state.takesCalls && state.ownLoad == 0) {
    this->endpoints.erase(entry);
  }
}

} // namespace tanagerseam
