// Endpoint policy "round_robin": the next endpoint by name after the one chosen
// before. A baseline.
#include "route/route.h"

namespace tanagerseam {

namespace {

class RoundRobin : public EndpointPolicy
{
public:
  // Relies on candidates being sorted by name.
  size_t Choose(const DispatchRequest& /*aRequest*/,
                const std::vector<const EndpointState*>& aCandidates,
                std::mt19937_64& /*aRandom*/) override
  {
    size_t chosen = 0;
    for (size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i]->config.name > this->lastChosen) {
        chosen = i;
        break;
      }
    }
    this->lastChosen = aCandidates[chosen]->config.name;
    return chosen;
  }

private:
  std::string lastChosen;
};

const Registration<EndpointPolicy> kRegistration("round_robin", [] {
  return std::make_unique<RoundRobin>();
});

} // namespace

} // namespace tanagerseam
