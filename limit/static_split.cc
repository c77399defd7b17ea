// Rate policy "static_split": each daemon enforces an equal share of rate and
// burst without coordination. A baseline for measurements: it refuses unevenly
// distributed traffic although the organisation as a whole is within its rate.
#include <algorithm>

#include "limit/limit.h"

namespace tanagerseam {

namespace {

class StaticSplit : public RatePolicy
{
public:
  bool RequiresOwner() const override { return false; }

  // A share of the burst below 1 grants nothing: the fleet-wide bound takes
  // precedence.
  RateLimit PerMemberLimit(RateLimit aWhole, size_t aMembers) const override
  {
    const double members = static_cast<double>(std::max<size_t>(1, aMembers));
    return { aWhole.ratePerSecond / members, aWhole.burst / members };
  }
};

const Registration<RatePolicy> kRegistration("static_split", [] {
  return std::make_unique<StaticSplit>();
});

} // namespace

} // namespace tanagerseam
