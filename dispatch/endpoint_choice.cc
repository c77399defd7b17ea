// Which endpoint a call goes to.
#include "dispatch/dispatch.h"

#include <algorithm>
#include <tuple>

#include "dispatch/dispatch_constants.h"
#include "dispatch/estimate.h"

namespace tanagerseam {

namespace {

// Prompt parts and affinity keys tracked for each endpoint.
constexpr size_t kMaxCachedParts = 512;
constexpr double kMaxEjectedFraction = 0.5;
// Fraction of a prompt part assumed to be cached at the preferred endpoint; the
// rest is new in this turn.
constexpr double kAssumedCachedFraction = 0.7;
// A part counts as cached from this fraction on, so that the parts after it can
// be prefix cache hits too.
constexpr double kFullyCachedFraction = 0.9;

// Rank of an endpoint for a group; the same on all hosts.
uint64_t
GroupRank(const std::string& aGroup, const std::string& aEndpoint)
{
  return StableHash(aGroup + "@" + aEndpoint);
}

int64_t
AssumedCachedTokens(const PromptPart& aPart)
{
  return static_cast<int64_t>(static_cast<double>(aPart.tokens) *
                              kAssumedCachedFraction);
}

} // namespace

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
Dispatcher::RouteMillis(const std::string& aRoute) const
{
  auto found = this->routeMillis.find(aRoute);
  return found == this->routeMillis.end() ? kDefaultRouteMillis : found->second;
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
                           GroupRank(aGroup, aState->endpoint.id));
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
  const double slowness = this->Slowness(aState, aNow);
  double serviceMillis = this->RouteMillis(aCall.route) * slowness;
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
  const double prefill = uncached / this->settings.prefillTokensPerMilli *
                         (1 + stalled) * (this->IsPaced(aState) ? slowness : 1);
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

std::vector<Dispatcher::EndpointState*>
Dispatcher::GroupEndpoints(const std::vector<EndpointState*>& aStates,
                           const EndpointState* aPreferred,
                           const std::string& aGroup) const
{
  std::vector<std::pair<uint64_t, EndpointState*>> ranked;
  std::vector<EndpointState*> compared;
  for (EndpointState* state : aStates) {
    if (state == aPreferred) {
      compared.push_back(state);
    } else {
      ranked.emplace_back(GroupRank(aGroup, state->endpoint.id), state);
    }
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  ranked.resize(std::min(ranked.size(), this->settings.groupAlternates));
  for (const auto& entry : ranked) {
    compared.push_back(entry.second);
  }
  return compared;
}

std::vector<Dispatcher::EndpointState*>
Dispatcher::ComparedEndpoints(const std::vector<EndpointState*>& aWithRoom,
                              const EndpointState* aPreferred,
                              const DispatchCall& aCall) const
{
  // Calls without a group would all be compared at the same few endpoints.
  if (aCall.cacheGroup.empty() || !this->IsAdaptive(aCall.service)) {
    return this->SampleEndpoints(aWithRoom, aPreferred, aCall.id);
  }
  return this->GroupEndpoints(aWithRoom, aPreferred, aCall.cacheGroup);
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
    const double room =
      std::max(1.0, aSlotFactor * this->PacedCapacity(*state, aNow));
    if (aNow >= state->heldUntil && this->TotalLoad(*state, aNow) < room) {
      withRoom.push_back(state);
    }
  }
  std::optional<CostPrediction> cost;
  if (this->IsAdaptive(aCall.service)) {
    cost = this->predictor.Predict(TraitsOf(aCall));
  }
  std::optional<ScoredEndpoint> best;
  for (EndpointState* state :
       this->ComparedEndpoints(withRoom, preferred, aCall)) {
    const bool isPreferred = state == preferred;
    const ScoredEndpoint scored =
      cost ? this->ScoreAdaptively(*state, aCall, *cost, isPreferred, aNow)
           : ScoredEndpoint{
               state, this->EstimateMillis(*state, aCall, isPreferred, aNow)
             };
    if (!best || scored.expectedMillis < best->expectedMillis) {
      best = scored;
    }
  }
  return best;
}

void
Dispatcher::RecordCached(EndpointState& aState, const PromptPart& aPart) const
{
  auto known = aState.cachedIndex.find(aPart.id);
  if (known != aState.cachedIndex.end()) {
    aState.cached.splice(aState.cached.begin(), aState.cached, known->second);
    const int64_t tokens = std::max(known->second->tokens, aPart.tokens);
    aState.cachedTokens += tokens - known->second->tokens;
    known->second->tokens = tokens;
  } else {
    aState.cached.push_front({ aPart.id, aPart.tokens });
    aState.cachedIndex[aPart.id] = aState.cached.begin();
    aState.cachedTokens += aPart.tokens;
  }
  if (aState.cached.size() > kMaxCachedParts) {
    EvictLeastRecentlyUsed(aState);
  }
  const int64_t memory =
    this->IsAdaptive(aState.service) ? aState.endpoint.cacheTokens : 0;
  // The part itself stays: the endpoint holds what it runs.
  while (memory > 0 && aState.cachedTokens > memory &&
         aState.cached.size() > 1) {
    EvictLeastRecentlyUsed(aState);
  }
}

void
Dispatcher::EvictLeastRecentlyUsed(EndpointState& aState)
{
  aState.cachedTokens -= aState.cached.back().tokens;
  aState.cachedIndex.erase(aState.cached.back().id);
  aState.cached.pop_back();
}

} // namespace tanagerseam
