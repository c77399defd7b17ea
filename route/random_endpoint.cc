// Endpoint policy "random": uniformly random candidate. A baseline.
#include "route/route.h"

namespace tanagerseam {

namespace {

class RandomEndpoint : public EndpointPolicy
{
public:
  size_t Choose(const DispatchRequest& /*aRequest*/,
                const std::vector<const EndpointState*>& aCandidates,
                std::mt19937_64& aRandom) override
  {
    std::uniform_int_distribution<size_t> distribution(0,
                                                       aCandidates.size() - 1);
    return distribution(aRandom);
  }
};

const Registration<EndpointPolicy> kRegistration("random", [] {
  return std::make_unique<RandomEndpoint>();
});

} // namespace

} // namespace tanagerseam
