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
// A service is contended from this utilisation on, and for some time after it,
// since reports of the load are up to this old.
constexpr double kContendedUtilisation = 0.85;
constexpr Millis kContentionMemory(1500);

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
    const bool restarted =
      state.endpoint.startedAtMillis != endpoint.startedAtMillis;
    if (restarted && this->IsAdaptive(aService)) {
      state.cached.clear();
      state.cachedIndex.clear();
      state.cachedTokens = 0;
    }
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
  InFlightCall& call = this->inFlight[aCall.id];
  call = { state.endpoint.id, aCall.route, aCall.maxOutputTokens > 0 };
  if (aEndpoint.inputs) {
    this->BeginWork(call, *aEndpoint.inputs, aCall, state.hash);
    placement.inputs = aEndpoint.inputs;
  }
  return placement;
}

Millis
Dispatcher::ExpectedMillis(const DispatchCall& aCall) const
{
  return Millis(static_cast<int64_t>(this->RouteMillis(aCall.route)));
}

PendingCall
Dispatcher::MakePending(const DispatchCall& aCall,
                        TimePoint aQueuedAt,
                        TimePoint aNow)
{
  PendingCall pending;
  pending.id = aCall.id;
  pending.priority = aCall.priority;
  pending.queuedAt = aQueuedAt;
  pending.programDeadline = aCall.programDeadline;
  pending.deadline = aCall.deadline;
  // In basic mode, first turns are not told from others.
  if (aCall.beginsProgram && this->IsAdaptive(aCall.service)) {
    pending.beginsProgram = true;
    pending.need =
      this->programNeeds.NeedOf(aCall.route, this->ExpectedMillis(aCall));
    pending.isOverShare = this->IsOverShare(aCall, aNow);
  }
  return pending;
}

bool
Dispatcher::IsContended(const std::string& aService, TimePoint aNow)
{
  TimePoint& until = this->contendedUntil[aService];
  if (this->ServiceUtilisation(aService, aNow) >= kContendedUtilisation) {
    until = aNow + kContentionMemory;
  }
  return aNow < until;
}

bool
Dispatcher::IsOverShare(const DispatchCall& aCall, TimePoint aNow)
{
  return !aCall.organisation.empty() &&
         this->accounts.IsOverShare(StableHash(aCall.organisation), aNow) &&
         this->IsContended(aCall.service, aNow);
}

std::vector<OrganisationShare>
Dispatcher::OwnWork(TimePoint aNow)
{
  const bool anyContended =
    std::any_of(this->admissions.begin(),
                this->admissions.end(),
                [this, aNow](const auto& aEntry) {
                  return this->IsContended(aEntry.first, aNow);
                });
  return anyContended ? this->accounts.Report(aNow)
                      : std::vector<OrganisationShare>();
}

double
Dispatcher::SlotFactorOf(const QueuedCall& aQueued, TimePoint aNow)
{
  const std::string& service = aQueued.call.service;
  if (!this->IsAdaptive(service)) {
    const bool waitedLong =
      aNow - aQueued.pending.queuedAt >= this->settings.maxSlotWait;
    return waitedLong ? this->settings.overcommitFactor : 1;
  }
  ServiceAdmission& admission = this->admissions[service];
  if (aQueued.pending.beginsProgram) {
    admission.UpdateRoom({ this->ServiceUtilisation(service, aNow),
                           this->ServiceCapacity(service),
                           this->fleetSize },
                         aNow);
    if (!admission.HasRoomFor(aQueued.pending, aNow)) {
      return 0;
    }
  }
  SlotRules rules;
  rules.maxSlotWait = this->settings.maxSlotWait;
  rules.overcommitFactor = this->settings.overcommitFactor;
  return admission.SlotFactor(
    aQueued.pending, this->ExpectedMillis(aQueued.call), rules, aNow);
}

