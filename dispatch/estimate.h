// What the estimates of both modes share. Private to this library.
#ifndef TANAGERSEAM_DISPATCH_ESTIMATE_H_
#define TANAGERSEAM_DISPATCH_ESTIMATE_H_

#include "dispatch/dispatch.h"

namespace tanagerseam {

// Fraction of a call's time saved at an endpoint that recently had a call
// with the same affinity key.
constexpr double kAffinitySaving = 0.3;

CallTraits
TraitsOf(const DispatchCall& aCall);

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_ESTIMATE_H_
