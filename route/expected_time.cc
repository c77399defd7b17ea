// Endpoint policy "expected_time": the endpoint with the least expected time
// for the call. Calls are counted as soon as they are granted, so that the best
// endpoint does not receive all calls between two load reports.
//
//   expected = queueing + uncached prefill x (1 + stalled calls) + decode
//   queueing = pending prefill + wait for a place in the batch
//
// A prefill stalls all calls in the engine's batch, so it costs its own time
// once for the call and once for each stalled call. Cached tokens cost nothing,
// for this call and for those ahead of it.
//
// Load reports lag. The scheduler counts its own calls exactly and adds only
// the external calls of a report: those beyond its own calls in flight at the
// time of the report.
#include <algorithm>
#include <numeric>

#include "route/route.h"

namespace tanagerseam {

namespace {

// Relative slowdown of decoding in a full batch against an idle engine. Small,
// since a decode step is bound by reading the weights, once for the whole
// batch.
constexpr double kFullBatchSlowdown = 0.25;

// Share of the idle cached programs that make a call during a prefill.
constexpr double kReturningProgramShare = 0.5;

// Calls in flight at the endpoint, of this scheduler and external.
double
Occupancy(const EndpointState& aState)
{
  return aState.inFlight + aState.externalCalls;
}

double
DecodeMillis(const DispatchRequest& aRequest, const EndpointState& aState)
{
  const double capacity = std::max(1, aState.config.capacity);
  const double slowdown = 1 + kFullBatchSlowdown * Occupancy(aState) / capacity;
  return static_cast<double>(aRequest.maxTokens) *
         aState.report.decodeMillisPerToken * slowdown;
}

// Time until the call has a place in the batch: the pending prefill, plus a
// wait for calls to finish if the occupancy exceeds the capacity. The calls are
// taken to finish evenly spread over the time that a call takes.
double
QueueMillis(const DispatchRequest& aRequest, const EndpointState& aState)
{
  const double capacity = std::max(1, aState.config.capacity);
  const double excess = std::max(0.0, Occupancy(aState) + 1 - capacity);
  return aState.pendingPrefillMillis +
         excess * DecodeMillis(aRequest, aState) / capacity;
}

// Cost of a prefill of aTokens, summed over the call and the stalled calls.
double
PrefillCostMillis(int64_t aTokens,
                  const EndpointState& aState,
                  double aStalledCalls)
{
  const double prefillMillis =
    static_cast<double>(aTokens) * aState.report.prefillMillisPerToken;
  return prefillMillis * (1 + aStalledCalls);
}

// Expected number of calls that a prefill stalls: those at the endpoint, and
// the share of the idle cached programs that is expected to make a call
// meanwhile. A program that is warm here is one of the cached programs itself,
// so for it only the calls at the endpoint count.
double
StalledCalls(const DispatchRequest& aRequest, const EndpointState& aState)
{
  const double occupancy = Occupancy(aState);
  if (aState.config.name == aRequest.warmEndpoint) {
    return occupancy;
  }
  const double idlePrograms =
    std::max(0.0, aState.report.heldPrograms - occupancy);
  return occupancy + kReturningProgramShare * idlePrograms;
}

double
ExpectedMillis(const DispatchRequest& aRequest, const EndpointState& aState)
{
  const int64_t uncached = UncachedTokens(aRequest, aState.config.name);
  const double prefill =
    PrefillCostMillis(uncached, aState, StalledCalls(aRequest, aState));
  return QueueMillis(aRequest, aState) + prefill +
         DecodeMillis(aRequest, aState);
}

// Whether the call is expected to finish before the endpoint leaves.
bool
CanFinishBeforeLeaving(const DispatchRequest& aRequest,
                       const EndpointState& aState)
{
  if (!aState.config.leavesIn) {
    return true;
  }
  const double remaining = static_cast<double>(aState.config.leavesIn->count());
  return ExpectedMillis(aRequest, aState) < remaining;
}

class ExpectedTime : public EndpointPolicy
{
public:
  size_t Choose(const DispatchRequest& aRequest,
                const std::vector<const EndpointState*>& aCandidates,
                std::mt19937_64& aRandom) override
  {
    const std::vector<size_t> eligible =
      EligibleCandidates(aRequest, aCandidates);
    // Starting at a random candidate breaks ties evenly.
    std::uniform_int_distribution<size_t> distribution(0, eligible.size() - 1);
    const size_t start = distribution(aRandom);
    size_t best = eligible[start];
    double bestMillis = ExpectedMillis(aRequest, *aCandidates[best]);
    for (size_t i = 1; i < eligible.size(); ++i) {
      const size_t index = eligible[(start + i) % eligible.size()];
      const double millis = ExpectedMillis(aRequest, *aCandidates[index]);
      if (millis < bestMillis) {
        best = index;
        bestMillis = millis;
      }
    }
    return best;
  }

  // Waits while repeating the prefill at another endpoint costs more than the
  // wait, past and expected. This bounds the wait by the cost of the prefill.
  bool ShouldWaitForWarm(const DispatchRequest& aRequest,
                         const EndpointState& aWarmEndpoint,
                         Millis aWaited) override
  {
    if (!CanFinishBeforeLeaving(aRequest, aWarmEndpoint)) {
      return false;
    }
    // Upper bound for the other endpoint: with free capacity it has at least
    // one call less than this full one.
    const double stalledCalls = std::max(0, aWarmEndpoint.inFlight - 1);
    const double repeatedPrefillMillis =
      PrefillCostMillis(aRequest.warmTokens, aWarmEndpoint, stalledCalls);
    // Assumes that the calls in flight finish evenly spread over the time that
    // a call takes.
    const double expectedWaitMillis =
      DecodeMillis(aRequest, aWarmEndpoint) / (aWarmEndpoint.inFlight + 1);
    return repeatedPrefillMillis >
           expectedWaitMillis + static_cast<double>(aWaited.count());
  }

private:
  // Indices of the candidates at which the call can finish before they leave;
  // of all candidates if there is none.
  static std::vector<size_t> EligibleCandidates(
    const DispatchRequest& aRequest,
    const std::vector<const EndpointState*>& aCandidates)
  {
    std::vector<size_t> eligible;
    for (size_t i = 0; i < aCandidates.size(); ++i) {
      if (CanFinishBeforeLeaving(aRequest, *aCandidates[i])) {
        eligible.push_back(i);
      }
    }
    if (eligible.empty()) {
      eligible.resize(aCandidates.size());
      std::iota(eligible.begin(), eligible.end(), 0);
    }
    return eligible;
  }
};

const Registration<EndpointPolicy> kRegistration("expected_time", [] {
  return std::make_unique<ExpectedTime>();
});

} // namespace

} // namespace tanagerseam