std::optional<Placement>
Dispatcher::TryPlace(const QueuedCall& aQueued,
                     double aSlotFactor,
                     TimePoint aNow)
{
  if (aSlotFactor <= 0) {
    return std::nullopt;
  }
  const DispatchCall& call = aQueued.call;
  const auto best = this->BestEndpoint(call, aSlotFactor, aNow);
  if (!best) {
    return std::nullopt;
  }
  if (this->IsAdaptive(call.service)) {
    this->admissions[call.service].RecordSent(aQueued.pending, aNow);
    if (!call.organisation.empty()) {
      this->accounts.RecordSent(
        StableHash(call.organisation), this->RouteMillis(call.route), aNow);
    }
    this->programNeeds.RecordSent(
      call.route, call.cacheGroup, call.beginsProgram, aNow);
  }
  return this->Place(*best, call, aNow);
}

size_t
Dispatcher::CallsAhead(const PendingCall& aPending,
                       const std::string& aService,
                       bool aOnlyFirstTurns,
                       TimePoint aNow) const
{
  return static_cast<size_t>(std::count_if(
    this->queue.begin(), this->queue.end(), [&](const QueuedCall& aQueued) {
      return aQueued.call.service == aService &&
             (!aOnlyFirstTurns || aQueued.call.beginsProgram) &&
             GoesBefore(aQueued.pending, aPending, aNow);
    }));
}

bool
Dispatcher::HasLearned(TimePoint aNow) const
{
  return !this->arrivals.empty() ||
         (this->firstCallAt && aNow - *this->firstCallAt >= kLearningTime);
}

