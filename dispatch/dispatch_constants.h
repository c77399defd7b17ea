// Constants and helpers that several sources of this library use. Private to
// this library.
#ifndef TANAGERSEAM_DISPATCH_DISPATCH_CONSTANTS_H_
#define TANAGERSEAM_DISPATCH_DISPATCH_CONSTANTS_H_

#include "kernel/kernel.h"

namespace tanagerseam {

constexpr double kEwmaWeight = 0.1;
// Assumed time of a call on a route without samples.
constexpr double kDefaultRouteMillis = 100;

inline double
MillisOf(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_DISPATCH_CONSTANTS_H_
