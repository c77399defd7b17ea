// Rate policy "owner_bucket": the owner of the organisation's slot holds a
// single bucket for the whole fleet.
#include "limit/limit.h"

namespace tanagerseam {

namespace {

class OwnerBucket : public RatePolicy
{
public:
  bool RequiresOwner() const override { return true; }

  RateLimit PerMemberLimit(RateLimit aWhole, size_t /*aMembers*/) const override
  {
    return aWhole;
  }
};

const Registration<RatePolicy> kRegistration("owner_bucket", [] {
  return std::make_unique<OwnerBucket>();
});

} // namespace

} // namespace tanagerseam