std::optional<Millis>
Dispatcher::ReportAge(TimePoint aNow) const
{
  if (this->arrivals.empty()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(aNow -
                                            this->arrivals.back().receivedAt);
}

double
Dispatcher::ServiceCapacity(const std::string& aService) const
{
  double capacity = 0;
  for (const auto& entry : this->endpoints) {
    const EndpointState& state = entry.second;
    if (state.service == aService && state.takesCalls) {
      capacity += this->Capacity(state);
    }
  }
  return capacity;
}

std::optional<Refused>
Dispatcher::RefuseByUtilisation(const DispatchCall& aCall, TimePoint aNow)
{
  const double limit = this->settings.admissionLimit -
                       this->settings.admissionLimitStep * aCall.priority;
  double utilisation = this->ServiceUtilisation(aCall.service, aNow);
  for (const QueuedCall& queued : this->queue) {
    utilisation += queued.call.service == aCall.service ? 0.02 : 0;
  }
  if (utilisation < limit) {
    return std::nullopt;
  }
  Refused refused{ DispatchRefusal::kOverloaded, utilisation };
  refused.reportAge = this->ReportAge(aNow);
  return refused;
}

std::optional<Refused>
Dispatcher::RefuseFirstTurn(const DispatchCall& aCall, TimePoint aNow)
{
  const PendingCall pending = this->MakePending(aCall, aNow, aNow);
  QueueState state;
  state.utilisation = this->ServiceUtilisation(aCall.service, aNow);
  state.utilisationLimit = this->settings.admissionLimit -
                           this->settings.admissionLimitStep * aCall.priority;
  state.callsAhead = this->CallsAhead(pending, aCall.service, false, aNow);
  state.firstTurnsAhead = this->CallsAhead(pending, aCall.service, true, aNow);
  state.maxFirstTurnRate = this->ServiceCapacity(aCall.service) /
                           static_cast<double>(this->fleetSize) /
                           std::max(1.0, MillisOf(pending.need));
  const FirstTurnVerdict verdict =
    this->admissions[aCall.service].JudgeFirstTurn(pending, state, aNow);
  if (!verdict.cause) {
    return std::nullopt;
  }
  return Refused{ DispatchRefusal::kOverloaded,
                  verdict.utilisation,
                  *verdict.cause,
                  state.callsAhead,
                  verdict.expectedWait,
                  pending.need,
                  this->ReportAge(aNow) };
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
  const size_t ahead = this->CallsAhead(
    this->MakePending(aCall, aNow, aNow), aCall.service, false, aNow);
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
  const bool isAdaptive = this->IsAdaptive(aCall.service);
  if (isAdaptive) {
    this->firstCallAt = this->firstCallAt.value_or(aNow);
    this->admissions[aCall.service].RecordArrival(aCall.priority, aNow);
  }
  if (aCall.beginsProgram) {
    const auto refused = isAdaptive && this->HasLearned(aNow)
                           ? this->RefuseFirstTurn(aCall, aNow)
                           : this->RefuseByUtilisation(aCall, aNow);
    if (refused) {
      return *refused;
    }
  }
  const QueuedCall queued{ aCall, this->MakePending(aCall, aNow, aNow) };
  // Under adaptive placement no call overtakes a queued one that goes before
  // it, so a first turn takes no slot that a program under way waits for.
  if (!isAdaptive ||
      this->CallsAhead(queued.pending, aCall.service, false, aNow) == 0) {
    const auto placement =
      this->TryPlace(queued, this->SlotFactorOf(queued, aNow), aNow);
    if (placement) {
      return *placement;
    }
  }
  if (this->WouldMissDeadline(aCall, aNow)) {
    Refused refused{ DispatchRefusal::kOverloaded,
                     this->ServiceUtilisation(aCall.service, aNow) };
    refused.cause = AdmissionCause::kRates;
    return refused;
  }
  this->queue.push_back(queued);
  return Queued{ this->queue.size() - 1 };
}

std::vector<Placement>
Dispatcher::PlaceQueued(TimePoint aNow)
{
  this->ExpireReports(aNow);
  for (QueuedCall& queued : this->queue) {
    queued.pending =
      this->MakePending(queued.call, queued.pending.queuedAt, aNow);
  }
  this->queue.sort([aNow](const QueuedCall& aLeft, const QueuedCall& aRight) {
    return GoesBefore(aLeft.pending, aRight.pending, aNow);
  });
  // The largest slot factor at which a call found no endpoint, by service.
  // Loads only rise within this loop, so other calls need not search at it.
  std::map<std::string, double> fullAt;
  std::vector<Placement> placements;
  for (auto it = this->queue.begin(); it != this->queue.end();) {
    const DispatchCall& call = it->call;
    const double slotFactor = this->SlotFactorOf(*it, aNow);
    double& full = fullAt[call.service];
    std::optional<Placement> placement;
    if (slotFactor > full) {
      placement = this->TryPlace(*it, slotFactor, aNow);
    }
    if (placement) {
      placements.push_back(*placement);
      it = this->queue.erase(it);
      continue;
    }
    const bool mayGoAnywhere =
      call.excludedEndpoints.empty() && !call.version && !call.allowedRegions;
    full = mayGoAnywhere ? std::max(full, slotFactor) : full;
    ++it;
  }
  return placements;
}

std::vector<MissedCall>
Dispatcher::DropMissed(TimePoint aNow)
{
  std::vector<MissedCall> missed;
  for (const QueuedCall& queued : this->queue) {
    const std::string& service = queued.call.service;
    if (!queued.pending.beginsProgram ||
        !this->admissions[service].HasMissedItsBegin(queued.pending, aNow)) {
      continue;
    }
    const double utilisation = this->ServiceUtilisation(service, aNow);
    missed.push_back({ queued.pending.id,
                       { DispatchRefusal::kOverloaded,
                         utilisation,
                         AdmissionCause::kWaited,
                         0,
                         Millis(0),
                         queued.pending.need,
                         this->ReportAge(aNow) } });
  }
  for (const MissedCall& call : missed) {
    this->RemoveQueued(call.id);
  }
  return missed;
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

double
Dispatcher::LatencyWeight(const EndpointState& aState) const
{
  if (!this->IsAdaptive(aState.service)) {
    return kEwmaWeight;
  }
  // A host gets few samples of an endpoint in a large fleet. The first ones
  // count as in a mean that begins with one sample of an average endpoint.
  return std::max(kEwmaWeight, 1.0 / (aState.latencySamples + 2));
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
  aState.latencyRatio +=
    this->LatencyWeight(aState) * (ratio - aState.latencyRatio);
  ++aState.latencySamples;
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
  this->work.End(aCallId);
  auto entry = this->endpoints.find(call.endpoint);
  if (entry == this->endpoints.end()) {
    return;
  }
  EndpointState& state = entry->second;
  state.ownLoad = std::max(0, state.ownLoad - 1);
  if (aOutcome.result == AttemptResult::kSucceeded) {
    state.consecutiveFailures = 0;
    this->UpdateLatency(state, call, aOutcome);
    this->LearnCost(call, aOutcome);
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
