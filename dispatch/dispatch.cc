#include "dispatch/dispatch.h"

#include <algorithm>
#include <tuple>

namespace tanagerseam {

namespace {

constexpr double kEwmaWeight = 0.1;
constexpr double kMinLatencyRatio = 0.3;
constexpr double kMaxLatencyRatio = 10;
// Assumed time of a call on a route without samples.
constexpr double kDefaultRouteMillis = 100;
// Prompt parts and affinity keys tracked for each endpoint.
constexpr size_t kMaxCachedParts = 512;
constexpr Millis kInitialEjection(400);
constexpr int kMaxEjectionDoublings = 3;
constexpr double kMaxEjectedFraction = 0.5;
// Fraction of a call's time saved at an endpoint that recently had a call
// with the same affinity key.
constexpr double kAffinitySaving = 0.3;

// Capacity of an endpoint that takes no calls at all; keeps ratios finite.
constexpr double kMinCapacity = 0.01;

// Fraction of a prompt part assumed to be cached at the preferred endpoint; the
// rest is new in this turn.
constexpr double kAssumedCachedFraction = 0.7;
// A part counts as cached from this fraction on, so that the parts after it can
// be prefix cache hits too.
constexpr double kFullyCachedFraction = 0.9;

int64_t
AssumedCachedTokens(const PromptPart& aPart)
{
  return static_cast<int64_t>(static_cast<double>(aPart.tokens) *
                              kAssumedCachedFraction);
}

// Order of queued calls. Calls whose program deadline has passed go last;
// otherwise calls go by priority, then earliest deadline first.
bool
IsPlacedBefore(const DispatchCall& aLeft,
               const DispatchCall& aRight,
               TimePoint aNow)
{
  const bool leftLate = aLeft.programDeadline < aNow;
  const bool rightLate = aRight.programDeadline < aNow;
  return std::tie(leftLate, aLeft.priority, aLeft.programDeadline, aLeft.id) <
         std::tie(
           rightLate, aRight.priority, aRight.programDeadline, aRight.id);
}

double
MillisOf(Millis aTime)
{
  return static_cast<double>(aTime.count());
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

double
Dispatcher::Capacity(const EndpointState& aState) const
{
  const double slots = std::max(1, aState.endpoint.slots);
  if (!aState.endpoint.callsPerSecond) {
    return slots;
  }
  auto found = this->serviceMillis.find(aState.service);
  const double callMillis =
    found == this->serviceMillis.end() ? kDefaultRouteMillis : found->second;
  return std::clamp(
    *aState.endpoint.callsPerSecond * callMillis / 1000, kMinCapacity, slots);
}

bool
Dispatcher::FitsGroup(const EndpointState& aState,
                      const std::string& aGroup,
                      double aMeanLoad) const
{
  const double capacity = this->Capacity(aState);
  if (!aState.endpoint.callsPerSecond || aMeanLoad <= capacity) {
    return true;
  }
  // A uniform number in [0, 1) for the pair of endpoint and group.
  const uint64_t hash = StableHash(aState.endpoint.id + "#" + aGroup);
  const double draw = static_cast<double>(hash >> 11) * 0x1p-53;
  return draw < capacity / aMeanLoad;
}

double
Dispatcher::OtherLoad(const EndpointState& aState, TimePoint aNow) const
{
  const TimePoint newest =
    this->arrivals.empty() ? TimePoint{} : this->arrivals.back().receivedAt;
  const bool hasEndpointReport = aState.reportedAt != TimePoint{} &&
                                 aNow - aState.reportedAt <= kMaxReportAge;
  if (hasEndpointReport && aState.reportedAt >= newest) {
    return aState.reportedOtherLoad;
  }
  auto reported = this->peerLoads.find(aState.hash);
  return reported == this->peerLoads.end() ? 0 : reported->second;
}

void
Dispatcher::CountReport(const EndpointLoads& aLoads, int aSign)
{
  for (const auto& entry : aLoads) {
    int& sum = this->peerLoads[entry.first];
    sum += aSign * entry.second;
    if (sum == 0) {
      this->peerLoads.erase(entry.first);
    }
  }
}

void
Dispatcher::ExpireReports(TimePoint aNow)
{
  while (!this->arrivals.empty() &&
         aNow - this->arrivals.front().receivedAt > kMaxReportAge) {
    const ReportArrival& oldest = this->arrivals.front();
    auto report = this->peers.find(oldest.host);
    const bool superseded = report == this->peers.end() ||
                            report->second.receivedAt > oldest.receivedAt;
    if (!superseded) {
      this->CountReport(report->second.loads, -1);
      this->peers.erase(report);
    }
    this->arrivals.pop_front();
  }
}

double
Dispatcher::RouteMillis(const std::string& aRoute) const
{
  auto found = this->routeMillis.find(aRoute);
  return found == this->routeMillis.end() ? kDefaultRouteMillis : found->second;
}

double
Dispatcher::MeanLoad(const std::vector<EndpointState*>& aStates,
                     TimePoint aNow) const
{
  double load = 0;
  for (const EndpointState* state : aStates) {
    load += this->TotalLoad(*state, aNow);
  }
  return load / static_cast<double>(std::max<size_t>(1, aStates.size()));
}

const Dispatcher::EndpointState*
Dispatcher::PreferredEndpoint(const std::vector<EndpointState*>& aStates,
                              const std::string& aGroup,
                              TimePoint aNow) const
{
  if (aGroup.empty()) {
    return nullptr;
  }
  const bool anyLimited =
    std::any_of(aStates.begin(), aStates.end(), [](const auto* aState) {
      return aState->endpoint.callsPerSecond.has_value();
    });
  const double meanLoad = anyLimited ? this->MeanLoad(aStates, aNow) : 0;
  const auto rank = [this, &aGroup, meanLoad](const EndpointState* aState) {
    return std::make_tuple(this->FitsGroup(*aState, aGroup, meanLoad),
                           this->IsInOwnZone(*aState),
                           StableHash(aGroup + "@" + aState->endpoint.id));
  };
  const EndpointState* preferred = nullptr;
  for (const EndpointState* state : aStates) {
    if (preferred == nullptr || rank(state) > rank(preferred)) {
      preferred = state;
    }
  }
  return preferred;
}

int64_t
Dispatcher::UncachedTokens(const EndpointState& aState,
                           const DispatchCall& aCall,
                           bool aIsPreferred)
{
  int64_t tokens = 0;
  bool prefixCached = true;
  for (const PromptPart& part : aCall.prompt) {
    int64_t cached = aIsPreferred ? AssumedCachedTokens(part) : 0;
    auto known = aState.cachedIndex.find(part.id);
    if (known != aState.cachedIndex.end()) {
      cached = std::max(cached, known->second->tokens);
    }
    cached = prefixCached ? std::min(cached, part.tokens) : 0;
    prefixCached = static_cast<double>(cached) >=
                   static_cast<double>(part.tokens) * kFullyCachedFraction;
    tokens += part.tokens - cached;
  }
  return tokens;
}

double
Dispatcher::EstimateMillis(const EndpointState& aState,
                           const DispatchCall& aCall,
                           bool aIsPreferred,
                           TimePoint aNow) const
{
  double serviceMillis = this->RouteMillis(aCall.route) * aState.latencyRatio;
  if (!aCall.affinityKey.empty() &&
      aState.cachedIndex.count(aCall.affinityKey) > 0) {
    serviceMillis *= 1 - kAffinitySaving;
  }
  const double slots = std::max(1.0, this->Capacity(aState));
  const double load = this->TotalLoad(aState, aNow);
  // Running calls share the endpoint's processor.
  const double slowdown = 1 + 0.15 * std::min(1.0, load / slots);
  const double ahead = std::max(0.0, load + 1 - slots);
  const double wait = ahead / slots * serviceMillis;
  const auto uncached =
    static_cast<double>(UncachedTokens(aState, aCall, aIsPreferred));
  const double stalled =
    this->settings.prefillStallWeight * std::min(load, slots);
  const double prefill =
    uncached / this->settings.prefillTokensPerMilli * (1 + stalled);
  const double crossZone =
    this->IsInOwnZone(aState) ? 0 : this->settings.crossZoneMillis;
  return serviceMillis * slowdown + wait + prefill + crossZone;
}

std::vector<Dispatcher::EndpointState*>
Dispatcher::Candidates(const DispatchCall& aCall, TimePoint aNow)
{
  std::vector<EndpointState*> all;
  std::vector<EndpointState*> notEjected;
  for (auto& entry : this->endpoints) {
    EndpointState& state = entry.second;
    const bool rightVersion =
      !aCall.version || *aCall.version == state.endpoint.version;
    const bool rightRegion =
      !aCall.allowedRegions ||
      aCall.allowedRegions->count(state.endpoint.region) > 0;
    if (state.service != aCall.service || !state.takesCalls || !rightVersion ||
        !rightRegion || aCall.excludedEndpoints.count(entry.first) > 0) {
      continue;
    }
    all.push_back(&state);
    if (aNow >= state.ejectedUntil) {
      notEjected.push_back(&state);
    }
  }
  const double ejected = static_cast<double>(all.size() - notEjected.size());
  const bool tooMany =
    ejected > kMaxEjectedFraction * static_cast<double>(all.size());
  return tooMany ? all : notEjected;
}

std::vector<Dispatcher::EndpointState*>
Dispatcher::SampleEndpoints(const std::vector<EndpointState*>& aStates,
                            const EndpointState* aPreferred,
                            uint64_t aCallId) const
{
  const std::string salt =
    this->settings.host + "/" + std::to_string(aCallId) + "/";
  std::vector<std::pair<uint64_t, EndpointState*>> ranked;
  std::vector<EndpointState*> sampled;
  for (EndpointState* state : aStates) {
    if (state == aPreferred) {
      sampled.push_back(state);
    } else {
      ranked.emplace_back(StableHash(salt + state->endpoint.id), state);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto inOwnZone =
    std::find_if(ranked.begin(), ranked.end(), [this](const auto& aEntry) {
      return this->IsInOwnZone(*aEntry.second);
    });
  if (inOwnZone != ranked.end()) {
    std::rotate(ranked.begin(), inOwnZone, inOwnZone + 1);
  }
  for (size_t i = 0;
       i < std::min(ranked.size(), this->settings.sampledEndpoints);
       ++i) {
    sampled.push_back(ranked[i].second);
  }
  return sampled;
}

std::optional<Dispatcher::ScoredEndpoint>
Dispatcher::BestEndpoint(const DispatchCall& aCall,
                         double aSlotFactor,
                         TimePoint aNow)
{
  const auto candidates = this->Candidates(aCall, aNow);
  const EndpointState* preferred =
    this->PreferredEndpoint(candidates, aCall.cacheGroup, aNow);
  std::vector<EndpointState*> withRoom;
  for (EndpointState* state : candidates) {
    const double room = std::max(1.0, aSlotFactor * this->Capacity(*state));
    if (aNow >= state->heldUntil && this->TotalLoad(*state, aNow) < room) {
      withRoom.push_back(state);
    }
  }
  std::optional<ScoredEndpoint> best;
  for (EndpointState* state :
       this->SampleEndpoints(withRoom, preferred, aCall.id)) {
    const double millis =
      this->EstimateMillis(*state, aCall, state == preferred, aNow);
    if (!best || millis < best->expectedMillis) {
      best = ScoredEndpoint{ state, millis };
    }
  }
  return best;
}

void
Dispatcher::RecordCached(EndpointState& aState, const PromptPart& aPart)
{
  auto known = aState.cachedIndex.find(aPart.id);
  if (known != aState.cachedIndex.end()) {
    aState.cached.splice(aState.cached.begin(), aState.cached, known->second);
    known->second->tokens = std::max(known->second->tokens, aPart.tokens);
    return;
  }
  aState.cached.push_front({ aPart.id, aPart.tokens });
  aState.cachedIndex[aPart.id] = aState.cached.begin();
  if (aState.cached.size() > kMaxCachedParts) {
    aState.cachedIndex.erase(aState.cached.back().id);
    aState.cached.pop_back();
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

double
Dispatcher::ServiceUtilisation(const std::string& aService, TimePoint aNow)
{
  this->ExpireReports(aNow);
  double capacity = 0;
  double load = 0;
  for (const auto& entry : this->endpoints) {
    const EndpointState& state = entry.second;
    if (state.service == aService && state.takesCalls) {
      capacity += this->Capacity(state);
      load += this->TotalLoad(state, aNow);
    }
  }
  return capacity > 0 ? load / capacity : 0;
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
                  [&aCall, aNow](const QueuedCall& aQueued) {
                    return aQueued.call.service == aCall.service &&
                           IsPlacedBefore(aQueued.call, aCall, aNow);
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
  if (const auto best = this->BestEndpoint(aCall, 1, aNow)) {
    return this->Place(*best, aCall, aNow);
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
  this->queue.sort([aNow](const QueuedCall& aLeft, const QueuedCall& aRight) {
    return IsPlacedBefore(aLeft.call, aRight.call, aNow);
  });
  std::vector<Placement> placements;
  for (auto it = this->queue.begin(); it != this->queue.end();) {
    const bool waitedLong = aNow - it->queuedAt >= this->settings.maxSlotWait;
    const double slotFactor = waitedLong ? this->settings.overcommitFactor : 1;
    const auto best = this->BestEndpoint(it->call, slotFactor, aNow);
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

void
Dispatcher::OnPeerReport(const std::string& aHost,
                         EndpointLoads aLoads,
                         TimePoint aNow)
{
  this->ExpireReports(aNow);
  PeerReport& report = this->peers[aHost];
  this->CountReport(report.loads, -1);
  this->CountReport(aLoads, 1);
  report = { std::move(aLoads), aNow };
  this->arrivals.push_back({ aNow, aHost });
}

void
Dispatcher::OnEndpointReport(const std::string& aEndpoint,
                             int aCalls,
                             TimePoint aNow)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    EndpointState& state = found->second;
    state.reportedOtherLoad = std::max(0, aCalls - state.ownLoad);
    state.reportedAt = aNow;
  }
}

EndpointLoads
Dispatcher::OwnLoads() const
{
  EndpointLoads loads;
  for (const auto& entry : this->endpoints) {
    if (entry.second.ownLoad > 0) {
      loads[entry.second.hash] = entry.second.ownLoad;
    }
  }
  return loads;
}

} // namespace tanagerseam
