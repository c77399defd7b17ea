// Endpoint policy "least_load": the lowest load in the newest reports; ties go
// to the first by name. A baseline: it ignores calls granted since the report,
// so between two reports it sends all calls to the same endpoint.
#include <algorithm>

#include "route/route.h"

namespace tanagerseam {

namespace {

int
ReportedLoad(const EndpointState* aState)
{
  return aState->report.running + aState->report.queued;
}

class LeastLoad : public EndpointPolicy
{
public:
  size_t Choose(const DispatchRequest& /*aRequest*/,
                const std::vector<const EndpointState*>& aCandidates,
                std::mt19937_64& /*aRandom*/) override
  {
    auto least = std::min_element(
      aCandidates.begin(),
      aCandidates.end(),
      [](const EndpointState* aLeft, const EndpointState* aRight) {
        return ReportedLoad(aLeft) < ReportedLoad(aRight);
      });
    return static_cast<size_t>(least - aCandidates.begin());
  }
};

const Registration<EndpointPolicy> kRegistration("least_load", [] {
  return std::make_unique<LeastLoad>();
});

} // namespace

} // namespace tanagerseam
