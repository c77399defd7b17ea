// The estimate of adaptive placement: work at the endpoint and of the call.
#include <algorithm>

#include "dispatch/dispatch_constants.h"
#include "dispatch/estimate.h"

namespace tanagerseam {

namespace {

// Assumed time per token on a route without samples.
constexpr double kDefaultTokenMillis = 3;
// Weight of the outstanding work at an endpoint that has a free slot, for a
// call with a prompt. With 0.3, calls left warm caches for endpoints with less
// work, and programs took 2 to 3 in 100 longer in the fleet model. Without it,
// endpoints with equal caches would be taken in one order.
constexpr double kPromptWorkWeight = 0.1;

} // namespace

CallTraits
TraitsOf(const DispatchCall& aCall)
{
  CallTraits traits;
  traits.route = aCall.route;
  traits.organisation = aCall.organisation;
  traits.program = aCall.cacheGroup;
  traits.session = aCall.prompt.empty() ? "" : aCall.prompt.back().id;
  traits.maxOutputTokens = aCall.maxOutputTokens;
  traits.outputTokensHint = aCall.outputTokensHint;
  return traits;
}

double
Dispatcher::TokenMillis(const std::string& aRoute) const
{
  const auto found = this->tokenMillis.find(aRoute);
  return found == this->tokenMillis.end() ? kDefaultTokenMillis : found->second;
}

double
Dispatcher::OwnMillis(const DispatchCall& aCall,
                      const CostPrediction& aCost) const
{
  return aCall.maxOutputTokens > 0
           ? aCost.outputTokens * this->TokenMillis(aCall.route)
           : aCost.millis;
}

double
Dispatcher::OtherWork(const EndpointState& aState, TimePoint aNow) const
{
  const auto mean = this->workMillis.find(aState.service);
  return this->work.Others(aState.hash,
                           this->OtherLoad(aState, aNow),
                           mean == this->workMillis.end() ? kDefaultRouteMillis
                                                          : mean->second);
}

Dispatcher::ScoredEndpoint
Dispatcher::ScoreAdaptively(EndpointState& aState,
                            const DispatchCall& aCall,
                            const CostPrediction& aCost,
                            bool aIsPreferred,
                            TimePoint aNow) const
{
  PlacementInputs inputs;
  inputs.ownWorkMillis = this->work.Own(aState.hash);
  inputs.otherWorkMillis = this->OtherWork(aState, aNow);
  inputs.workAge = this->work.NewestReportAge(aNow);
  inputs.slowness = this->Slowness(aState, aNow);
  inputs.paceAge = aState.pace.Age(aNow);
  inputs.uncachedTokens = UncachedTokens(aState, aCall, aIsPreferred);
  inputs.predictedMillis = this->OwnMillis(aCall, aCost);
  inputs.errorFactor = aCost.errorFactor;
  inputs.isPreferred = aIsPreferred;
  const double slots = std::max(1.0, this->Capacity(aState));
  const double load = this->TotalLoad(aState, aNow);
  const double work = inputs.ownWorkMillis + inputs.otherWorkMillis;
  // Calls that must end before this one runs, and their mean outstanding work.
  const double ahead = std::max(0.0, load + 1 - slots);
  const double wait =
    ahead / slots * work / std::max(1.0, load) +
    (aCall.prompt.empty() ? 1 : kPromptWorkWeight) * work / slots;
  // For the batch that the endpoint will have while it prefills: one that is
  // idle now isn't so for long, and taking it for free there spreads a prompt
  // over many caches.
  const double stalled = this->settings.prefillStallWeight * slots;
  const double prefill = static_cast<double>(inputs.uncachedTokens) /
                         this->settings.prefillTokensPerMilli * (1 + stalled);
  const bool isAffine = !aCall.affinityKey.empty() &&
                        aState.cachedIndex.count(aCall.affinityKey) > 0;
  const double own =
    inputs.predictedMillis * (isAffine ? 1 - kAffinitySaving : 1);
  const double crossZone =
    this->IsInOwnZone(aState) ? 0 : this->settings.crossZoneMillis;
  return { &aState,
           (wait + prefill + own) * inputs.slowness + crossZone,
           inputs };
}

void
Dispatcher::BeginWork(InFlightCall& aInFlight,
                      const PlacementInputs& aInputs,
                      const DispatchCall& aCall,
                      uint32_t aEndpointHash)
{
  aInFlight.isAdaptive = true;
  aInFlight.traits = TraitsOf(aCall);
  aInFlight.slowness = aInputs.slowness;
  aInFlight.prefillMillis = static_cast<double>(aInputs.uncachedTokens) /
                            this->settings.prefillTokensPerMilli;
  aInFlight.tokenMillis = this->TokenMillis(aCall.route);
  const double millis = aInFlight.prefillMillis + aInputs.predictedMillis;
  this->work.Begin(aCall.id, aEndpointHash, millis);
  double& mean =
    this->workMillis.try_emplace(aCall.service, millis).first->second;
  mean += kEwmaWeight * (millis - mean);
}

void
Dispatcher::OnProgress(uint64_t aCallId, int64_t aTokens)
{
  auto found = this->inFlight.find(aCallId);
  if (found == this->inFlight.end() || !found->second.isAdaptive) {
    return;
  }
  InFlightCall& call = found->second;
  call.tokens = aTokens;
  this->work.Progress(aCallId,
                      call.prefillMillis +
                        static_cast<double>(aTokens) * call.tokenMillis);
}

void
Dispatcher::LearnCost(const InFlightCall& aCall, const AttemptOutcome& aOutcome)
{
  if (aCall.isAdaptive) {
    this->predictor.OnEnded(aCall.traits,
                            std::max(aCall.tokens, aOutcome.streamedTokens),
                            MillisOf(aOutcome.duration) / aCall.slowness);
  }
}

} // namespace tanagerseam
